"""Quarantines workers on which several different jobs fail without a success in between.

A faulty worker is free most of the time and would attract and fail more jobs. Jobs that fail on
other workers as well aren't counted.
"""

from __future__ import annotations

from heatherkeel.core.state import FleetState

from .const import (
    FAILURE_WINDOW_MS,
    MAX_QUARANTINED_PERCENT,
    QUARANTINE_MIN_FAILED_JOBS,
    QUARANTINE_MIN_POOL,
    QUARANTINE_MS,
)
from .models import Job, WorkerRecord


def is_quarantined(state: FleetState, instance_id: str) -> bool:
    """Return whether a worker currently gets no jobs."""
    record = state.jobs.workers.get(instance_id)
    return record is not None and record.quarantined_until_ms > state.now_ms


def record_failure(state: FleetState, job_id: str, job: Job, instance_id: str) -> None:
    """Count a failed attempt against its worker, unless the job also failed on other workers."""
    other_workers = [name for name in job.failed_on if name != instance_id]
    if instance_id not in job.failed_on:
        job.failed_on.append(instance_id)
    if other_workers:
        _remove_evidence(state, job_id, other_workers)
        return
    record = state.jobs.workers.setdefault(instance_id, WorkerRecord())
    record.failed_jobs[job_id] = state.now_ms
    _remove_old_failures(record, state.now_ms)
    if len(record.failed_jobs) < QUARANTINE_MIN_FAILED_JOBS:
        return
    if is_quarantined(state, instance_id) or not _is_quarantine_allowed(state, instance_id):
        return
    record.quarantined_until_ms = state.now_ms + QUARANTINE_MS


def record_success(state: FleetState, instance_id: str) -> None:
    """Clear the record of a worker on which a job succeeded."""
    state.jobs.workers.pop(instance_id, None)


def _remove_evidence(state: FleetState, job_id: str, instance_ids: list[str]) -> None:
    """Remove the failures of a job that fails on several workers, and end their quarantines.

    Otherwise a broken release of one team would quarantine a part of the pool.
    """
    for instance_id in instance_ids:
        record = state.jobs.workers.get(instance_id)
        if record is None:
            continue
        record.failed_jobs.pop(job_id, None)
        if len(record.failed_jobs) < QUARANTINE_MIN_FAILED_JOBS:
            record.quarantined_until_ms = 0
        if not record.failed_jobs:
            del state.jobs.workers[instance_id]


def _remove_old_failures(record: WorkerRecord, now_ms: int) -> None:
    record.failed_jobs = {
        job_id: at_ms
        for job_id, at_ms in record.failed_jobs.items()
        if at_ms + FAILURE_WINDOW_MS > now_ms
    }


def _is_quarantine_allowed(state: FleetState, instance_id: str) -> bool:
    """Return whether another worker of the pool may be quarantined.

    A fault outside of the workers, such as a broken library, makes all of them fail; the limit
    keeps most of the pool in service.
    """
    instance = state.pools.instances.get(instance_id)
    if instance is None:
        return False
    members = [name for name, other in state.pools.instances.items() if other.pool == instance.pool]
    if len(members) < QUARANTINE_MIN_POOL:
        return False
    quarantined = sum(is_quarantined(state, name) for name in members)
    return quarantined < max(1, len(members) * MAX_QUARANTINED_PERCENT // 100)
