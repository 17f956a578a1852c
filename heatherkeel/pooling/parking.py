"""When a machine that no share needs goes to the standby pool."""

from __future__ import annotations

from heatherkeel.platform.machines import Machine

from .const import MAX_SURPLUS_GAP_MS, STANDBY_DELAY_MS
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


def _is_parking(state: FleetState, intent: Intent) -> bool:
    return intent.purpose is Purpose.MOVE and state.is_standby(intent.pool)


def _least_surplus(state: FleetState, view: ShareView, count: int) -> int:
    """Return how many machines a share could spare at any time of the last while.

    Counted, not named: which of its machines are the emptiest changes with every look.
    """
    view.surplus = [
        (at_ms, known) for at_ms, known in view.surplus if state.now_ms - at_ms <= STANDBY_DELAY_MS
    ]
    view.surplus.append((state.now_ms, count))
    if state.now_ms - view.surplus[0][0] < STANDBY_DELAY_MS - MAX_SURPLUS_GAP_MS:
        return 0
    return min(known for _, known in view.surplus)
