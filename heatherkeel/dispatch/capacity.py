"""Handling of workers whose capacity changes while starts are planned there."""

from __future__ import annotations

import logging

from .events import Effects, SaveJob
from .jobs import stop_run
from .models import Run, RunState
from .pools import enqueue_step
from .state import PartitionState
from .worker import Worker

_LOGGER = logging.getLogger(__name__)


def cancel_excess_starts(state: PartitionState, worker: Worker, effects: Effects) -> None:
    """Cancel planned starts, the latest first, until the rest fits the worker's capacity.

    A start may wait for seconds until it is stored. A worker whose capacity has shrunk meanwhile
    may not enforce it, and the start would slow down everything that runs there.
    """
    for run in reversed(list(worker.runs.values())):
        if not worker.is_overfull():
            return
        if run.state is RunState.PLANNED:
            cancel_planned_start(state, run, effects)


def update_outdated_workers(
    state: PartitionState, outdated: frozenset[str], effects: Effects
) -> None:
    """Update which workers have outdated entries, and cancel the starts planned on them.

    Their capacity may have shrunk unnoticed. Their runs go on, and they get work again with their
    next entry.
    """
    for worker in state.workers.values():
        is_outdated = worker.id in outdated
        if is_outdated == worker.is_outdated:
            continue
        worker.is_outdated = is_outdated
        if worker.is_listed and not worker.is_leaving and not worker.is_unresponsive:
            _log_outdated(worker)
        effects.touch(worker.entry.service)
        if is_outdated:
            _cancel_all_planned(state, worker, effects)


def _log_outdated(worker: Worker) -> None:
    _LOGGER.info(
        "capacity of a worker is %sknown",
        "not " if worker.is_outdated else "",
        extra={"event": "worker_outdated", "worker": worker.id, "outdated": worker.is_outdated},
    )


def _cancel_all_planned(state: PartitionState, worker: Worker, effects: Effects) -> None:
    for run in list(worker.runs.values()):
        if run.state is RunState.PLANNED:
            cancel_planned_start(state, run, effects)


def cancel_planned_start(state: PartitionState, run: Run, effects: Effects) -> None:
    """Cancel a planned start; for a gang, those of all its tasks."""
    step = run.task.step
    runs = [run]
    if step.request.is_gang:
        runs = [member for task in step.tasks for member in task.runs]
    for canceled in runs:
        stop_run(state, canceled, effects)
    effects.add(SaveJob(job_id=step.job.id))
    enqueue_step(state, step)
    effects.touch(step.job.service)
