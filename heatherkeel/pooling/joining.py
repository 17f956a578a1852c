"""Moves of machines that join a share."""

from __future__ import annotations

from heatherkeel.platform.machines import Machine

from .models import FleetOwnerState, Intent, PoolShare, Purpose


def would_join(state: FleetOwnerState, machine: Machine, share: PoolShare) -> bool:
    """Return whether a machine would join a share by a move to the share's pool."""
    return machine.pool != share.pool and state.share_of(machine.name, share.pool) == share


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
