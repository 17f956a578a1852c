"""Workers whose room changes while starts are planned there."""

from __future__ import annotations

import logging

from .events import Effects, SaveJob
from .jobs import stop_run
from .models import Run, RunState, Worker
from .pools import wait_for_room
from .state import PartitionState

_LOGGER = logging.getLogger(__name__)


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


def take_outdated(state: PartitionState, outdated: frozenset[str], effects: Effects) -> None:
    """Start nothing on workers whose room may have shrunk unheard, and nothing that is planned.

    While their entries can't be read, or they can't write them, a start may come long after they
    have shrunk. Their runs go on, and they take work again with their next entry.
    """
    for worker in state.workers.values():
        is_outdated = worker.id in outdated
        if is_outdated == worker.is_outdated:
            continue
        worker.is_outdated = is_outdated
        if worker.is_listed and not worker.is_leaving and not worker.is_silent:
            _tell(worker)
        effects.touch(worker.entry.service)
        if is_outdated:
            _take_back_planned(state, worker, effects)


def _tell(worker: Worker) -> None:
    _LOGGER.info(
        "a worker's room is %sknown",
        "not " if worker.is_outdated else "",
        extra={"event": "worker_outdated", "worker": worker.id, "outdated": worker.is_outdated},
    )


def _take_back_planned(state: PartitionState, worker: Worker, effects: Effects) -> None:
    for run in list(worker.runs.values()):
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
