"""Decides placements of jobs, and checkpoints for preemptions and drains."""

from __future__ import annotations

from result import Err, Ok, Result

from heatherkeel.catalogue.models import ServiceClass
from heatherkeel.core.models import Accepted, RecordMeta, Rejected, RejectReason
from heatherkeel.core.registry import handles
from heatherkeel.core.state import FleetState
from heatherkeel.pools.models import InstanceStatus

from .const import HOLD_MS, START_WINDOW_MS
from .models import (
    DRAINING_STATUSES,
    Hold,
    Job,
    JobStatus,
    StartTask,
    job_team,
    latest_task_id,
    task_id,
)
from .quarantine import is_quarantined
from .records import CheckpointCause, JobCheckpoint, JobPlace
from .reservations import find_shortage, held_for, quota_of, required_resources, reserve
from .transitions import (
    accepted,
    checkpoint_task,
    may_run_again,
    not_found,
    set_status,
    stale_version,
    wrong_state,
)


@handles("jobs.place", JobPlace)
def place_job(state: FleetState, meta: RecordMeta, body: JobPlace) -> Result[Accepted, Rejected]:
    """Assign the next attempt to a worker, if the job, the worker and the quota allow it."""
    job = state.jobs.live.get(body.job)
    if job is None:
        return Err(not_found(body.job))
    rejection = _check_job(meta, body, job) or _check_worker(state, body, job)
    if rejection is not None:
        return Err(rejection)
    team = job_team(body.job)
    quota = quota_of(state, team)
    if quota is None:
        return Err(Rejected(reason=RejectReason.QUOTA, detail=f"team {team} has no entry"))
    need = required_resources(state, body.job, job, state.pools.instances[body.instance], quota)
    shortage = find_shortage(state, team, quota, body.instance, need)
    if shortage is not None:
        return Err(shortage)
    reserve(state, body.job, job, body.instance, need)
    _begin_attempt(job, body)
    if state.jobs.holds.get(body.instance, _NO_HOLD).job == body.job:
        del state.jobs.holds[body.instance]
    changed = set_status(body.job, job, meta, JobStatus.PLACED)
    return Ok(accepted(job.version, changed, start_task(body.job, job)))


_NO_HOLD = Hold(job="", until_ms=0)


def start_task(job_id: str, job: Job) -> StartTask:
    """Return the effect that starts the latest attempt of a placed job.

    It depends on the state only and the task id is fixed, so any process can repeat it without a
    second run if the placer crashes.
    """
    assert job.reserved is not None
    return StartTask(
        task=latest_task_id(job_id, job),
        job=job_id,
        instance=job.instance,
        placer=job.placer,
        program=job.spec.program,
        resources=job.reserved,
        resume_from=job.checkpoint if job.resumed else "",
        not_after_ms=job.changed_ms + START_WINDOW_MS,
    )


def _check_job(meta: RecordMeta, body: JobPlace, job: Job) -> Rejected | None:
    """Return the rejection of a placement that the job doesn't allow, or None.

    Several entry instances may place the same version of a job; only the first placement is
    accepted, or each of them would start the job.
    """
    if job.version != body.expected_version:
        return stale_version(body.job, job)
    if job.status is not JobStatus.QUEUED or job.cancelling:
        return wrong_state(body.job, job)
    if body.attempt != job.attempt + 1 or body.task != task_id(body.job, job, body.attempt):
        return wrong_state(body.job, job)
    if not may_run_again(job):
        # Final check that a job isn't run twice, regardless of what queued it again.
        return Rejected(reason=RejectReason.CONFLICT, detail="it may have run before")
    if meta.now_ms < job.not_before_ms:
        return Rejected(reason=RejectReason.CONFLICT, detail="its retry is not due yet")
    if 0 < job.spec.not_after_ms < meta.now_ms:
        return Rejected(reason=RejectReason.EXPIRED, detail="its latest start has passed")
    return None


def _check_worker(state: FleetState, body: JobPlace, job: Job) -> Rejected | None:
    instance = state.pools.instances.get(body.instance)
    if instance is None or instance.pool != job.spec.pool:
        return Rejected(reason=RejectReason.NOT_FOUND, detail=f"{body.instance} in its pool")
    if instance.status is not InstanceStatus.SERVING:
        return Rejected(reason=RejectReason.IN_USE, detail=f"{body.instance} is {instance.status}")
    if is_quarantined(state, body.instance):
        return Rejected(reason=RejectReason.IN_USE, detail=f"{body.instance} is in quarantine")
    if held_for(state, body.instance) not in ("", body.job):
        # Capacity freed by a preemption must not go to another job, or the urgent job would
        # need further victims.
        return Rejected(reason=RejectReason.IN_USE, detail=f"{body.instance} is held")
    return None


def _begin_attempt(job: Job, body: JobPlace) -> None:
    job.attempt = body.attempt
    job.placer = body.placer
    job.resumed = bool(job.checkpoint)
    job.runs += 0 if job.resumed else 1
    job.peak_memory_mib = 0
    job.peak_cpu_millicores = 0
    job.started_ms = 0


@handles("jobs.checkpoint", JobCheckpoint)
def checkpoint_job(
    state: FleetState, meta: RecordMeta, body: JobCheckpoint
) -> Result[Accepted, Rejected]:
    """Ask a running job to checkpoint and stop."""
    job = state.jobs.live.get(body.job)
    if job is None:
        return Err(not_found(body.job))
    if job.version != body.expected_version:
        return Err(stale_version(body.job, job))
    running = job.status is JobStatus.RUNNING and job.attempt == body.attempt
    if not running or not job.spec.checkpointable:
        return Err(wrong_state(body.job, job))
    if body.cause is CheckpointCause.URGENT:
        rejection = _check_preemption(state, body, job)
    else:
        rejection = _check_drain(state, job)
    if rejection is not None:
        return Err(rejection)
    if body.cause is CheckpointCause.URGENT:
        hold = Hold(job=body.for_job, until_ms=meta.now_ms + HOLD_MS)
        state.jobs.holds[job.instance] = hold
    changed = set_status(body.job, job, meta, JobStatus.CHECKPOINTING, f"for {body.cause}")
    return Ok(accepted(job.version, changed, checkpoint_task(body.job, job)))


def _check_preemption(state: FleetState, body: JobCheckpoint, victim: Job) -> Rejected | None:
    urgent = state.jobs.live.get(body.for_job)
    if urgent is None or urgent.status is not JobStatus.QUEUED:
        return Rejected(reason=RejectReason.WRONG_STATE, detail=f"{body.for_job} is not queued")
    if urgent.spec.service_class is not ServiceClass.URGENT:
        return Rejected(reason=RejectReason.CONFLICT, detail=f"{body.for_job} is not urgent")
    if victim.spec.service_class is not ServiceClass.BATCH:
        return Rejected(reason=RejectReason.CONFLICT, detail=f"{body.job} is not batch work")
    if victim.spec.pool != urgent.spec.pool:
        return Rejected(reason=RejectReason.CONFLICT, detail="they are of different pools")
    if held_for(state, victim.instance) not in ("", body.for_job):
        return Rejected(reason=RejectReason.IN_USE, detail=f"{victim.instance} is held")
    return None


def _check_drain(state: FleetState, job: Job) -> Rejected | None:
    instance = state.pools.instances.get(job.instance)
    if instance is None or instance.status not in DRAINING_STATUSES:
        return Rejected(reason=RejectReason.WRONG_STATE, detail=f"{job.instance} is not draining")
    return None
