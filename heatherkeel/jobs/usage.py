"""Decides usage reports of the platform, which lag behind the tasks."""

from __future__ import annotations

from result import Err, Ok, Result

from heatherkeel.catalogue.models import ServiceClass
from heatherkeel.core.models import Accepted, Effect, RecordMeta, Rejected, RejectReason
from heatherkeel.core.registry import handles
from heatherkeel.core.state import FleetState

from .models import ACTIVE_STATUSES, Job, ThrottleTask, job_id_of_task, latest_task_id
from .records import UsageReport, UsageSample
from .reservations import capacity_of, record_usage


@handles("jobs.usage", UsageReport)
def apply_usage_report(
    state: FleetState, meta: RecordMeta, body: UsageReport
) -> Result[Accepted, Rejected]:
    """Record the peak usage of current attempts; samples of older attempts are ignored."""
    effects: list[Effect] = []
    applied = 0
    for sample in body.samples:
        job_id = job_id_of_task(sample.task)
        job = state.jobs.live.get(job_id)
        # A delayed sample of an earlier attempt must not count against the current worker.
        if (
            job is None
            or job.status not in ACTIVE_STATUSES
            or latest_task_id(job_id, job) != sample.task
        ):
            continue
        applied += 1
        record_usage(
            state, job, memory_mib=sample.peak_memory_mib, cpu_millicores=sample.cpu_millicores
        )
        effects += _throttle(state, sample, job)
    if applied == 0:
        return Err(Rejected(reason=RejectReason.NOT_FOUND, detail="no attempt that still runs"))
    return Ok(Accepted(effects=tuple(effects)))


def _throttle(state: FleetState, sample: UsageSample, job: Job) -> list[Effect]:
    """Throttle a batch task to its reservation if it uses CPU that is reserved for others."""
    instance = state.pools.instances.get(job.instance)
    if instance is None or job.reserved is None or job.spec.service_class is not ServiceClass.BATCH:
        return []
    excess = sample.cpu_millicores - job.reserved.cpu_millicores
    load = state.jobs.loads[job.instance]
    if excess <= 0 or load.cpu_millicores + excess <= capacity_of(instance).cpu_millicores:
        return []
    throttle = ThrottleTask(
        task=sample.task,
        job=job_id_of_task(sample.task),
        instance=job.instance,
        cpu_millicores=job.reserved.cpu_millicores,
    )
    return [throttle]
