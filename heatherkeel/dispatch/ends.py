"""Handling of ended runs: done, failed, stopped, or lost with their worker."""

from __future__ import annotations

import logging

from heatherkeel.platform.workers import EndedTask

from .building import fold_if_over, open_dependents
from .const import QUARANTINE_FAILURES
from .events import CountGivenUp, CountLoss, CountWithheld, Effects, SaveJob
from .evidence import count_other_losses, count_silent_workers, judge_loss, measure_run_ms
from .jobs import end_job, save_ended_job, stop_run
from .models import Job, JobState, LossCause, LossReason, Run, Step, Task, WorkerLoss
from .pools import enqueue_step, find_pool, remove_run
from .slowness import record_speed
from .stalled import quarantine_worker
from .state import PartitionState
from .suspicion import (
    clear_suspicion,
    count_loss,
    pause_if_unclear,
    serves_beside,
    withhold_task,
)
from .timing import measure_run, record_step_durations
from .worker import Worker

_LOGGER = logging.getLogger(__name__)

DONE, FAILED = "done", "failed"


def find_task(state: PartitionState, name: str) -> Task | None:
    """Return the task with a name listed by a worker; None if it is unknown or invalid."""
    job_id, *numbers = name.rsplit(".", 3)
    job = state.find_job(job_id)
    if job is None or len(numbers) != 3 or not all(number.isdecimal() for number in numbers):
        return None
    occurrence, step, index = map(int, numbers)
    steps = job.occurrences.get(occurrence, [])
    if step >= len(steps) or index >= len(steps[step].tasks):
        return None
    return steps[step].tasks[index]


def process_end(state: PartitionState, worker: Worker, ended: EndedTask, effects: Effects) -> None:
    """Process one end that a worker has listed."""
    run = worker.runs.get((ended.task, ended.attempt))
    task = run.task if run is not None else find_task(state, ended.task)
    took_ms = measure_run(worker, run, state.now_ms) if run is not None else None
    if run is not None:
        remove_run(state, run)
        worker.full_until_ms = 0
        effects.touch(run.task.step.job.service)
    if task is None:
        return
    if ended.saved:
        task.saved = ended.saved
    job = task.step.job
    if job.state.is_final():
        _save_if_known(state, job, effects)
        return
    if ended.outcome == DONE and not task.step.request.lasts:
        worker.failed_jobs.clear()
        if run is not None and took_ms is not None and not task.is_done:
            record_speed(state, worker, run, took_ms)
            task.step.times.add(took_ms)
        finish_task(state, task, effects)
    elif ended.outcome == FAILED:
        fail_task(state, worker, task, ended, effects)
    else:
        _LOGGER.info(
            "run ended early",
            extra={
                "event": "run_ended",
                "task": ended.task,
                "attempt": ended.attempt,
                "worker": worker.id,
                "outcome": ended.outcome,
                "saved": bool(ended.saved),
            },
        )
    effects.add(SaveJob(job_id=job.id))
    if not job.state.is_final() and not _fold(state, task.step):
        enqueue_step(state, task.step)


def _fold(state: PartitionState, step: Step) -> bool:
    """Fold a step's occurrence, if it is over; returns whether it is."""
    steps = fold_if_over(step.job, step.occurrence)
    for known in steps:
        find_pool(state, step.job.service).open_steps.discard(known)
    return bool(steps)


def _save_if_known(state: PartitionState, job: Job, effects: Effects) -> None:
    """Store an ended job, unless it only stands for one that isn't known.

    The records under such an ID may be those of a job that goes on.
    """
    if state.find_job(job.id) is job:
        save_ended_job(job, effects)


def finish_task(state: PartitionState, task: Task, effects: Effects) -> None:
    """Mark a task as done; for a gang, one done task marks all of them."""
    step = task.step
    done = step.tasks if step.request.is_gang else [task]
    for member in done:
        if member.is_done:
            continue
        member.is_done = True
        clear_suspicion(member)
        step.done += 1
        # An earlier run that was presumed lost may have ended as done, so stop the later one.
        for run in list(member.runs):
            if not step.request.is_gang:
                stop_run(state, run, effects)
    if not step.is_done():
        return
    find_pool(state, step.job.service).open_steps.discard(step)
    record_step_durations(state, step, effects)
    for follower in open_dependents(step):
        enqueue_step(state, follower)
        effects.touch(step.job.service)
    _end_if_complete(state, step.job, effects)


def _end_if_complete(state: PartitionState, job: Job, effects: Effects) -> None:
    if job.find_next_occurrence() is None and all(step.is_done() for step in job.steps()):
        end_job(state, job, JobState.COMPLETE, effects)


