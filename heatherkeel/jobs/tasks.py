"""Decides records about tasks, as observed on the platform.

Several entry instances may report the same observation, in any order and late, so each record is
matched to the attempt that it belongs to.
"""

from __future__ import annotations

from result import Err, Ok, Result

from heatherkeel.core.models import Accepted, Effect, RecordMeta, Rejected, RejectReason
from heatherkeel.core.registry import handles
from heatherkeel.core.state import FleetState

from .learning import update_family_usage
from .models import ACTIVE_STATUSES, Job, JobChanged, JobStatus, StopTask, latest_task_id
from .quarantine import record_failure, record_success
from .records import (
    LossEvidence,
    TaskCheckpointed,
    TaskEnded,
    TaskExit,
    TaskLost,
    TaskProvedNotStarted,
    TaskStarted,
)
from .reservations import abandon_task, record_usage, release, release_orphan
from .transitions import (
    accepted,
    count_late_failure,
    finish_job,
    may_run_again,
    not_found,
    requeue,
    retry_after_failure,
    retry_after_silence,
    retry_after_start_failure,
    set_status,
    stale_version,
    stop_task,
    wrong_state,
)

_STATUSES_WITH_TASK = (*ACTIVE_STATUSES, JobStatus.UNKNOWN)


@handles("jobs.started", TaskStarted)
def handle_task_started(
    state: FleetState, meta: RecordMeta, body: TaskStarted
) -> Result[Accepted, Rejected]:
    """Mark an attempt as running; stop its task if it was abandoned or is being cancelled."""
    orphan = state.jobs.orphans.get(body.task)
    if orphan is not None:
        return Ok(accepted(0, StopTask(task=body.task, job=body.job, instance=orphan.instance)))
    job = state.jobs.live.get(body.job)
    if job is None:
        return Err(not_found(body.job))
    if (
        body.task != latest_task_id(body.job, job)
        or job.status not in _STATUSES_WITH_TASK
        or job.reserved is None
    ):
        return Err(wrong_state(body.job, job))
    if job.status in (JobStatus.RUNNING, JobStatus.CHECKPOINTING):
        return Ok(accepted(job.version))
    job.started_ms = job.started_ms or meta.now_ms
    effects: list[Effect] = [set_status(body.job, job, meta, JobStatus.RUNNING)]
    if job.cancelling:
        effects.append(stop_task(body.job, job))
    return Ok(accepted(job.version, *effects))


@handles("jobs.ended", TaskEnded)
def handle_task_ended(
    state: FleetState, meta: RecordMeta, body: TaskEnded
) -> Result[Accepted, Rejected]:
    """Finish the job or queue a further attempt after its task ended."""
    if body.exit is TaskExit.SUCCEEDED and not body.ran:
        return Err(Rejected(reason=RejectReason.MALFORMED, detail="succeeded, but did not run"))
    if body.task in state.jobs.orphans:
        return Ok(_end_orphan(state, meta, body))
    job = state.jobs.live.get(body.job)
    if job is None:
        return Err(not_found(body.job))
    if body.task != latest_task_id(body.job, job) or job.status not in _STATUSES_WITH_TASK:
        return Err(wrong_state(body.job, job))
    record_usage(state, job, memory_mib=body.peak_memory_mib, cpu_millicores=body.cpu_millicores)
    return Ok(_end_attempt(state, meta, body, job))


def _end_orphan(state: FleetState, meta: RecordMeta, body: TaskEnded) -> Accepted:
    """Release an abandoned task; its success counts if no newer attempt has been placed."""
    instance = state.jobs.orphans[body.task].instance
    release_orphan(state, body.task)
    if body.ran and body.exit in (TaskExit.FAILED, TaskExit.OUT_OF_MEMORY):
        failed = count_late_failure(state, body.job, meta, f"{body.exit} on {instance}")
        if failed is not None:
            return accepted(failed.version, failed)
    job = state.jobs.live.get(body.job)
    if (
        job is None
        or job.status is not JobStatus.QUEUED
        or body.task != latest_task_id(body.job, job)
    ):
        return accepted(0)
    if body.exit is not TaskExit.SUCCEEDED:
        return accepted(job.version)
    reason = "succeeded after its lease had lapsed"
    changed = finish_job(state, body.job, job, meta, JobStatus.SUCCEEDED, reason)
    return accepted(changed.version, changed)


def _end_attempt(state: FleetState, meta: RecordMeta, body: TaskEnded, job: Job) -> Accepted:
    instance = job.instance
    release(state, body.job, job)
    update_family_usage(state, body.job, job, meta.now_ms)
    if body.exit is TaskExit.SUCCEEDED:
        record_success(state, instance)
        changed = finish_job(state, body.job, job, meta, JobStatus.SUCCEEDED)
        return accepted(changed.version, changed)
    if body.exit in (TaskExit.FAILED, TaskExit.REFUSED):
        record_failure(state, body.job, job, instance)
    reason = f"{body.exit} on {instance} {body.detail}".rstrip()
    # A task that was reported as running did run, even if a later report denies it.
    if not body.ran and job.started_ms == 0:
        changed = retry_after_start_failure(state, body.job, job, meta, reason, was_reached=True)
        return accepted(changed.version, changed)
    changed = _finish_or_retry(state, meta, body, job, reason)
    return accepted(changed.version, changed)


def _finish_or_retry(
    state: FleetState, meta: RecordMeta, body: TaskEnded, job: Job, reason: str
) -> JobChanged:
    """Cancel, fail or retry a job after an attempt that ran and didn't succeed."""
    if job.cancelling:
        return finish_job(state, body.job, job, meta, JobStatus.CANCELLED, reason)
    if not body.retryable:
        return finish_job(state, body.job, job, meta, JobStatus.FAILED, reason)
    if not may_run_again(job):
        full_reason = f"{reason}; not idempotent, so it is not run again"
        return finish_job(state, body.job, job, meta, JobStatus.FAILED, full_reason)
    return retry_after_failure(state, body.job, job, meta, reason)


