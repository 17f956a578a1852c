"""Logs the state of the pools at intervals."""

from __future__ import annotations

import logging
from dataclasses import asdict, dataclass
from typing import Final

from .models import FleetOwnerState, PoolShare
from .supply import Supply, demanded_cpu
from .usage import take_seconds

_LOGGER = logging.getLogger(__name__)

LOG_INTERVAL_MS: Final = 1000
"""Time between two log lines, in milliseconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolShareStatus:
    """The state of a share as it is logged; processor in thousandths of a core."""

    pool: str
    partition: int
    machines: int
    lacking: int
    leaving: int
    """Machines that are being emptied or were ordered away."""
    pinned: int
    """Machines that can't leave because they run a long-running task."""
    used_cpu: int
    wanted_cpu: int
    age_ms: int
    """Age of the share's load in milliseconds; -1 if it is unknown."""


def log_pools(state: FleetOwnerState, supply: Supply) -> None:
    """Log the state of all shares, at most once per interval."""
    if state.now_ms - state.logged_ms < LOG_INTERVAL_MS:
        return
    state.logged_ms = state.now_ms
    lines = [asdict(_describe(state, supply, share)) for share in supply.members]
    _LOGGER.info(
        "pools",
        extra={"event": "pools", "shares": lines, "machine_s": take_seconds(state.usage)},
    )


def _describe(state: FleetOwnerState, supply: Supply, share: PoolShare) -> PoolShareStatus:
    view = state.views.get(share)
    leaving = sum(
        1
        for intent in state.intents.values()
        if state.share_of(intent.machine, intent.from_pool) == share
    )
    return PoolShareStatus(
        pool=share.pool,
        partition=share.partition,
        machines=len(supply.members[share]),
        lacking=supply.shortfall.get(share, 0),
        leaving=leaving,
        pinned=len(view.load.lasting) if view else 0,
        used_cpu=view.load.used_cpu if view else 0,
        wanted_cpu=round(demanded_cpu(state, share)) if view else 0,
        age_ms=state.now_ms - view.received_ms if view else -1,
    )
