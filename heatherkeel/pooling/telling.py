"""Tells the log how the pools stand, from which a day's machines can be reckoned afterwards."""

from __future__ import annotations

import logging
from dataclasses import asdict, dataclass
from typing import Final

from .models import FleetState, Share
from .supply import Supply, demanded_cpu

_LOGGER = logging.getLogger(__name__)

TELL_INTERVAL_MS: Final = 1000
"""Time between two lines, in milliseconds: a pool's turn lasts for some seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ShareLine:
    """A share as it stands; processor in thousandths of a core."""

    pool: str
    partition: int
    machines: int
    lacking: int
    leaving: int
    """Machines that are to go and are being emptied, or were ordered away."""
    pinned: int
    """Machines that can't be sent away, since a lasting task is there."""
    used_cpu: int
    wanted_cpu: int
    age_ms: int
    """How old the load is that this was decided by."""


def tell_pools(state: FleetState, supply: Supply) -> None:
    """Write one line on all shares, once in a while."""
    if state.now_ms - state.told_ms < TELL_INTERVAL_MS:
        return
    state.told_ms = state.now_ms
    lines = [asdict(_describe(state, supply, share)) for share in supply.members]
    _LOGGER.info("pools", extra={"event": "pools", "shares": lines})


def _describe(state: FleetState, supply: Supply, share: Share) -> ShareLine:
    view = state.views.get(share)
    leaving = sum(
        1
        for intent in state.intents.values()
        if state.share_of(intent.machine, intent.from_pool) == share
    )
    return ShareLine(
        pool=share.pool,
        partition=share.partition,
        machines=len(supply.members[share]),
        lacking=supply.short.get(share, 0),
        leaving=leaving,
        pinned=len(view.load.lasting) if view else 0,
        used_cpu=view.load.used_cpu if view else 0,
        wanted_cpu=round(demanded_cpu(state, share)) if view else 0,
        age_ms=state.now_ms - view.heard_ms if view else -1,
    )
