"""Plans checkpoints for jobs on draining workers, and waits for jobs that end soon."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from heatherkeel.core.state import FleetState

from .const import MAX_DRAIN_WAIT_MS, MS_PER_S
from .learning import expected_run_time_s
from .models import ACTIVE_STATUSES, DRAINING_STATUSES, Job, JobStatus
from .records import CheckpointCause, JobCheckpoint


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainWait:
    """A job that a drain waits for, and the reason."""

    job: str
    instance: str
    reason: str


@dataclass(kw_only=True, slots=True)
class DrainPlan:
    """Checkpoints to request now, and jobs to wait for."""

    records: list[JobCheckpoint] = field(default_factory=list)
    waits: list[DrainWait] = field(default_factory=list)


def plan_drains(state: FleetState, jobs: Mapping[str, Job] | None = None) -> DrainPlan:
    """Plan the drains of the given jobs, or of all live jobs.

    A drain waits for jobs that end soon, as moving them would cost more than their remaining run
    time.
    """
    plan = DrainPlan()
    draining = {
        instance_id
        for instance_id, instance in state.pools.instances.items()
        if instance.status in DRAINING_STATUSES and instance_id in state.jobs.loads
    }
    if not draining:
        return plan
    for job_id, job in (state.jobs.live if jobs is None else jobs).items():
        if job.instance not in draining or job.reserved is None:
            continue
        reason = _wait_reason(state, job_id, job)
        if reason:
            plan.waits.append(DrainWait(job=job_id, instance=job.instance, reason=reason))
        else:
            plan.records.append(_checkpoint(job_id, job))
    return plan


def tasks_left(state: FleetState, instance_id: str) -> int:
    """Return the number of tasks that may still run on a worker; it can be stopped only at 0."""
    load = state.jobs.loads.get(instance_id)
    return 0 if load is None else load.tasks


def tasks_heard(state: FleetState, instance_id: str) -> int:
    """Return the number of tasks on a worker whose leases haven't expired.

    A worker that others can't reach may still run them; its repair would end them.
    """
    if not tasks_left(state, instance_id):
        return 0
    return sum(
        job.instance == instance_id and job.status in ACTIVE_STATUSES
        for job in state.jobs.live.values()
    )


def tasks_holding_stop(state: FleetState, instance_id: str, *, has_failed: bool) -> int:
    """Return the number of tasks that a stop waits for; nobody may hear of a failed worker's."""
    count = tasks_heard if has_failed else tasks_left
    return count(state, instance_id)


def _wait_reason(state: FleetState, job_id: str, job: Job) -> str:
    if job.status is JobStatus.UNKNOWN:
        return "not known whether its task still runs"
    if job.status in ACTIVE_STATUSES and job.status is not JobStatus.RUNNING:
        return f"{job.status}"
    if not job.spec.checkpointable:
        return "can't be checkpointed"
    remaining_ms = _remaining_ms(state, job_id, job)
    if 0 < remaining_ms <= MAX_DRAIN_WAIT_MS:
        return f"expected to end in {remaining_ms // MS_PER_S} s"
    return ""


def _remaining_ms(state: FleetState, job_id: str, job: Job) -> int:
    """Return the expected remaining run time; 0 or less if the job is overdue."""
    expected_ms = expected_run_time_s(state, job_id, job) * MS_PER_S
    return job.started_ms + expected_ms - state.now_ms


def _checkpoint(job_id: str, job: Job) -> JobCheckpoint:
    return JobCheckpoint(
        job=job_id,
        attempt=job.attempt,
        expected_version=job.version,
        cause=CheckpointCause.DRAIN,
    )
