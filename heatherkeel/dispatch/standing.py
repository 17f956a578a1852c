"""Finds workers on which tasks stand still, and lets their tasks go on elsewhere."""

from __future__ import annotations

import logging

from .const import (
    FEWEST_STANDING,
    GREY_PAUSE_MS,
    MAX_SET_ASIDE,
    STANDING_MS,
)
from .events import Effects
from .jobs import stop_run
from .models import Run, RunState, Worker
from .pools import find_pool
from .state import PartitionState

_LOGGER = logging.getLogger(__name__)


def leave_standing(state: PartitionState, worker: Worker, effects: Effects) -> None:
    """Set a worker aside on which nothing makes progress, and stop what stands there.

    A worker may answer, list its tasks and never end one. Nothing lapses and nothing fails, so
    its tasks would wait for as long as it stands. One task alone that stands still may be its own
    fault; several of different ages at once are the worker's.
    """
    runs = [run for run in worker.runs.values() if _can_stand(run)]
    standing = [run for run in runs if state.now_ms - run.moved_ms >= STANDING_MS]
    if len(standing) < max(FEWEST_STANDING, len(runs)):
        return
    if not set_aside(state, worker, why=f"{len(standing)} tasks stand still"):
        return
    for run in standing:
        stop_run(state, run, effects)


def set_aside(state: PartitionState, worker: Worker, *, why: str) -> bool:
    """Give a worker no work for a while, unless too many of its pool get none already."""
    pool = find_pool(state, worker.entry.service)
    aside = sum(1 for other in pool.workers.values() if other.aside_until_ms > state.now_ms)
    if aside + 1 > MAX_SET_ASIDE * len(pool.workers):
        return False
    worker.aside_until_ms = state.now_ms + GREY_PAUSE_MS
    _LOGGER.warning(
        "worker set aside",
        extra={
            "event": "worker_aside",
            "worker": worker.id,
            "why": why,
            "for_ms": GREY_PAUSE_MS,
        },
    )
    return True


def _can_stand(run: Run) -> bool:
    request = run.task.step.request
    is_plain = not request.lasts and not request.is_gang and not request.fills
    return run.state is RunState.RUNNING and is_plain and run.moved_ms > 0
