"""The stored records of a job's progress: one, or several of which each change stores a few.

A job of many tasks has one record for the job and one for each few of its tasks, so that no record
outgrows what the store takes, and a change stores only what has changed. A job of few tasks has
all of it in one record, as in earlier releases.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from itertools import chain
from typing import Final

import msgspec

from heatherkeel.platform.callers import JobRequest
from heatherkeel.platform.framing import KeyedRecord

from .models import Job, Task
from .records import (
    PROGRESS_PREFIX,
    ROWS_PREFIX,
    StoredRows,
    create_stored_losses,
    create_stored_tasks,
    make_end,
    make_progress,
)

MAX_ROWS: Final = 64
"""Maximum number of tasks of one record."""
MAX_ROW_BYTES: Final = 2048
"""Maximum size of a task's row: a checkpoint, the runs, and the failed attempts."""
DIGEST_BYTES: Final = 16


def choose_rows(request: JobRequest, *, record_bytes: int) -> int:
    """Return how many tasks one record of a job holds; 0 if all are in the job's own record."""
    rows = min(MAX_ROWS, max(1, record_bytes // MAX_ROW_BYTES))
    tasks = sum(step.count for step in request.steps) * max(1, request.repeat_count)
    return rows if tasks > rows else 0


def make_rows_key(job_id: str, occurrence: int, number: int) -> str:
    """Return the key of the record of some tasks of one occurrence."""
    return f"{ROWS_PREFIX}{job_id}.{occurrence}.{number}"


def parse_rows_key(key: str) -> str:
    """Return the job ID of such a key."""
    return key[len(ROWS_PREFIX) :].partition(".")[0]


def parse_occurrence(key: str) -> int:
    """Return the number of the occurrence of such a key."""
    return int(key.split(".")[1])


def _digest(value: bytes) -> bytes:
    return blake2b(value, digest_size=DIGEST_BYTES).digest()


@dataclass(kw_only=True, slots=True)
class ProgressRecords:
    """What is stored of each job in several records, so that only changes are stored."""

    digests: dict[str, dict[str, bytes]] = field(default_factory=dict)
    """By job ID, the records with a value by key."""
    settled: dict[str, set[str]] = field(default_factory=dict)
    """By job ID, the records whose tasks are all done, which don't change any more."""

    def restore(self, job_id: str, key: str, value: bytes) -> None:
        """Take note of a record that is stored."""
        self.digests.setdefault(job_id, {})[key] = _digest(value)

    def list_changed(self, job: Job) -> list[KeyedRecord]:
        """Return the records of a job that have to be stored now.

        Those of tasks come first: an end that is stored before them would be believed alone, and
        they are deleted with it.
        """
        if job.is_unstorable:
            return [*self.list_deletions(job.id), _encode_progress(job.id, make_end(job))]
        progress = make_progress(job)
        if not job.rows_per_record:
            return [*self.list_deletions(job.id), _encode_progress(job.id, progress)]
        known = self.digests.setdefault(job.id, {})
        current = dict(self._encode_rows(job))
        kept = self.settled.get(job.id, set())
        changed = []
        for key, value in current.items():
            digest = _digest(value)
            if known.get(key) != digest:
                known[key] = digest
                changed.append(KeyedRecord(key=key, value=value))
        for key in known.keys() - current.keys() - kept:
            del known[key]
            changed.append(KeyedRecord(key=key, value=b""))
        changed.append(_encode_progress(job.id, progress))
        return changed

    def list_deletions(self, job_id: str) -> list[KeyedRecord]:
        """Return the deletions of all records of a job's tasks, which are forgotten here."""
        self.settled.pop(job_id, None)
        keys = self.digests.pop(job_id, {})
        return [KeyedRecord(key=key, value=b"") for key in keys]

    def _encode_rows(self, job: Job) -> Iterator[tuple[str, bytes]]:
        """Yield the records of tasks that were started, but for those that are settled."""
        has_ended = job.state.is_final()
        if has_ended:
            self.settled.pop(job.id, None)
        settled = self.settled.setdefault(job.id, set()) if not has_ended else set()
        for occurrence, steps in job.occurrences.items():
            tasks = list(chain.from_iterable(step.tasks for step in steps))
            for number, start in enumerate(range(0, len(tasks), job.rows_per_record)):
                key = make_rows_key(job.id, occurrence, number)
                if key in settled:
                    continue
                some = tasks[start : start + job.rows_per_record]
                rows = create_stored_tasks(some, has_ended=has_ended)
                if not rows:
                    continue
                stored = StoredRows(tasks=rows, losses=create_stored_losses(some))
                yield key, msgspec.json.encode(stored)
                if not has_ended and all(_is_settled(task) for task in some):
                    settled.add(key)
        for key in [key for key in settled if parse_occurrence(key) not in job.occurrences]:
            settled.discard(key)


def _is_settled(task: Task) -> bool:
    return task.is_done and not task.runs


def _encode_progress(job_id: str, progress: msgspec.Struct) -> KeyedRecord:
    return KeyedRecord(key=f"{PROGRESS_PREFIX}{job_id}", value=msgspec.json.encode(progress))


def count_rows(job: Job) -> int:
    """Return how many tasks of a job have been started."""
    return sum(1 for step in job.steps() for task in step.tasks if task.attempt)
