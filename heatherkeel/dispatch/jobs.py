"""Submission, cancellation and end of jobs."""

from __future__ import annotations

import logging

from heatherkeel.platform.callers import JobRequest

from .building import (
    LARGE_JOB_BYTES,
    estimate_kept_bytes,
    set_latest_starts,
    set_objective,
)
from .events import (
    DropRecord,
    DurationsOffered,
    Effects,
    EndStored,
    ForgetJob,
    ForwardRefused,
    JobCanceled,
    JobSubmitted,
    JobUnstorable,
    ObserveEndStored,
    QueuesChanged,
    ReportEndStored,
    SaveJob,
    StopTask,
)
from .forwarding import forward_cancel, forward_submission, log_taken_id
from .models import Job, JobState, Run, RunState
from .occurrences import begin_due_occurrences
from .pools import enqueue_step, find_pool, remove_run
from .progress_records import choose_rows
from .records import make_relocated_key
from .registry import handles
from .state import PartitionState

_LOGGER = logging.getLogger(__name__)


@handles(QueuesChanged)
def update_queues(state: PartitionState, event: QueuesChanged, effects: Effects) -> None:
    """Update the configured queues; accepted jobs keep the objective that they have."""
    state.queues = event.queues


@handles(JobSubmitted)
def add_submitted_job(state: PartitionState, event: JobSubmitted, effects: Effects) -> None:
    """Add a submitted job, unless it is known: callers retry submissions without an answer."""
    if forward_submission(state, event, effects):
        return
    known = state.find_job(event.job_id)
    if known is not None:
        if known.workspace != event.workspace:
            _reject_duplicate(known, event, effects)
        elif known.state.is_final():
            forget_request(known, effects)
        return
    job = Job(
        id=event.job_id,
        queue=event.queue,
        service=event.service,
        workspace=event.workspace,
        account=state.accounts.find(event.workspace),
        request=event.request,
        kept_bytes=estimate_kept_bytes(event.request),
        rows_per_record=choose_rows(event.request, record_bytes=state.record_bytes),
        terms=event.terms,
        accepted_ms=event.now_ms - max(0, min(event.wall_ms - event.accepted_wall_ms, 60_000)),
        accepted_wall_ms=event.accepted_wall_ms,
    )
    job.estimates = state.durations.estimate(job.queue, job.request, state.now_ms)
    set_objective(job, state.find_terms(job))
    if job.account is not None:
        job.is_excess = not job.account.takes_share(
            job.service, partitions=event.partitions, now_ms=event.now_ms
        )
    state.jobs[job.id] = job
    begin_due_occurrences(state, job, effects)
    if job.occurrences:
        find_pool(state, job.service).record_arrival(job, state.now_ms)
    _LOGGER.info(
        "job accepted",
        extra={
            "event": "job_taken",
            "job": job.id,
            "queue": job.queue,
            "workspace": job.workspace,
            "is_excess": job.is_excess,
            "tasks": sum(step.count for step in job.request.steps),
            "lasts": any(step.lasts for step in job.request.steps),
            "fills": any(step.fills for step in job.request.steps),
            "objective_ms": round(job.due_ms - job.accepted_ms),
            "is_learned": job.estimates is not None,
            "age_ms": event.now_ms - job.accepted_ms,
        },
    )


@handles(DurationsOffered)
def handle_durations_offered(
    state: PartitionState, event: DurationsOffered, effects: Effects
) -> None:
    """Take over what others know of durations.

    A new owner sets the objectives of its predecessor's jobs again, if nothing of them has started:
    it had to accept them by what is declared.
    """
    queues = state.durations.apply_offer(event.offer, event.now_ms)
    if not queues or not state.durations.may_revise(event.now_ms):
        return
    for job in list(state.jobs.values()):
        if job.queue in queues and job.estimates is None and not job.has_started():
            _revise_objective(state, job)
            effects.touch(job.service)


def _revise_objective(state: PartitionState, job: Job) -> None:
    """Set a job's objective by learned durations; a repeated job keeps the one that it has."""
    if job.request.repeat_count:
        return
    open_steps = find_pool(state, job.service).open_steps
    # Waiting steps are sorted by these values, so they are taken out before any of them changes.
    for step in job.steps():
        open_steps.discard(step)
    job.estimates = state.durations.estimate(job.queue, job.request, state.now_ms)
    set_objective(job, state.find_terms(job))
    for steps in job.occurrences.values():
        set_latest_starts(job, steps, begins_ms=float(job.accepted_ms))
        for step in steps:
            enqueue_step(state, step)


def _reject_duplicate(known: Job, event: JobSubmitted, effects: Effects) -> None:
    """Drop a submission whose ID another workspace's job has."""
    effects.add(ForgetJob(job_id=event.job_id, workspace=event.workspace, only_request=True))
    log_taken_id(known, event)


def forget_request(job: Job, effects: Effects) -> None:
    """Delete what its callers have stored for an ended job, and by what it came here."""
    effects.add(ForgetJob(job_id=job.id, workspace=job.workspace, only_request=True))
    if job.moves:
        key = make_relocated_key(job.id, job.workspace, moves=job.moves)
        effects.add(DropRecord(key=key))


