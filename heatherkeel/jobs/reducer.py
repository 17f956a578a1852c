"""Decides records by job owners (submit, cancel, resolve) and ends jobs that can never run."""

from __future__ import annotations

from result import Err, Ok, Result

from heatherkeel.catalogue.models import PoolEntry
from heatherkeel.core.models import Accepted, Effect, RecordMeta, Rejected, RejectReason
from heatherkeel.core.registry import handles
from heatherkeel.core.state import FleetState

from . import checks, placing, tasks, usage  # noqa: F401
from .const import MAX_REMEMBERED_JOBS, MAX_REMEMBERED_PER_TEAM
from .feasibility import permanent_obstacle, pool_shapes
from .models import Job, JobChanged, JobStatus, job_team
from .records import JobCancel, JobResolve, JobSubmit, JobUnplaceable, Resolution
from .reservations import abandon_task, quota_of
from .transitions import (
    accepted,
    finish_job,
    not_found,
    remove_expired,
    requeue,
    spec_digest,
    stale_version,
    stop_task,
    wrong_state,
)


@handles("jobs.submit", JobSubmit)
def submit_job(state: FleetState, meta: RecordMeta, body: JobSubmit) -> Result[Accepted, Rejected]:
    """Accept a new job, or answer a resubmission with the existing one."""
    remove_expired(state, meta.now_ms)
    if job_team(body.job) != body.team:
        return Err(Rejected(reason=RejectReason.NOT_OWNER, detail=body.job))
    existing = _find_existing(state, body)
    if existing is not None:
        return existing
    rejection = _check_new(state, meta, body)
    if rejection is not None:
        return Err(rejection)
    state.jobs.live[body.job] = Job(
        spec=body.spec,
        submitted_ms=meta.now_ms,
        submitted_offset=meta.offset,
        changed_ms=meta.now_ms,
    )
    state.jobs.remembered[body.team] = state.jobs.remembered.get(body.team, 0) + 1
    state.jobs.accepted += 1
    changed = JobChanged(job=body.job, status=JobStatus.QUEUED, version=1, offset=meta.offset)
    return Ok(accepted(1, changed))


def _find_existing(state: FleetState, body: JobSubmit) -> Result[Accepted, Rejected] | None:
    """Return the outcome for a job id that already exists, or None for a new one.

    An owner that didn't receive the answer submits again, possibly much later; the job must not
    run a second time.
    """
    live = state.jobs.live.get(body.job)
    if live is not None and live.spec == body.spec:
        return Ok(accepted(live.version))
    finished = state.jobs.finished.get(body.job)
    if finished is not None and finished.spec_digest == spec_digest(body.spec):
        return Ok(accepted(finished.version))
    if live is None and finished is None:
        return None
    return Err(Rejected(reason=RejectReason.ALREADY_EXISTS, detail=body.job))


def _check_new(state: FleetState, meta: RecordMeta, body: JobSubmit) -> Rejected | None:
    size = body.spec.size
    if size.cpu_millicores == 0 or size.memory_mib == 0:
        return Rejected(reason=RejectReason.MALFORMED, detail="a job needs processor and memory")
    if 0 < body.spec.not_after_ms <= meta.now_ms:
        return Rejected(reason=RejectReason.EXPIRED, detail="its latest start has passed")
    pool = state.catalogue.entries.get(body.spec.pool)
    if pool is None or not isinstance(pool.entry, PoolEntry):
        return Rejected(reason=RejectReason.NOT_FOUND, detail=f"pool {body.spec.pool}")
    if quota_of(state, body.team) is None:
        return Rejected(reason=RejectReason.NOT_FOUND, detail=f"team {body.team}")
    if state.jobs.remembered.get(body.team, 0) >= MAX_REMEMBERED_PER_TEAM:
        return Rejected(reason=RejectReason.QUOTA, detail="too many jobs of this team")
    if len(state.jobs.live) + len(state.jobs.finished) >= MAX_REMEMBERED_JOBS:
        return Rejected(reason=RejectReason.QUOTA, detail="too many jobs")
    return None


@handles("jobs.cancel", JobCancel)
def cancel_jobs(state: FleetState, meta: RecordMeta, body: JobCancel) -> Result[Accepted, Rejected]:
    """Cancel queued jobs at once; ask the platform to stop the tasks of the others."""
    foreign = next((job_id for job_id in body.jobs if job_team(job_id) != body.team), None)
    if foreign is not None:
        return Err(Rejected(reason=RejectReason.NOT_OWNER, detail=foreign))
    effects: list[Effect] = []
    for job_id in body.jobs:
        job = state.jobs.live.get(job_id)
        if job is not None and not job.cancelling:
            effects.append(_cancel(state, meta, job_id, job))
    return Ok(accepted(0, *effects))


def _cancel(state: FleetState, meta: RecordMeta, job_id: str, job: Job) -> Effect:
    """Cancel a queued job, or request the stop of its task.

    A job with a task is reported as cancelled only after its task has ended. Otherwise its owner
    could submit it again while the first run continues.
    """
    if job.status is JobStatus.QUEUED:
        return finish_job(state, job_id, job, meta, JobStatus.CANCELLED, "cancelled while queued")
    job.cancelling = True
    job.version += 1
    job.changed_ms = meta.now_ms
    return stop_task(job_id, job)


@handles("jobs.resolve", JobResolve)
def resolve_job(
    state: FleetState, meta: RecordMeta, body: JobResolve
) -> Result[Accepted, Rejected]:
    """Run an unknown job again, or let it fail, as its owner decided."""
    if job_team(body.job) != body.team:
        return Err(Rejected(reason=RejectReason.NOT_OWNER, detail=body.job))
    job = state.jobs.live.get(body.job)
    if job is None:
        return Err(not_found(body.job))
    if job.version != body.expected_version:
        return Err(stale_version(body.job, job))
    if job.status is not JobStatus.UNKNOWN:
        return Err(wrong_state(body.job, job))
    stop = stop_task(body.job, job)
    abandon_task(state, body.job, job)
    if body.resolution is Resolution.GIVE_UP:
        reason = "given up by its owner while unknown"
        changed = finish_job(state, body.job, job, meta, JobStatus.FAILED, reason)
        return Ok(accepted(job.version, changed, stop))
    job.runs_allowed += 1
    job.cancelling = False
    reason = "run again by its owner"
    changed = requeue(state, body.job, job, meta, wait_ms=0, reason=reason)
    return Ok(accepted(job.version, changed, stop))


@handles("jobs.unplaceable", JobUnplaceable)
def end_unplaceable(
    state: FleetState, meta: RecordMeta, body: JobUnplaceable
) -> Result[Accepted, Rejected]:
    """End the listed jobs that can never run in the state at this offset."""
    queued = {
        job_id: job
        for job_id in body.jobs
        if (job := state.jobs.live.get(job_id)) is not None and job.status is JobStatus.QUEUED
    }
    shapes = pool_shapes(state, {job.spec.pool for job in queued.values()})
    effects: list[Effect] = []
    for job_id, job in queued.items():
        reason = permanent_obstacle(state, shapes, job_id, job)
        if reason:
            effects.append(finish_job(state, job_id, job, meta, JobStatus.FAILED, reason))
    if not effects:
        return Err(Rejected(reason=RejectReason.CONFLICT, detail="all of them may still run"))
    return Ok(accepted(0, *effects))
