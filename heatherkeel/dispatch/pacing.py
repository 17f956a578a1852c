"""Paces tasks that fill down before they hurt tasks that serve beside them."""

from __future__ import annotations

import logging

from .const import (
    PACE_CALM_SHARE,
    PACE_CALM_STEP,
    PACE_DOWN_SHARE,
    PACE_INTERVAL_MS,
    PACE_LOWEST,
)
from .events import Effects, PaceTask
from .models import Run, RunState, Worker
from .state import PartitionState

_LOGGER = logging.getLogger(__name__)
FULL_PACE = 100


def pace_worker(state: PartitionState, worker: Worker, effects: Effects) -> None:
    """Look at a worker's serving tasks, and change the pace of those that fill beside them.

    A serving task that is over its target for some seconds because of tasks that fill has failed
    its users. Its tail is told for the last half second, so the pace is halved with each look at
    a tail near the target, and after three looks, 1.5 s, nothing of it is left. It comes
    back by a tenth at a time while there is room below the target.
    """
    if state.now_ms < worker.paced_ms + PACE_INTERVAL_MS:
        return
    serving, filling = _split(worker)
    if not serving or not filling:
        return
    worst = max(run.figure / run.task.step.request.tail_target_ms for run in serving)
    for run in filling:
        wanted = choose_pace(run.pace, worst)
        if wanted == run.pace:
            continue
        _LOGGER.info(
            "pace changed",
            extra={
                "event": "pace",
                "task": run.task.name,
                "worker": worker.id,
                "tail_share": round(worst, 2),
                "from": run.pace,
                "to": wanted,
            },
        )
        run.pace = wanted
        effects.add(PaceTask(run=run, percent=wanted))
    worker.paced_ms = state.now_ms


def choose_pace(pace: int, tail_share: float) -> int:
    """Return a filling task's next pace in percent, for a tail as a share of its target.

    A pace below 0 is unknown, since the last order wasn't answered; it is set anew.
    """
    known = FULL_PACE if pace < 0 else pace
    if tail_share >= PACE_DOWN_SHARE:
        return 0 if known <= PACE_LOWEST else known // 2
    if tail_share <= PACE_CALM_SHARE:
        return min(FULL_PACE, known + PACE_CALM_STEP)
    return known


def _split(worker: Worker) -> tuple[list[Run], list[Run]]:
    """Return the tasks at work that serve under a target, and those that fill."""
    serving, filling = [], []
    for run in worker.runs.values():
        if run.state is not RunState.RUNNING:
            continue
        request = run.task.step.request
        if request.fills:
            filling.append(run)
        elif request.tail_target_ms:
            serving.append(run)
    return serving, filling
