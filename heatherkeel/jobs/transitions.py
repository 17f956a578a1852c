"""Status transitions of jobs, shared by the handlers of job records."""

from __future__ import annotations

import hashlib

import msgspec

from heatherkeel.core.models import Accepted, Effect, RecordMeta, Rejected, RejectReason
from heatherkeel.core.state import FleetState

from .const import (
    CLEANUP_INTERVAL_MS,
    FINISHED_RETENTION_MS,
    MAX_START_FAILURES,
    RETRY_BASE_MS,
    RETRY_MAX_MS,
)
from .models import (
    CheckpointTask,
    FinishedJob,
    Job,
    JobChanged,
    JobSpec,
    JobStatus,
    StopTask,
    job_team,
    latest_task_id,
)
from .reservations import release, release_orphan

_ENCODER = msgspec.json.Encoder(order="sorted")


def spec_digest(spec: JobSpec) -> str:
    """Return a digest that distinguishes a resubmission from another job with the same id."""
    return hashlib.blake2b(_ENCODER.encode(spec), digest_size=8).hexdigest()


def not_found(job_id: str) -> Rejected:
    """Return the rejection of a record about a job that isn't live."""
    return Rejected(reason=RejectReason.NOT_FOUND, detail=job_id)


def wrong_state(job_id: str, job: Job) -> Rejected:
    """Return the rejection of a record that doesn't apply to the job's status."""
    detail = f"{job_id} is {job.status} at attempt {job.attempt}"
    return Rejected(reason=RejectReason.WRONG_STATE, detail=detail, version=job.version)


def stale_version(job_id: str, job: Job) -> Rejected:
    """Return the rejection of a record that is based on an outdated version of the job."""
    return Rejected(reason=RejectReason.STALE_VERSION, detail=job_id, version=job.version)


def may_run_again(job: Job) -> bool:
    """Return whether another attempt is allowed; jobs that aren't idempotent have limited runs."""
    return job.spec.idempotent or bool(job.checkpoint) or job.runs < job.runs_allowed


def set_status(
    job_id: str, job: Job, meta: RecordMeta, status: JobStatus, reason: str = ""
) -> JobChanged:
    """Set the status of a job and return the effect that reports it."""
    job.status = status
    job.reason = reason
    job.version += 1
    job.changed_ms = meta.now_ms
    return JobChanged(
        job=job_id, status=status, version=job.version, offset=meta.offset, reason=reason
    )


def finish_job(
    state: FleetState,
    job_id: str,
    job: Job,
    meta: RecordMeta,
    status: JobStatus,
    reason: str = "",
) -> JobChanged:
    """Finish a job and keep a summary of it for queries and resubmissions."""
    release(state, job_id, job)
    changed = set_status(job_id, job, meta, status, reason)
    del state.jobs.live[job_id]
    state.jobs.finished[job_id] = FinishedJob(
        spec_digest=spec_digest(job.spec),
        status=status,
        ended_ms=meta.now_ms,
        version=job.version,
        attempt=job.attempt,
        reason=reason,
    )
    return changed


def requeue(
    state: FleetState, job_id: str, job: Job, meta: RecordMeta, *, wait_ms: int, reason: str
) -> JobChanged:
    """Queue a job again; the caller has released or abandoned its reservation."""
    job.not_before_ms = meta.now_ms + wait_ms
    job.instance = ""
    return set_status(job_id, job, meta, JobStatus.QUEUED, reason)


def retry_after_failure(
    state: FleetState, job_id: str, job: Job, meta: RecordMeta, reason: str
) -> JobChanged:
    """Retry a job after an attempt that ran or may have run, unless its limit is reached."""
    job.failures += 1
    if job.cancelling:
        return finish_job(state, job_id, job, meta, JobStatus.CANCELLED, reason)
    if job.failures >= job.spec.max_attempts:
        full_reason = f"attempt {job.failures} of {job.spec.max_attempts}: {reason}"
        return finish_job(state, job_id, job, meta, JobStatus.FAILED, full_reason)
    wait_ms = backoff_ms(job.failures + job.losses)
    return requeue(state, job_id, job, meta, wait_ms=wait_ms, reason=reason)


