"""Stores and deletes the records of a partition's jobs, through its journal."""

from __future__ import annotations

from functools import partial

from heatherkeel.platform.framing import KeyedRecord

from .dropping import RequestDropper
from .events import ForgetJob
from .journal import Journal
from .progress_records import ProgressRecords
from .records import PROGRESS_PREFIX, encode_forwarded
from .recovery import StoredJobs
from .state import PartitionState


class JobRecords:
    """What one owner has stored of its partition's jobs."""

    def __init__(
        self, *, state: PartitionState, journal: Journal, request_dropper: RequestDropper
    ) -> None:
        self.state = state
        self.journal = journal
        self.request_dropper = request_dropper
        self.progress = ProgressRecords()

    def restore(self, stored: StoredJobs) -> None:
        """Take note of what earlier owners have stored, and delete what means nothing any more."""
        for job_id, rows in stored.rows.items():
            for key, value in rows.items():
                self.progress.restore(job_id, key, value)
            if job_id not in stored.progress:
                deletions = partial(self.progress.list_deletions, job_id)
                self.journal.put_group(f"{PROGRESS_PREFIX}{job_id}", deletions)

    def save(self, job_id: str) -> None:
        """Store the progress of a job, or where it runs, as it is when the append is sent."""
        key = f"{PROGRESS_PREFIX}{job_id}"
        job, forwarded = self.state.find_job(job_id), self.state.forwarded.get(job_id)
        if job is not None:
            self.journal.put_group(key, partial(self.progress.list_changed, job))
        elif forwarded is not None:
            self.journal.put(key, partial(encode_forwarded, forwarded))

    def delete(self, effect: ForgetJob) -> None:
        """Delete unneeded records; a request only after the end of its job is stored."""
        if effect.only_request:
            drop = partial(self.request_dropper.drop, effect.job_id, effect.workspace)
            self.journal.when_stored(drop)
            return
        key = f"{PROGRESS_PREFIX}{effect.job_id}"
        self.journal.put_group(key, partial(self._list_deletions, effect.job_id, key))

    def _list_deletions(self, job_id: str, key: str) -> list[KeyedRecord]:
        """Return the deletions of a job's progress; what is left without it means nothing."""
        return [KeyedRecord(key=key, value=b""), *self.progress.list_deletions(job_id)]
