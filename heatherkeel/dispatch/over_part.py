"""Puts new jobs of workspaces above their part of the capacity behind those of others."""

from __future__ import annotations

import logging

from heatherkeel.workspaces.const import OVER_PART_MAX_AGE_MS

from .events import Effects
from .state import PartitionState

_LOGGER = logging.getLogger(__name__)


def set_over_part(state: PartitionState, workspaces: frozenset[str], effects: Effects) -> None:
    """Go by the workspaces above their part, as just told by the lender of limits."""
    changed = state.accounts.set_over_part(workspaces, now_ms=state.now_ms)
    if not changed:
        return
    for pool in state.pools.values():
        pool.open_steps.sort_again(changed, state.now_ms)
        if pool.open_steps:
            effects.touch(pool.service)


def expire_over_part(state: PartitionState, effects: Effects) -> None:
    """Treat all workspaces alike once nothing recent is known about their use."""
    accounts = state.accounts
    if not accounts.over_part or state.now_ms - accounts.over_part_ms < OVER_PART_MAX_AGE_MS:
        return
    _LOGGER.info(
        "use of workspaces elsewhere is unknown, all are treated alike",
        extra={
            "event": "over_part_expired",
            "workspaces": sorted(accounts.over_part),
            "age_ms": state.now_ms - accounts.over_part_ms,
        },
    )
    set_over_part(state, frozenset(), effects)
