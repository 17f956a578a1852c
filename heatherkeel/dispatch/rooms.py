"""Workers whose room changes while starts are planned there."""

from __future__ import annotations

from .events import Effects, SaveJob
from .jobs import stop_run
from .models import Run, RunState, Worker
from .pools import wait_for_room
from .state import PartitionState


def fit_planned(state: PartitionState, worker: Worker, effects: Effects) -> None:
    """Take back planned starts, the latest first, until a worker's room holds the rest.

    A start waits until it is stored, for seconds where the store is slow. Workers may not guard
    their room, so one that has shrunk meanwhile would start it all the same, and all that runs
    there would suffer. What has been sent can't be taken back.
    """
    for run in reversed(list(worker.runs.values())):
        if not worker.is_overfull():
            return
        if run.state is RunState.PLANNED:
            take_back(state, run, effects)


def take_back(state: PartitionState, run: Run, effects: Effects) -> None:
    """Take back a planned start; a gang starts whole or not at all."""
    step = run.task.step
    runs = [run]
    if step.request.is_gang:
        runs = [member for task in step.tasks for member in task.runs]
    for taken in runs:
        stop_run(state, taken, effects)
    effects.add(SaveJob(job_id=step.job.id))
    wait_for_room(state, step)
    effects.touch(step.job.service)
