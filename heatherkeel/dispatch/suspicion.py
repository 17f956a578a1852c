"""Suspicion of tasks that may crash their workers, and what follows from it.

A task that was lost with a worker is suspected until it has run for a while or is done. Suspects
are kept apart, so that they don't crash one worker after the other. A job is given up only if
workers are known to have ended under one of its tasks; while that isn't known, starts are paused.
"""

from __future__ import annotations

import logging

from .const import (
    FIRST_PAUSE_MS,
    ISOLATION_CRASHES,
    MAX_CRASHES,
    MAX_LASTING_CRASHES,
    MAX_PAUSE_MS,
    MAX_SOLE_CRASHES,
    MAX_SUDDEN_CRASHES,
    MAX_UNCLEAR_WORKERS,
    MIN_KNOWN_CRASHES,
    PROVEN_MS,
)
from .events import Effects, SaveJob
from .evidence import count_other_losses, ran_for_a_while
from .models import Job, LossCause, Run, Step, Task, UnclearLoss, WorkerLoss
from .pools import enqueue_step
from .state import PartitionState
from .worker import Worker

_LOGGER = logging.getLogger(__name__)


def count_loss(state: PartitionState, run: Run, cause: LossCause, loss: WorkerLoss | None) -> bool:
    """Count a lost run by its cause; returns whether its task is known to crash workers.

    The counts are stored before the next start is sent, so the next owner continues from them.
    """
    task = run.task
    match cause:
        case LossCause.CRASH:
            task.crashes += 1
        case LossCause.UNCLEAR:
            task.unclear_losses += 1
            _remember_unclear_loss(state, run)
        case LossCause.EXCUSED:
            task.excused_losses += 1
            return False
        case _:
            return False
    job = task.step.job
    job.possible_crashes = max(job.possible_crashes, task.possible_crashes())
    is_known = cause is LossCause.CRASH and task.crashes >= MIN_KNOWN_CRASHES
    return is_known and task.possible_crashes() >= _crash_limit(state, run, loss)


def _remember_unclear_loss(state: PartitionState, run: Run) -> None:
    """Remember a loss that its worker's next answer may take back; most workers never return."""
    if len(state.unclear_losses) >= MAX_UNCLEAR_WORKERS:
        del state.unclear_losses[next(iter(state.unclear_losses))]
    unclear = UnclearLoss(task=run.task, born=run.born)
    state.unclear_losses.setdefault(run.worker_id, []).append(unclear)


def _update_possible_crashes(job: Job) -> None:
    possible = (task.possible_crashes() for step in job.steps() for task in step.tasks)
    job.possible_crashes = max(possible, default=0)


def _crash_limit(state: PartitionState, run: Run, loss: WorkerLoss | None) -> int:
    job = run.task.step.job
    if run.task.step.request.lasts:
        return MAX_LASTING_CRASHES
    if run.begun_ms is None or loss is None or ran_for_a_while(run, loss.gone_ms):
        return MAX_CRASHES
    if count_other_losses(state, job):
        return MAX_CRASHES
    return MAX_SOLE_CRASHES if loss.is_sole_suspect(job) else MAX_SUDDEN_CRASHES


def pause_if_unclear(state: PartitionState, task: Task) -> None:
    """Pause a task's starts if as many were lost as a task may cost that crashes its workers.

    It isn't known that it does, so it starts again, after a pause that grows with each loss.
    """
    excess = task.possible_crashes() - MAX_LASTING_CRASHES
    if excess < 0 or task.crashes >= MAX_LASTING_CRASHES:
        return
    task.is_paused = True
    pause_ms = min(MAX_PAUSE_MS, FIRST_PAUSE_MS << min(excess, 8))
    state.paused[task] = state.now_ms + pause_ms
    _LOGGER.warning(
        "starts paused",
        extra={
            "event": "task_paused",
            "task": task.name,
            "crashes": task.crashes,
            "unclear": task.unclear_losses,
            "for_ms": pause_ms,
        },
    )