def fail_task(
    state: PartitionState, worker: Worker, task: Task, ended: EndedTask, effects: Effects
) -> None:
    """Record a failed attempt; the job fails when a task has used up its attempts."""
    job = task.step.job
    step = task.step
    counted = step.tasks if step.request.is_gang else [task]
    for member in counted:
        member.failed_attempts.add(ended.attempt)
    _LOGGER.warning(
        "run failed",
        extra={
            "event": "run_failed",
            "task": task.name,
            "attempt": ended.attempt,
            "worker": worker.id,
            "failures": task.failures(),
        },
    )
    _record_worker_failure(state, worker, job)
    allowed = state.find_max_failures(job)
    if step.request.lasts or allowed is None or task.failures() < allowed:
        return
    if task.is_done:
        # Another copy has ended as done, so the job can still be completed.
        return
    end_job(state, job, JobState.FAILED, effects)


def _record_worker_failure(state: PartitionState, worker: Worker, job: Job) -> None:
    """Quarantine a worker that has failed several jobs in a row.

    A worker that fails everything is always the emptiest of its pool, so it would get most of the
    work and use up the attempts of one job after the other.
    """
    if job.id not in worker.failed_jobs:
        worker.failed_jobs.append(job.id)
    if len(worker.failed_jobs) < QUARANTINE_FAILURES:
        return
    if quarantine_worker(state, worker, why="it fails what it starts"):
        worker.failed_jobs.clear()


def lose_run(
    state: PartitionState,
    run: Run,
    effects: Effects,
    *,
    reason: LossReason,
    loss: WorkerLoss | None = None,
) -> None:
    """Remove a run that is certainly lost, so that its task can start again.

    `loss` is what is known of its worker, if that was lost with it.
    """
    cause = judge_loss(state, run, reason, loss)
    _log_loss(state, run, reason, cause, loss)
    effects.add(CountLoss(reason=reason, cause=cause))
    remove_run(state, run)
    task = run.task
    if run.saved:
        task.saved = run.saved
    job = task.step.job
    effects.touch(job.service)
    if job.state.is_final():
        _save_if_known(state, job, effects)
        return
    if count_loss(state, run, cause, loss):
        _give_up_task(state, run, effects)
        return
    if cause is LossCause.UNCLEAR or cause is LossCause.CRASH:
        pause_if_unclear(state, task)
    effects.add(SaveJob(job_id=job.id))
    if not _fold(state, task.step) and not task.step.is_done():
        enqueue_step(state, task.step)


def _give_up_task(state: PartitionState, run: Run, effects: Effects) -> None:
    """Start a task that crashes workers no more, and end its job unless that harms others."""
    task = run.task
    job = task.step.job
    is_withheld = serves_beside(task)
    _LOGGER.error(
        "task crashes workers",
        extra={
            "event": "task_withheld" if is_withheld else "job_given_up",
            "job": job.id,
            "task": task.name,
            "attempt": run.attempt,
            "worker": run.worker_id,
            "crashes": task.crashes,
            "unclear": task.unclear_losses,
        },
    )
    if is_withheld:
        withhold_task(task)
        effects.add(CountWithheld())
        effects.add(SaveJob(job_id=job.id))
        return
    effects.add(CountGivenUp())
    end_job(state, job, JobState.FAILED, effects)


def _log_loss(
    state: PartitionState,
    run: Run,
    reason: LossReason,
    cause: LossCause,
    loss: WorkerLoss | None,
) -> None:
    """Log a lost run, with what shows whether it may have crashed its worker.

    A worker that went right after its start may have crashed because of it.
    """
    worker = state.workers.get(run.worker_id)
    listed_for_ms = None
    if worker is not None and run.listed_since_ms:
        listed_for_ms = worker.clock_received_ms - run.listed_since_ms
    _LOGGER.info(
        "run lost",
        extra={
            "event": "run_lost",
            "task": run.task.name,
            "attempt": run.attempt,
            "worker": run.worker_id,
            "why": reason.value,
            "order": run.state.value,
            "age_ms": state.now_ms - run.started_ms if run.started_ms else None,
            "listed_for_ms": listed_for_ms,
            "ran_ms": measure_run_ms(run, loss.gone_ms if loss is not None else None),
            "is_confirmed": run.begun_ms is not None or bool(run.listed_since_ms),
            "heard_ms": _since_start(run, worker.clock_received_ms if worker else None),
            "named_ms": _since_start(run, worker.named_ms if worker else None),
            "silent_workers": count_silent_workers(state, run.task.step.job, but=run.worker_id),
            "other_losses": count_other_losses(state, run.task.step.job),
            "cause": cause.value,
            "at_work": sum(1 for other in run.task.step.job.runs() if other.is_at_work),
            "beside": len(worker.runs) - 1 if worker else None,
        },
    )


def _since_start(run: Run, at_ms: int | None) -> int | None:
    """Return the time from a run's start to a later moment, negative for an earlier one."""
    return at_ms - run.started_ms if at_ms and run.started_ms else None
