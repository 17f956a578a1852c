"""Logs needs of pool shares for which no machine comes."""

from __future__ import annotations

import logging

from heatherkeel.platform.machines import Machine
from heatherkeel.questions.messages import Need

from .const import NEED_RETENTION_MS, UNMET_LOG_MS
from .models import FleetOwnerState, PoolShare, UnmetNeed
from .supply import find_fresh_view

_LOGGER = logging.getLogger(__name__)

_MAX_NAMES = 4


def track_needs(state: FleetOwnerState) -> None:
    """Note since when each need has been reported, and forget those that aren't for long."""
    reported = {
        (share, need)
        for share in state.shares()
        if (view := find_fresh_view(state, share)) is not None
        for need in view.load.needs
    }
    for key in reported:
        unmet = state.unmet.setdefault(key, UnmetNeed(since_ms=state.now_ms))
        unmet.reported_ms = state.now_ms
    state.unmet = {
        key: unmet
        for key, unmet in state.unmet.items()
        if state.now_ms - unmet.reported_ms <= NEED_RETENTION_MS
    }


def log_need(
    state: FleetOwnerState,
    share: PoolShare,
    need: Need,
    meeting: list[Machine],
    candidates: list[Machine],
) -> None:
    """Log a need that has been reported for long, with the machines that should meet it."""
    unmet = state.unmet[share, need]
    if state.now_ms - max(unmet.since_ms, unmet.logged_ms) < UNMET_LOG_MS:
        return
    unmet.logged_ms = state.now_ms
    load = state.views[share].load
    _LOGGER.info(
        "need unmet",
        extra={
            "event": "need_unmet",
            "pool": share.pool,
            "partition": share.partition,
            "label": need.label,
            "needs": [need.cpu, need.memory_mb, need.gpu],
            "since_ms": state.now_ms - unmet.since_ms,
            "meeting": [
                {
                    "machine": machine.name,
                    "state": machine.state,
                    "pool": machine.pool,
                    "known": machine.worker_id in load.workers,
                    "unheard": machine.worker_id in load.unheard,
                }
                for machine in meeting[:_MAX_NAMES]
            ],
            "candidates": len(candidates),
        },
    )
