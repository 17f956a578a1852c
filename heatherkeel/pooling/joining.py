"""Moves of machines that join a share."""

from __future__ import annotations

from heatherkeel.platform.machines import Machine

from .const import ORDER_OVERDUE_MS
from .models import FleetOwnerState, Intent, PoolShare, Purpose


def would_join(state: FleetOwnerState, machine: Machine, share: PoolShare) -> bool:
    """Return whether a machine would join a share by a move to the share's pool."""
    return machine.pool != share.pool and state.share_of(machine.name, share.pool) == share


def is_on_its_way(state: FleetOwnerState, intent: Intent) -> bool:
    """Return whether a move is likely to end soon.

    An order that stays unanswered is repeated without end, which says nothing; a list of machines
    that was requested long after the first sending does.
    """
    if intent.purpose is not Purpose.MOVE:
        return False
    if intent.is_confirmed or intent.first_ordered_ms is None or state.listed_ms is None:
        return True
    return state.listed_ms - intent.first_ordered_ms < ORDER_OVERDUE_MS


def create_move(state: FleetOwnerState, machine: Machine, pool: str) -> Intent:
    """Return the intent to move a machine to a pool."""
    return Intent(
        machine=machine.name,
        worker_id=None if state.is_standby(machine.pool) else machine.worker_id,
        purpose=Purpose.MOVE,
        from_pool=machine.pool,
        pool=pool,
        began_ms=state.now_ms,
    )
