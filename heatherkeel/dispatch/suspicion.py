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
    MAX_LISTED_FOR_START,
    MAX_PAUSE_MS,
    MAX_SOLE_CRASHES,
    MAX_SUDDEN_CRASHES,
    MIN_KNOWN_CRASHES,
    PROVEN_MS,
)
from .events import Effects, ListWorker, SaveJob
from .evidence import count_other_losses, is_heard, ran_for_a_while
from .models import Job, LossCause, Run, Step, Task, WorkerLoss
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
        case LossCause.EXCUSED:
            task.excused_losses += 1
            return False
        case _:
            return False
    job = task.step.job
    job.possible_crashes = max(job.possible_crashes, task.possible_crashes())
    is_known = task.crashes >= MIN_KNOWN_CRASHES
    return is_known and task.possible_crashes() >= _crash_limit(state, run, loss)


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
    state.paused.append((state.now_ms + pause_ms, task))
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
    due = [task for until_ms, task in state.paused if until_ms <= state.now_ms]
    if not due:
        return
    state.paused = [entry for entry in state.paused if entry[0] > state.now_ms]
    for task in due:
        task.is_paused = False
        enqueue_step(state, task.step)
        effects.touch(task.step.job.service)


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
    job = task.step.job
    job.possible_crashes = max(job.possible_crashes, task.possible_crashes())


def clear_suspicion(task: Task) -> None:
    """Clear a task of suspicion."""
    task.excused_losses = 0
    if not task.possible_crashes():
        return
    task.crashes = task.unclear_losses = 0
    job = task.step.job
    job.possible_crashes = max(
        other.possible_crashes() for step in job.steps() for other in step.tasks
    )


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
    if run.task.possible_crashes() or run.task.excused_losses:
        effects.add(SaveJob(job_id=job.id))
    clear_suspicion(run.task)


def choose_heard(
    state: PartitionState, step: Step, workers: list[Worker], effects: Effects
) -> list[Worker]:
    """Return the workers on which a step may start: for a suspect, those that were just heard.

    Otherwise a worker that had gone before the start couldn't be told from one that the task has
    crashed. If few were heard, some idle ones are listed.
    """
    if step.job.possible_crashes < ISOLATION_CRASHES:
        return workers
    heard = [worker for worker in workers if may_take_suspect(state, step, worker)]
    idle = [worker for worker in workers if not worker.runs and worker not in heard]
    idle.sort(key=Worker.free_cpu, reverse=True)
    for worker in idle[: max(0, MAX_LISTED_FOR_START - len(heard))]:
        effects.add(ListWorker(worker_id=worker.id))
    return heard


def may_take_suspect(state: PartitionState, step: Step, worker: Worker) -> bool:
    """Return whether a worker was just heard, if the step's job is suspected of several crashes."""
    return step.job.possible_crashes < ISOLATION_CRASHES or is_heard(worker, state.now_ms)


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
