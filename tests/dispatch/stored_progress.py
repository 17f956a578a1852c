"""Stores jobs' progress in memory as an owner's process does."""

from __future__ import annotations

from heatherkeel.dispatch.models import Job
from heatherkeel.dispatch.progress_records import ProgressRecords
from heatherkeel.dispatch.recovery import StoredJobs

SMALL_RECORD_BYTES = 4096
"""Size of a store's largest record with which two tasks fill one."""


def store_changed(records: ProgressRecords, job: Job, work: dict[str, bytes]) -> int:
    """Store what has changed of a job; return how many bytes that took."""
    changed = records.list_changed(job)
    for record in changed:
        if record.value:
            work[record.key] = record.value
        else:
            work.pop(record.key, None)
    return sum(len(record.key) + len(record.value) for record in changed)


def restore_progress_records(stored: StoredJobs) -> ProgressRecords:
    """Return what a next owner knows of the stored records."""
    records = ProgressRecords()
    for job_id, rows in stored.rows.items():
        for key, value in rows.items():
            records.restore(job_id, key, value)
    return records