@handles("jobs.not_started", TaskProvedNotStarted)
def handle_task_not_started(
    state: FleetState, meta: RecordMeta, body: TaskProvedNotStarted
) -> Result[Accepted, Rejected]:
    """Queue a job again after the platform proved that its task will never start."""
    if body.task in state.jobs.orphans:
        release_orphan(state, body.task)
        return Ok(accepted(0))
    job = state.jobs.live.get(body.job)
    if job is None:
        return Err(not_found(body.job))
    is_pending = job.status in (JobStatus.PLACED, JobStatus.UNKNOWN)
    if body.task != latest_task_id(body.job, job) or not is_pending or job.started_ms > 0:
        return Err(wrong_state(body.job, job))
    release(state, body.job, job)
    reason = "proved not to have started"
    changed = retry_after_start_failure(state, body.job, job, meta, reason, was_reached=False)
    return Ok(accepted(changed.version, changed))


@handles("jobs.checkpointed", TaskCheckpointed)
def handle_task_checkpointed(
    state: FleetState, meta: RecordMeta, body: TaskCheckpointed
) -> Result[Accepted, Rejected]:
    """Record a checkpoint, and queue the job again if its task stopped."""
    if body.task in state.jobs.orphans:
        if body.stopped:
            release_orphan(state, body.task)
        return Ok(accepted(0))
    job = state.jobs.live.get(body.job)
    if job is None:
        return Err(not_found(body.job))
    if (
        body.task != latest_task_id(body.job, job)
        or job.status not in _STATUSES_WITH_TASK
        or job.reserved is None
    ):
        return Err(wrong_state(body.job, job))
    if body.saved:
        job.checkpoint = body.task
    if body.stopped:
        return Ok(_end_at_checkpoint(state, meta, body, job))
    if job.status is JobStatus.RUNNING:
        return Ok(accepted(job.version))
    job.started_ms = job.started_ms or meta.now_ms
    changed = set_status(body.job, job, meta, JobStatus.RUNNING, "checkpoint did not stop it")
    return Ok(accepted(changed.version, changed))


def _end_at_checkpoint(
    state: FleetState, meta: RecordMeta, body: TaskCheckpointed, job: Job
) -> Accepted:
    release(state, body.job, job)
    if job.cancelling:
        changed = finish_job(state, body.job, job, meta, JobStatus.CANCELLED, "stopped")
    elif body.saved:
        changed = requeue(state, body.job, job, meta, wait_ms=0, reason="checkpointed")
    else:
        changed = _retry_or_mark_unknown(state, meta, body.job, job, "stopped without a checkpoint")
    return accepted(changed.version, changed)


@handles("jobs.lost", TaskLost)
def handle_task_lost(
    state: FleetState, meta: RecordMeta, body: TaskLost
) -> Result[Accepted, Rejected]:
    """Handle a task whose lease has expired or that the platform can't run any more."""
    gone = body.evidence is LossEvidence.TASK_GONE
    if body.task in state.jobs.orphans and gone:
        return Ok(_lose_orphan(state, meta, body))
    job = state.jobs.live.get(body.job)
    if job is None:
        return Err(not_found(body.job))
    if job.version != body.expected_version:
        return Err(stale_version(body.job, job))
    holds_worker = job.status is JobStatus.UNKNOWN and gone and job.reserved is not None
    if body.task != latest_task_id(body.job, job) or not (
        job.status in ACTIVE_STATUSES or holds_worker
    ):
        return Err(wrong_state(body.job, job))
    if gone:
        release(state, body.job, job)
        reason = f"gone with {job.instance}"
        changed = _retry_or_mark_unknown(state, meta, body.job, job, reason)
        return Ok(accepted(changed.version, changed))
    changed = _handle_expired_lease(state, meta, body.job, job)
    return Ok(accepted(changed.version, changed))


def _lose_orphan(state: FleetState, meta: RecordMeta, body: TaskLost) -> Accepted:
    """Release an abandoned task that is gone with its worker, which its job may have crashed."""
    instance = state.jobs.orphans[body.task].instance
    release_orphan(state, body.task)
    changed = count_late_failure(state, body.job, meta, f"gone with {instance}")
    return accepted(0) if changed is None else accepted(changed.version, changed)


def _retry_or_mark_unknown(
    state: FleetState, meta: RecordMeta, job_id: str, job: Job, reason: str
) -> JobChanged:
    """Retry a job whose task can't run any more, or mark it unknown if it must not run twice."""
    if may_run_again(job):
        return retry_after_failure(state, job_id, job, meta, reason)
    full_reason = f"{reason}: it may have run, and is not idempotent"
    return set_status(job_id, job, meta, JobStatus.UNKNOWN, full_reason)


def _handle_expired_lease(state: FleetState, meta: RecordMeta, job_id: str, job: Job) -> JobChanged:
    """Retry an idempotent job whose lease has expired, or mark any other job as unknown.

    The worker may be partitioned with the task still running, so a second attempt could run at
    the same time. Jobs that aren't idempotent wait for proof or for their owner's decision.
    """
    if job.spec.idempotent:
        reason = f"lease lapsed on {job.instance}"
        abandon_task(state, job_id, job)
        return retry_after_silence(state, job_id, job, meta, reason)
    full_reason = f"lease lapsed on {job.instance}: it may have run, or be running"
    return set_status(job_id, job, meta, JobStatus.UNKNOWN, full_reason)
