"""When a machine that no share needs goes to the standby pool, and what earlier times taught."""

from __future__ import annotations

from heatherkeel.platform.machines import Machine

from .const import (
    LONGEST_PARK_AFTER_MS,
    PARK_AFTER_MS,
    RECALL_MS,
    RECALL_WEIGHT,
    SURPLUS_GAP_MS,
)
from .models import FleetState, Intent, Purpose, ShareView


def choose_parked(state: FleetState, donors: list[Machine]) -> list[Machine]:
    """Return the machines to send to the standby pool: those spared all the last while."""
    parked = []
    for share, view in state.views.items():
        surplus = [
            machine
            for machine in donors
            if machine.pool == share.pool and state.share_of(machine.name, share.pool) == share
        ]
        least = _least_surplus(state, view, len(surplus))
        parked += surplus[:least]
        if least:
            view.surplus.clear()
    return parked


def park_after_ms(state: FleetState) -> float:
    """Return how long a machine must have been surplus before it is parked, in milliseconds.

    Two moves cost as much as 2.4 s of a machine in a pool, and the pool that wants it back waits
    for 1.5 s. Where one queue's turn follows another's, a hundred machines were parked within two
    seconds and asked for again in the next ones, and the first seconds of each turn were lost.
    Where nobody asks for them they cost what they idle. So what parked machines met lately decides.
    """
    longer_ms = LONGEST_PARK_AFTER_MS - PARK_AFTER_MS
    return PARK_AFTER_MS + state.recalled_share * longer_ms


def take_back_parking(state: FleetState) -> bool:
    """Keep machines that were about to be parked, and aren't ordered away; says if there are any.

    A share is short again, and such a machine may help it, or its own, without a way back.
    """
    unsent = [
        name
        for name, intent in state.intents.items()
        if intent.ordered_ms is None and _is_parking(state, intent)
    ]
    for name in unsent:
        del state.intents[name]
    return bool(unsent)


def remember_move(state: FleetState, intent: Intent) -> None:
    """Take in that a machine was ordered into the standby pool, or out of it.

    Machines are counted, not named: which of those in the standby pool is taken is chance.
    """
    if intent.purpose is not Purpose.MOVE:
        return
    _forget_settled(state)
    if _is_parking(state, intent):
        state.parked_ms.append(state.now_ms)
    elif state.is_standby(intent.from_pool) and state.parked_ms:
        state.parked_ms.pop()
        _learn(state, is_recalled=True)


def _forget_settled(state: FleetState) -> None:
    """Count machines that nobody has asked for since they were parked as rightly parked."""
    while state.parked_ms and state.now_ms - state.parked_ms[0] > RECALL_MS:
        state.parked_ms.pop(0)
        _learn(state, is_recalled=False)


def _learn(state: FleetState, *, is_recalled: bool) -> None:
    state.recalled_share += RECALL_WEIGHT * (float(is_recalled) - state.recalled_share)


def _is_parking(state: FleetState, intent: Intent) -> bool:
    return intent.purpose is Purpose.MOVE and state.is_standby(intent.pool)


def _least_surplus(state: FleetState, view: ShareView, count: int) -> int:
    """Return how many machines a share could spare at any time of the last while.

    Counted, not named: which of its machines are the emptiest changes with every look.
    """
    after_ms = park_after_ms(state)
    view.surplus = [
        (at_ms, known) for at_ms, known in view.surplus if state.now_ms - at_ms <= after_ms
    ]
    view.surplus.append((state.now_ms, count))
    if state.now_ms - view.surplus[0][0] < after_ms - SURPLUS_GAP_MS:
        return 0
    return min(known for _, known in view.surplus)
