"""Detection of workers with stalled tasks, and quarantine of workers."""

from __future__ import annotations

import logging

from .const import (
    MAX_QUARANTINED_FRACTION,
    MIN_STALLED_TASKS,
    QUARANTINE_MS,
    STALLED_FRACTION,
    STALLED_MS,
)
from .events import Effects
from .jobs import stop_run
from .models import Run, RunState
from .pools import find_pool
from .state import PartitionState
from .worker import Worker

_LOGGER = logging.getLogger(__name__)


def quarantine_if_stalled(state: PartitionState, worker: Worker, effects: Effects) -> None:
    """Quarantine a worker on which all tasks are stalled, and stop them to run elsewhere.

    A faulty worker may answer and list its tasks without ever ending one, so no lease expires and
    no task fails. A single stalled task may be its own fault, so several are needed.
    """
    runs = [run for run in worker.runs.values() if _can_stall(run)]
    stalled = [run for run in runs if _is_stalled(run, state.now_ms)]
    if len(stalled) < max(MIN_STALLED_TASKS, len(runs)):
        return
    if not quarantine_worker(state, worker, why=f"{len(stalled)} tasks stand still"):
        return
    for run in stalled:
        stop_run(state, run, effects)


def quarantine_worker(state: PartitionState, worker: Worker, *, why: str) -> bool:
    """Give a worker no work for a while, unless too many workers of its pool are quarantined.

    Returns whether the worker was quarantined.
    """
    pool = find_pool(state, worker.entry.service)
    quarantined = sum(
        1 for other in pool.workers.values() if other.quarantined_until_ms > state.now_ms
    )
    if quarantined + 1 > MAX_QUARANTINED_FRACTION * len(pool.workers):
        return False
    worker.quarantined_until_ms = state.now_ms + QUARANTINE_MS
    _LOGGER.warning(
        "worker quarantined",
        extra={
            "event": "worker_aside",
            "worker": worker.id,
            "why": why,
            "for_ms": QUARANTINE_MS,
        },
    )
    return True


def _is_stalled(run: Run, now_ms: int) -> bool:
    """Return whether a run should have shown progress by now, which is reported in percent."""
    expected_ms = max(STALLED_MS, STALLED_FRACTION * run.task.step.task_ms())
    return now_ms - run.progressed_ms >= expected_ms


def _can_stall(run: Run) -> bool:
    request = run.task.step.request
    is_plain = not request.lasts and not request.is_gang and not request.fills
    is_listed = run.progressed_ms > 0 and not run.may_have_ended
    return run.state is RunState.RUNNING and is_plain and is_listed
