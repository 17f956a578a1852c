"""Chooses surplus machines to move to the standby pool."""

from __future__ import annotations

from heatherkeel.platform.machines import Machine

from .const import MAX_SURPLUS_GAP_MS, STANDBY_DELAY_MS
from .models import FleetOwnerState, Intent, PoolShareView, Purpose


def choose_for_standby(state: FleetOwnerState, candidates: list[Machine]) -> list[Machine]:
    """Return the machines to move to the standby pool: those surplus for the whole delay."""
    chosen = []
    for share, view in state.views.items():
        surplus = [
            machine
            for machine in candidates
            if machine.pool == share.pool and state.share_of(machine.name, share.pool) == share
        ]
        least = _min_surplus(state, view, len(surplus))
        chosen += surplus[:least]
        if least:
            view.surplus.clear()
    return chosen


def cancel_unsent_standby_moves(state: FleetOwnerState) -> bool:
    """Cancel moves to the standby pool that weren't ordered yet; return whether there were any.

    A share has a shortfall again, and its machines can come directly from these.
    """
    unsent = [
        name
        for name, intent in state.intents.items()
        if intent.ordered_ms is None and _is_standby_move(state, intent)
    ]
    for name in unsent:
        del state.intents[name]
    return bool(unsent)


def _is_standby_move(state: FleetOwnerState, intent: Intent) -> bool:
    return intent.purpose is Purpose.MOVE and state.is_standby(intent.pool)


def _min_surplus(state: FleetOwnerState, view: PoolShareView, count: int) -> int:
    """Return the lowest surplus of a share during the standby delay.

    Only the number is tracked, since the least used machines change with each measurement.
    """
    view.surplus = [
        (at_ms, known) for at_ms, known in view.surplus if state.now_ms - at_ms <= STANDBY_DELAY_MS
    ]
    view.surplus.append((state.now_ms, count))
    if state.now_ms - view.surplus[0][0] < STANDBY_DELAY_MS - MAX_SURPLUS_GAP_MS:
        return 0
    return min(known for _, known in view.surplus)
