"""Detection and isolation of tasks that crash their workers.

Every task that was lost with a worker is suspected until it has run for a while or is done.
Suspects are kept apart, so that they don't crash one worker after the other.
"""

from __future__ import annotations

import logging

from .const import (
    ISOLATION_CRASHES,
    LOSS_MEMORY_MS,
    MAX_CRASHES,
    MAX_SOLE_CRASHES,
    MAX_SUDDEN_CRASHES,
    PROVEN_MS,
)
from .events import Effects, SaveJob
from .models import Job, LossReason, Run, RunState, Step, Task, WorkerLoss
from .pools import find_pool
from .state import PartitionState
from .worker import Worker

_LOGGER = logging.getLogger(__name__)

_POSSIBLE_CRASHES = frozenset(
    {
        LossReason.OTHER_LIFE,
        LossReason.ADDRESS_TAKEN,
        LossReason.LEASE_LAPSED,
        LossReason.UNLISTED,
        LossReason.WORKER_GONE,
        LossReason.WORKER_RESTARTED,
    }
)
"""Losses that may be a crash. A lease also expires on an unreachable worker, but it is the only
sign of a crash if the list of machines can't be read."""


def describe_loss(worker: Worker, now_ms: int) -> WorkerLoss:
    """Return what is known of a worker that is lost now; every unproven run is suspected."""
    suspects = {
        run.task.step.job.id
        for run in worker.runs.values()
        if run.state is not RunState.PLANNED and not run.is_proven
    }
    gone_ms = worker.gone_ms if worker.is_unresponsive else worker.clock_received_ms
    return WorkerLoss(at_ms=now_ms, gone_ms=gone_ms, suspects=frozenset(suspects))


def record_loss(state: PartitionState, worker: Worker, reason: LossReason) -> None:
    """Remember the loss of a worker with tasks, unless its machine was about to leave anyway."""
    is_expected = worker.is_leaving or worker.entry.is_draining()
    if reason in _POSSIBLE_CRASHES and not is_expected and worker.runs:
        losses = find_pool(state, worker.entry.service).losses
        losses.append(describe_loss(worker, state.now_ms))


def count_other_losses(state: PartitionState, job: Job) -> int:
    """Return how many workers of a job's pool were lately lost without a suspect of the job."""
    since_ms = state.now_ms - LOSS_MEMORY_MS
    losses = find_pool(state, job.service).losses
    return sum(1 for loss in losses if loss.at_ms >= since_ms and job.id not in loss.suspects)


def measure_run_ms(run: Run, loss: WorkerLoss | None) -> int | None:
    """Return for how long a lost run had been there at least when its worker went, if known."""
    if loss is None or loss.gone_ms is None or run.begun_ms is None:
        return None
    return max(0, loss.gone_ms - run.begun_ms)


def count_crash(run: Run, reason: LossReason, *, is_sole: bool) -> bool:
    """Count a lost run as a possible crash; returns whether its job has to be given up.

    `is_sole` means that no other job may have crashed the worker. The count is stored before the
    next start is sent, so the next owner continues from it.
    """
    if reason not in _POSSIBLE_CRASHES or run.state is RunState.PLANNED or run.is_proven:
        return False
    task = run.task
    job = task.step.job
    task.crashes += 1
    job.crashes = max(job.crashes, task.crashes)
    if task.crashes < _crash_limit(run, is_sole=is_sole):
        return False
    _LOGGER.error(
        "job given up: its task crashes workers",
        extra={
            "event": "job_given_up",
            "job": job.id,
            "task": task.name,
            "attempt": run.attempt,
            "worker": run.worker_id,
            "crashes": task.crashes,
        },
    )
    return True


def _crash_limit(run: Run, *, is_sole: bool) -> int:
    if run.listed_since_ms or run.begun_ms is None:
        return MAX_CRASHES
    return MAX_SOLE_CRASHES if is_sole else MAX_SUDDEN_CRASHES


def clear_suspicion(task: Task) -> None:
    """Clear a task of suspicion."""
    if not task.crashes:
        return
    task.crashes = 0
    job = task.step.job
    job.crashes = max(other.crashes for step in job.steps() for other in step.tasks)


def record_listed_run(worker: Worker, run: Run, now_ms: int, effects: Effects) -> None:
    """Record that a worker still lists a run, which after a while clears it of suspicion.

    A run without progress stays unproven, but no longer keeps other jobs off its worker.
    """
    if run.is_proven or now_ms - run.listed_since_ms < PROVEN_MS:
        return
    job = run.task.step.job
    if worker.suspects.pop(run.key(), None) is not None:
        effects.touch(job.service)
    run.is_proven = run.percent > 0
    if run.is_proven and run.task.crashes:
        clear_suspicion(run.task)
        effects.add(SaveJob(job_id=job.id))


def group_candidates(step: Step, workers: list[Worker]) -> list[list[Worker]]:
    """Return groups of candidate workers for a step, the preferred group first.

    A worker with a task suspected of several crashes is closed to other jobs, whose tasks would be
    lost and suspected with it. A worker with a task suspected of one crash, as after the loss of a
    rack, is only avoided, but not by long-running tasks: they would spread over more machines and
    keep them from being moved. A suspect prefers workers without long-running tasks of other jobs.
    """
    job = step.job
    if not job.crashes and not any(worker.suspects for worker in workers):
        return [workers]
    crashes = {worker.id: _max_crashes(worker, job) for worker in workers}
    allowed = [worker for worker in workers if crashes[worker.id] < ISOLATION_CRASHES]
    if step.request.lasts and job.crashes < ISOLATION_CRASHES:
        return [allowed]
    unsuspected = [worker for worker in allowed if not crashes[worker.id]]
    choices = [unsuspected, allowed]
    if job.crashes:
        choices.insert(0, [w for w in unsuspected if not _has_long_running_of_others(w, job)])
    return choices


def _max_crashes(worker: Worker, job: Job) -> int:
    """Return the highest crash count of another job's suspects on a worker."""
    return max(
        (run.task.crashes for run in worker.suspects.values() if run.task.step.job is not job),
        default=0,
    )


def _has_long_running_of_others(worker: Worker, job: Job) -> bool:
    return any(
        run.task.step.request.lasts and run.task.step.job is not job for run in worker.runs.values()
    )
