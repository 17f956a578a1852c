"""Detection and isolation of tasks that crash their workers.

A task that was lost with a worker is suspected until it has run for a while or is done, unless
workers of its pool crash without it as well. Suspects are kept apart, so that they don't crash one
worker after the other.
"""

from __future__ import annotations

import logging

from .const import (
    ISOLATION_CRASHES,
    LOSS_MEMORY_MS,
    MAX_CRASHES,
    MAX_EXCUSED_LOSSES,
    MAX_LASTING_CRASHES,
    MAX_SOLE_CRASHES,
    MAX_SUDDEN_CRASHES,
    PROVEN_MS,
    SUDDEN_LOSS_MS,
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
    gone_ms = worker.gone_ms if worker.is_unresponsive else worker.clock_received_ms
    suspected = [
        run
        for run in worker.runs.values()
        if run.state is not RunState.PLANNED and not run.is_proven
    ]
    return WorkerLoss(
        at_ms=now_ms,
        gone_ms=gone_ms,
        suspects=frozenset(run.task.step.job.id for run in suspected),
        is_sudden=any(not _ran_for_a_while(run, gone_ms) for run in suspected),
    )


def record_loss(state: PartitionState, worker: Worker, reason: LossReason) -> None:
    """Remember the loss of a worker with tasks, unless its machine was about to leave anyway."""
    is_expected = worker.is_leaving or worker.entry.is_draining()
    if reason in _POSSIBLE_CRASHES and not is_expected and worker.runs:
        losses = find_pool(state, worker.entry.service).losses
        losses.append(describe_loss(worker, state.now_ms))


def count_other_losses(state: PartitionState, job: Job) -> int:
    """Return how many workers of a job's pool went lately without any task as the likely cause.

    Those with a suspect of the job don't count.
    """
    since_ms = state.now_ms - LOSS_MEMORY_MS
    losses = find_pool(state, job.service).losses
    return sum(
        1
        for loss in losses
        if loss.at_ms >= since_ms and not loss.is_sudden and job.id not in loss.suspects
    )


def count_silent_workers(state: PartitionState, job: Job, *, but: str) -> int:
    """Return how many other workers of a job's pool are unresponsive now."""
    workers = find_pool(state, job.service).workers.values()
    return sum(1 for worker in workers if worker.is_unresponsive and worker.id != but)


def measure_run_ms(run: Run, gone_ms: int | None) -> int | None:
    """Return for how long a lost run had been there at least when its worker went, if known."""
    if gone_ms is None or run.begun_ms is None:
        return None
    return max(0, gone_ms - run.begun_ms)


def may_be_crash(run: Run, reason: LossReason) -> bool:
    """Return whether the task of a lost run may have crashed its worker."""
    return reason in _POSSIBLE_CRASHES and run.state is not RunState.PLANNED and not run.is_proven


def is_excused(state: PartitionState, run: Run, loss: WorkerLoss | None) -> bool:
    """Return whether the loss of a worker doesn't speak against a task that may have crashed it.

    A worker that goes some time after the start may have gone by itself. That speaks against the
    task only if no worker of the pool goes without it, or if it happens again and again.
    """
    if not _ran_for_a_while(run, loss.gone_ms if loss is not None else None):
        return False
    is_rare = run.task.excused_losses < MAX_EXCUSED_LOSSES
    return is_rare and count_other_losses(state, run.task.step.job) > 0


def count_crash(state: PartitionState, run: Run, loss: WorkerLoss | None) -> bool:
    """Count a lost run as a crash; returns whether its task must not start again.

    The count is stored before the next start is sent, so the next owner continues from it.
    """
    task = run.task
    job = task.step.job
    task.crashes += 1
    job.crashes = max(job.crashes, task.crashes)
    return task.crashes >= _crash_limit(state, run, loss)


def _crash_limit(state: PartitionState, run: Run, loss: WorkerLoss | None) -> int:
    job = run.task.step.job
    if run.task.step.request.lasts:
        return MAX_LASTING_CRASHES
    if run.begun_ms is None or loss is None or _ran_for_a_while(run, loss.gone_ms):
        return MAX_CRASHES
    if count_other_losses(state, job):
        return MAX_CRASHES
    return MAX_SOLE_CRASHES if loss.is_sole_suspect(job) else MAX_SUDDEN_CRASHES


def _ran_for_a_while(run: Run, gone_ms: int | None) -> bool:
    ran_ms = measure_run_ms(run, gone_ms)
    return ran_ms is not None and ran_ms >= SUDDEN_LOSS_MS


def serves_beside(task: Task) -> bool:
    """Return whether other tasks of the job serve users, in a step that bounds its losses.

    Ending the job would stop them all at once.
    """
    return any(
        run.is_at_work and not run.is_doubtful
        for step in task.step.job.steps()
        if step.request.lasts and step.request.max_unavailable is not None
        for other in step.tasks
        if other is not task
        for run in other.runs
    )


def withhold_task(task: Task) -> None:
    """Start a task no more; the others of its job go on."""
    task.crashes = max(task.crashes, MAX_LASTING_CRASHES)
    task.step.job.crashes = max(task.step.job.crashes, task.crashes)


def clear_suspicion(task: Task) -> None:
    """Clear a task of suspicion."""
    task.excused_losses = 0
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
    if not run.is_proven:
        return
    if run.task.crashes:
        effects.add(SaveJob(job_id=job.id))
    clear_suspicion(run.task)


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