@handles(JobCanceled)
def cancel_job(state: PartitionState, event: JobCanceled, effects: Effects) -> None:
    """Cancel a job: start no more of its tasks, and stop those that run."""
    if forward_cancel(state, event, effects):
        return
    job = state.find_job(event.job_id)
    if job is None:
        return
    if job.workspace and job.workspace != event.workspace:
        effects.add(ForgetJob(job_id=job.id, workspace=event.workspace, only_request=True))
        return
    if job.state.is_final():
        forget_request(job, effects)
        return
    end_job(state, job, JobState.CANCELED, effects)


def end_job(state: PartitionState, job: Job, final_state: JobState, effects: Effects) -> None:
    """Set a job's final state, and stop its remaining runs."""
    job.state = final_state
    job.ended_ms = state.now_ms
    del state.jobs[job.id]
    state.finished[job.id] = job
    pool = find_pool(state, job.service)
    for step in job.steps():
        pool.open_steps.discard(step)
    for run in job.runs():
        stop_run(state, run, effects)
    save_ended_job(job, effects)
    if final_state is JobState.CANCELED:
        # Its cancellation is stored, which each later owner reads.
        job.shown_ms = state.now_ms
    else:
        effects.add(ReportEndStored(job=job))
    effects.touch(job.service)
    _LOGGER.info(
        "job ended",
        extra={
            "event": "job_ended",
            "job": job.id,
            "queue": job.queue,
            "state": final_state.value,
            "took_ms": state.now_ms - job.accepted_ms,
            "late_ms": round(state.now_ms - job.due_ms),
        },
    )


@handles(JobUnstorable)
def end_unstorable_job(state: PartitionState, event: JobUnstorable, effects: Effects) -> None:
    """Fail a job whose progress can't be stored: nothing of it could start or end any more.

    Its end is stored with nothing that it has chosen. If that isn't taken either, the job stays as
    it is, and no later owner is misled.
    """
    job = state.jobs.get(event.job_id)
    if job is None:
        return
    job.is_unstorable = True
    end_job(state, job, JobState.FAILED, effects)


@handles(ForwardRefused)
def end_refused_job(state: PartitionState, event: ForwardRefused, effects: Effects) -> None:
    """Fail a job that can't be stored where it was to run; nothing of it has started there."""
    forwarded = state.forwarded.pop(event.job_id, None)
    if forwarded is None:
        return
    job = Job(
        id=forwarded.id,
        queue=forwarded.queue,
        service=forwarded.service,
        workspace=forwarded.workspace,
        request=JobRequest(),
        accepted_ms=state.now_ms,
        accepted_wall_ms=forwarded.accepted_wall_ms,
        moves=forwarded.moves,
        is_unstorable=True,
    )
    state.jobs[job.id] = job
    end_job(state, job, JobState.FAILED, effects)


@handles(EndStored)
def show_end(state: PartitionState, event: EndStored, effects: Effects) -> None:
    """Show callers how a job has ended, since no later owner can take that back."""
    job = event.job
    job.shown_ms = state.now_ms
    after_ms = state.now_ms - (job.ended_ms or state.now_ms)
    effects.add(ObserveEndStored(after_ms=after_ms))
    _drop_tasks(job)
    _LOGGER.info(
        "job's end is stored",
        extra={
            "event": "end_stored",
            "job": job.id,
            "state": job.state.value,
            "after_ms": after_ms,
        },
    )


def _drop_tasks(job: Job) -> None:
    """Drop the tasks of a large job that has ended, which is still shown for minutes.

    Where a run may be left, its task is needed for the worker's capacity.
    """
    if job.kept_bytes < LARGE_JOB_BYTES or job.has_runs():
        return
    job.occurrences = {}
    job.request = JobRequest()
    job.estimates = None
    job.kept_bytes = 0


def save_ended_job(job: Job, effects: Effects) -> None:
    """Store an ended job, and delete its request once none of its runs may remain.

    The next owner needs the request to know the capacity that remaining runs use.
    """
    effects.add(SaveJob(job_id=job.id))
    if not job.has_runs():
        forget_request(job, effects)


def stop_leftover_runs(state: PartitionState, effects: Effects) -> None:
    """Stop runs of ended jobs that an earlier owner left running, or was stopping."""
    for job in [*state.finished.values(), *state.jobs.values()]:
        for run in job.runs():
            if run.state is RunState.STOPPING:
                effects.add(StopTask(run=run))
            elif job.state.is_final():
                stop_run(state, run, effects)


def stop_run(state: PartitionState, run: Run, effects: Effects) -> None:
    """Stop a run; its capacity stays in use until its worker lists the end."""
    if run.state is RunState.STOPPING:
        return
    if run.state is RunState.PLANNED and run.answered_ms is None:
        # The start hasn't been sent. Its session drops it, since the run is no longer known.
        remove_run(state, run)
        return
    run.state = RunState.STOPPING
    run.stopping_since_ms = state.now_ms
    run.answered_ms = None
    lasts = run.task.step.request.lasts
    if lasts:
        # The next owner has to know that this task is unavailable, though still listed as running.
        effects.add(SaveJob(job_id=run.task.step.job.id))
    effects.add(StopTask(run=run, once_stored=lasts))