def retry_after_silence(
    state: FleetState, job_id: str, job: Job, meta: RecordMeta, reason: str
) -> JobChanged:
    """Retry a job after an abandoned attempt, about which nothing is known; that is no failure.

    Each retry waits longer: the job may be what silences its workers.
    """
    job.losses += 1
    if job.cancelling:
        return finish_job(state, job_id, job, meta, JobStatus.CANCELLED, reason)
    wait_ms = backoff_ms(job.failures + job.losses)
    return requeue(state, job_id, job, meta, wait_ms=wait_ms, reason=reason)


def count_late_failure(
    state: FleetState, job_id: str, meta: RecordMeta, reason: str
) -> JobChanged | None:
    """Count an abandoned attempt that is now known to have ended without success.

    A job that is queued fails at its limit; a later attempt that has been placed may succeed.
    """
    job = state.jobs.live.get(job_id)
    if job is None or not job.spec.idempotent:
        return None
    job.failures += 1
    if job.status is not JobStatus.QUEUED or job.failures < job.spec.max_attempts:
        return None
    full_reason = f"attempt {job.failures} of {job.spec.max_attempts}: {reason}"
    return finish_job(state, job_id, job, meta, JobStatus.FAILED, full_reason)


def retry_after_start_failure(
    state: FleetState,
    job_id: str,
    job: Job,
    meta: RecordMeta,
    reason: str,
    *,
    was_reached: bool,
) -> JobChanged:
    """Retry a job after an attempt that is known not to have run, unless its limit is reached.

    An attempt that didn't reach its worker says nothing about the job and has no limit.
    """
    job.start_failures += was_reached
    job.unreached += not was_reached
    if not job.resumed:
        job.runs -= 1
    if job.cancelling:
        return finish_job(state, job_id, job, meta, JobStatus.CANCELLED, reason)
    if job.start_failures >= MAX_START_FAILURES:
        full_reason = f"not started in {job.start_failures} tries: {reason}"
        return finish_job(state, job_id, job, meta, JobStatus.FAILED, full_reason)
    wait_ms = backoff_ms(job.start_failures + job.unreached)
    return requeue(state, job_id, job, meta, wait_ms=wait_ms, reason=reason)


def backoff_ms(failures: int) -> int:
    """Return the delay before the next attempt in log milliseconds (exponential backoff)."""
    doublings = min(failures - 1, 20)
    return min(RETRY_BASE_MS << doublings, RETRY_MAX_MS)


def stop_task(job_id: str, job: Job) -> StopTask:
    """Return the effect that stops the latest attempt of a job."""
    return StopTask(task=latest_task_id(job_id, job), job=job_id, instance=job.instance)


def checkpoint_task(job_id: str, job: Job) -> CheckpointTask:
    """Return the effect that checkpoints and stops the latest attempt of a job."""
    return CheckpointTask(task=latest_task_id(job_id, job), job=job_id, instance=job.instance)


def accepted(version: int, *effects: Effect) -> Accepted:
    """Return the acceptance of a record with its effects."""
    return Accepted(version=version, effects=effects)


def remove_expired(state: FleetState, now_ms: int) -> None:
    """Remove expired finished jobs and holds, and entries of workers that no longer exist.

    This depends on log time only, so it may precede a record that is then refused.
    """
    jobs = state.jobs
    if now_ms - jobs.forgot_ms < CLEANUP_INTERVAL_MS:
        return
    jobs.forgot_ms = now_ms
    for job_id in [key for key, job in jobs.finished.items() if _is_expired(job, now_ms)]:
        _remove_finished_job(state, job_id)
    jobs.holds = {key: hold for key, hold in jobs.holds.items() if hold.until_ms > now_ms}
    present = state.pools.instances
    jobs.workers = {key: record for key, record in jobs.workers.items() if key in present}
    gone = [task for task, orphan in jobs.orphans.items() if orphan.instance not in present]
    for task in gone:
        release_orphan(state, task)


def _is_expired(job: FinishedJob, now_ms: int) -> bool:
    return job.ended_ms + FINISHED_RETENTION_MS <= now_ms


def _remove_finished_job(state: FleetState, job_id: str) -> None:
    del state.jobs.finished[job_id]
    state.jobs.forgotten += 1
    team = job_team(job_id)
    state.jobs.remembered[team] -= 1
    if state.jobs.remembered[team] == 0:
        del state.jobs.remembered[team]
