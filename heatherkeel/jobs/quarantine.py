"""Keeps jobs away from workers that fail everything they start.

Such a worker is free most of the time, so it draws job after job and fails them all. One failed
job proves nothing, as the job may be at fault: what counts are failures of several different
jobs, with no success between them, and none of a job that failed on other workers too.
"""

from __future__ import annotations

from heatherkeel.core.state import FleetState

from .const import (
    EVIDENCE_WINDOW_MS,
    QUARANTINE_EVIDENCE,
    QUARANTINE_MIN_POOL,
    QUARANTINE_MS,
    QUARANTINE_SHARE_PERCENT,
)
from .models import Job, WorkerRecord


def is_quarantined(state: FleetState, instance_id: str) -> bool:
    """Say whether a worker gets no jobs at present."""
    record = state.jobs.workers.get(instance_id)
    return record is not None and record.quarantined_until_ms > state.now_ms


def note_failure(state: FleetState, job_id: str, job: Job, instance_id: str) -> None:
    """Take a failed attempt as evidence against its worker, unless the job is the suspect."""
    elsewhere = [name for name in job.failed_on if name != instance_id]
    if instance_id not in job.failed_on:
        job.failed_on.append(instance_id)
    if elsewhere:
        _withdraw(state, job_id, elsewhere)
        return
    record = state.jobs.workers.setdefault(instance_id, WorkerRecord())
    record.failed_jobs[job_id] = state.now_ms
    _drop_old(record, state.now_ms)
    if len(record.failed_jobs) < QUARANTINE_EVIDENCE:
        return
    if is_quarantined(state, instance_id) or not _pool_can_spare(state, instance_id):
        return
    record.quarantined_until_ms = state.now_ms + QUARANTINE_MS


def note_success(state: FleetState, instance_id: str) -> None:
    """Clear a worker that ran a job to its end: it does not fail everything."""
    state.jobs.workers.pop(instance_id, None)


def _withdraw(state: FleetState, job_id: str, instance_ids: list[str]) -> None:
    """Take back what a job that fails everywhere was held to prove, and release who is cleared.

    Without it one team's broken release would put a share of the pool in quarantine.
    """
    for instance_id in instance_ids:
        record = state.jobs.workers.get(instance_id)
        if record is None:
            continue
        record.failed_jobs.pop(job_id, None)
        if len(record.failed_jobs) < QUARANTINE_EVIDENCE:
            record.quarantined_until_ms = 0
        if not record.failed_jobs:
            del state.jobs.workers[instance_id]


def _drop_old(record: WorkerRecord, now_ms: int) -> None:
    record.failed_jobs = {
        job_id: at_ms
        for job_id, at_ms in record.failed_jobs.items()
        if at_ms + EVIDENCE_WINDOW_MS > now_ms
    }


def _pool_can_spare(state: FleetState, instance_id: str) -> bool:
    """Bound the share of a pool in quarantine.

    A fault outside of the workers (a broken library, a lost store) makes all of them fail.
    Without the bound the whole pool would end in quarantine, and nothing would run any more.
    """
    instance = state.pools.instances.get(instance_id)
    if instance is None:
        return False
    members = [name for name, other in state.pools.instances.items() if other.pool == instance.pool]
    if len(members) < QUARANTINE_MIN_POOL:
        return False
    quarantined = sum(is_quarantined(state, name) for name in members)
    return quarantined < max(1, len(members) * QUARANTINE_SHARE_PERCENT // 100)
