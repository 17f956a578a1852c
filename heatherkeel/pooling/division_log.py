"""Logs and counts how machines are divided, and which are taken from a pool."""

from __future__ import annotations

import logging

from .claims import Division
from .const import DIVISION_LOG_MS
from .models import FleetOwnerState, Intent, PoolShare

_LOGGER = logging.getLogger(__name__)


def record_taking(state: FleetOwnerState, intent: Intent) -> None:
    """Count a machine that is taken from a share above its part."""
    if not intent.is_taken:
        return
    state.taken_ms.append(state.now_ms)
    state.handovers.taken[(intent.from_pool, intent.pool)] += 1
    state.handovers.taken_total += 1


def log_division(state: FleetOwnerState, division: Division | None, *, unknown: int) -> None:
    """Log the division while there is one, its end, and that claims are unknown; not each round."""
    log = state.handovers
    is_unknown = unknown > 0
    is_changed = (division is not None, is_unknown) != (log.is_divided, log.is_unknown)
    if division is None and not is_changed and not log.taken and not log.dropped:
        return
    if state.now_ms - log.logged_ms < DIVISION_LOG_MS:
        return
    if is_unknown and not log.is_unknown:
        _LOGGER.warning(
            "claims of some pools are unknown, so their machines aren't divided",
            extra={"event": "division_unknown", "unknown": unknown},
        )
    log.logged_ms = state.now_ms
    log.is_divided, log.is_unknown = division is not None, is_unknown
    _LOGGER.info(
        _describe_state(division, is_unknown=is_unknown),
        extra={
            "event": "division",
            "shares": [_describe(division, share) for share in division.parts] if division else [],
            "taken": {f"{old} to {new}": count for (old, new), count in log.taken.items()},
            "dropped": log.dropped,
            "unknown": unknown,
        },
    )
    log.taken.clear()
    log.dropped = 0


def _describe_state(division: Division | None, *, is_unknown: bool) -> str:
    if division is not None:
        return "machines divided"
    return "division unknown" if is_unknown else "machines suffice"


def _describe(division: Division, share: PoolShare) -> dict[str, object]:
    claimant = division.claimants[share]
    return {
        "pool": share.pool,
        "partition": share.partition,
        "machines": division.held[share],
        "part": division.parts[share],
        "pinned": claimant.pinned,
        "soon": division.usable_soon[share],
        "claims": [
            {
                "priority": demand.priority,
                "in_time": round(demand.in_time, 1),
                "late": round(demand.late, 1),
            }
            for demand in claimant.demands
        ],
    }
