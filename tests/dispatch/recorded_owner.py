"""An owner of a partition over topics in memory, whose effects a test carries out one by one."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from functools import partial
from typing import cast

from heatherkeel.directory.directory import Directory
from heatherkeel.dispatch.events import Effect
from heatherkeel.dispatch.job_feed import JobFeed
from heatherkeel.dispatch.records import PROGRESS_PREFIX, encode_forwarded, encode_progress
from heatherkeel.dispatch.recovery import read_records, restore_jobs
from heatherkeel.dispatch.state import PartitionState
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.operator import WorkerEntry
from heatherkeel.platform.store import StoreClient

from .partition import Partition


@dataclass(kw_only=True)
class Log:
    """A keyed topic's partition."""

    records: list[KeyedRecord] = field(default_factory=list)

    def append(self, key: str, value: bytes) -> None:
        """Append a record."""
        self.records.append(KeyedRecord(key=key, value=value, offset=len(self.records)))

    def newest(self) -> list[KeyedRecord]:
        """Return the newest record of each key."""
        return list({record.key: record for record in self.records}.values())


class Owner:
    """One owner of a partition; its effects wait until the test carries them out."""

    def __init__(self, *, number: int, jobs: Log, work: Log, entries: dict[str, WorkerEntry]):
        self.number = number
        self.jobs = jobs
        self.work = work
        self.pending: deque[Effect] = deque()
        self.partition = Partition(workers=0)
        self.partition.entries = entries
        self.list_workers()
        store = cast(StoreClient, None)
        self.feed = JobFeed(
            store=store,
            partition=number,
            directory=Directory(store=store),
            handle_event=self.handle,
            is_dropped=lambda job_id, request: False,
        )
        self.read = len(jobs.records)
        stored = read_records(jobs.newest() + work.newest())
        stored.apply_arrivals()
        restore_jobs(self.partition.state, stored)
        self.feed.submit(stored)
        self.feed.pass_arrivals(stored)
        self.feed.cancel(stored)

    @property
    def state(self) -> PartitionState:
        """Return the state of its partition."""
        return self.partition.state

    def list_workers(self) -> None:
        """Read the workers' entries, and let those answer that are there."""
        self.handle_all(self.partition.list_workers())
        for worker_id in self.partition.entries:
            if worker_id in self.state.workers and not self.state.workers[worker_id].is_ready():
                self.handle_all(self.partition.list_known_runs(worker_id))

    def handle(self, event: object) -> None:
        """Apply an event."""
        self.handle_all(self.partition.apply(event))  # type: ignore[arg-type]

    def handle_all(self, effects: list[Effect]) -> None:
        """Keep effects until they are carried out."""
        self.pending += effects

    def read_jobs(self) -> None:
        """Read what callers and other partitions have stored since the last time."""
        records, self.read = self.jobs.records[self.read :], len(self.jobs.records)
        self.feed.follower.on_records(records)

    def save(self, job_id: str) -> None:
        """Store what is known of a job."""
        job, forwarded = self.state.find_job(job_id), self.state.forwarded.get(job_id)
        encode = partial(encode_progress, job) if job else None
        if forwarded is not None:
            encode = partial(encode_forwarded, forwarded)
        if encode is not None:
            self.work.append(f"{PROGRESS_PREFIX}{job_id}", encode())