def end_pauses(state: PartitionState, effects: Effects) -> None:
    """Let tasks start again whose pause has ended."""
    for task, until_ms in list(state.paused.items()):
        if until_ms <= state.now_ms:
            _end_pause(state, task, effects)


def _end_pause(state: PartitionState, task: Task, effects: Effects) -> None:
    if state.paused.pop(task, None) is None:
        return
    task.is_paused = False
    enqueue_step(state, task.step)
    effects.touch(task.step.job.service)


def take_back_unclear_losses(state: PartitionState, worker: Worker, effects: Effects) -> None:
    """Take back the losses that were unclear until a worker answered in the same incarnation."""
    for unclear in state.unclear_losses.pop(worker.id, []):
        task = unclear.task
        if unclear.born != worker.born or not task.unclear_losses:
            continue
        task.unclear_losses -= 1
        _update_possible_crashes(task.step.job)
        _end_pause(state, task, effects)
        effects.add(SaveJob(job_id=task.step.job.id))


def serves_beside(task: Task) -> bool:
    """Return whether other tasks of the job serve users, in a step that bounds its losses.

    Ending the job would stop them all at once.
    """
    others = (run for run in task.step.job.known_runs if run.task is not task)
    return any(
        run.is_at_work
        and not run.is_doubtful
        and run.task.step.request.lasts
        and run.task.step.request.max_unavailable is not None
        for run in others
    )


def withhold_task(task: Task) -> None:
    """Start a task no more; the others of its job go on."""
    task.crashes = max(task.crashes, MAX_LASTING_CRASHES)
    job = task.step.job
    job.possible_crashes = max(job.possible_crashes, task.possible_crashes())


def clear_suspicion(task: Task) -> None:
    """Clear a task of suspicion."""
    task.excused_losses = 0
    task.is_paused = False
    if not task.possible_crashes():
        return
    task.crashes = task.unclear_losses = 0
    _update_possible_crashes(task.step.job)


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
    if run.task.losses_in_a_row():
        effects.add(SaveJob(job_id=job.id))
    clear_suspicion(run.task)


def needs_check(run: Run) -> bool:
    """Return whether a run's worker must answer right before its start is sent.

    Otherwise a worker that had gone before the start couldn't be told from one that a suspected
    task has crashed.
    """
    return run.task.step.job.possible_crashes > 0


def group_candidates(step: Step, workers: list[Worker]) -> list[list[Worker]]:
    """Return groups of candidate workers for a step, the preferred group first.

    A worker with a task suspected of several crashes is closed to other jobs, whose tasks would be
    lost and suspected with it. A worker with a task suspected of one crash, as after the loss of a
    rack, is only avoided, but not by long-running tasks: they would spread over more machines and
    keep them from being moved. A suspect prefers workers without long-running tasks of other jobs.
    """
    job = step.job
    if not job.possible_crashes and not any(worker.suspects for worker in workers):
        return [workers]
    crashes = {worker.id: _max_crashes(worker, job) for worker in workers}
    allowed = [worker for worker in workers if crashes[worker.id] < ISOLATION_CRASHES]
    if step.request.lasts and job.possible_crashes < ISOLATION_CRASHES:
        return [allowed]
    unsuspected = [worker for worker in allowed if not crashes[worker.id]]
    choices = [unsuspected, allowed]
    if job.possible_crashes:
        choices.insert(0, [w for w in unsuspected if not _has_long_running_of_others(w, job)])
    return choices


def _max_crashes(worker: Worker, job: Job) -> int:
    """Return the highest crash count of another job's suspects on a worker."""
    return max(
        (
            run.task.possible_crashes()
            for run in worker.suspects.values()
            if run.task.step.job is not job
        ),
        default=0,
    )


def _has_long_running_of_others(worker: Worker, job: Job) -> bool:
    return any(
        run.task.step.request.lasts and run.task.step.job is not job for run in worker.runs.values()
    )
