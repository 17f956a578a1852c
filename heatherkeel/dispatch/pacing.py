"""Slows down best-effort tasks before they affect serving tasks on the same worker."""

from __future__ import annotations

import logging

from .const import (
    PACE_DOWN_FRACTION,
    PACE_INTERVAL_MS,
    PACE_STOP_THRESHOLD,
    PACE_UP_FRACTION,
    PACE_UP_STEP,
)
from .events import Effects, PaceTask
from .models import Run, RunState
from .state import PartitionState
from .worker import Worker

_LOGGER = logging.getLogger(__name__)
FULL_PACE = 100


def adjust_pace(state: PartitionState, worker: Worker, effects: Effects) -> None:
    """Adjust the pace of a worker's best-effort tasks to the tail latency of its serving tasks.

    The pace is halved, and finally set to 0, while a tail latency is near or over its target. It
    is raised in small steps while all of them are well below.
    """
    if state.now_ms < worker.paced_ms + PACE_INTERVAL_MS:
        return
    serving, best_effort = _split_runs(worker)
    if not serving or not best_effort:
        return
    worst_fraction = max(run.figure / run.task.step.request.tail_target_ms for run in serving)
    for run in best_effort:
        next_pace = choose_pace(run.pace, worst_fraction)
        if next_pace == run.pace:
            continue
        _LOGGER.info(
            "pace changed",
            extra={
                "event": "pace",
                "task": run.task.name,
                "worker": worker.id,
                "tail_share": round(worst_fraction, 2),
                "from": run.pace,
                "to": next_pace,
            },
        )
        run.pace = next_pace
        effects.add(PaceTask(run=run, percent=next_pace))
    worker.paced_ms = state.now_ms


def choose_pace(pace: int, tail_fraction: float) -> int:
    """Return a best-effort task's next pace in percent, for a tail latency relative to its target.

    A pace below 0 is unknown, since the last order wasn't answered; it counts as full pace.
    """
    known = FULL_PACE if pace < 0 else pace
    if tail_fraction >= PACE_DOWN_FRACTION:
        return 0 if known <= PACE_STOP_THRESHOLD else known // 2
    if tail_fraction <= PACE_UP_FRACTION:
        return min(FULL_PACE, known + PACE_UP_STEP)
    return known


def _split_runs(worker: Worker) -> tuple[list[Run], list[Run]]:
    """Return the running tasks that serve under a latency target, and the best-effort tasks."""
    serving, best_effort = [], []
    for run in worker.runs.values():
        if run.state is not RunState.RUNNING or run.may_have_ended:
            continue
        request = run.task.step.request
        if request.fills:
            best_effort.append(run)
        elif request.tail_target_ms:
            serving.append(run)
    return serving, best_effort
