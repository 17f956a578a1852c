"""Finds job states through the partition's owner, or in the store if it is unresponsive."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import trio
from result import Err

from heatherkeel.dispatch.models import JobState
from heatherkeel.dispatch.recovery import StoredJobs, read_records
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.ownership.const import JOBS_TOPIC, WORK_TOPIC
from heatherkeel.ownership.holders import HolderCache
from heatherkeel.platform.store import StoreClient
from heatherkeel.questions.links import QuestionLinks
from heatherkeel.questions.messages import (
    Answer,
    JobAnswer,
    JobQuestion,
    NotOwner,
    Question,
    QueueAnswer,
    QueueQuestion,
)

from .const import CACHED_MAX_AGE_MS, RECENT_JOBS_MS


@dataclass(kw_only=True, slots=True)
class CachedRecords:
    """A partition's records and the time at which they were read."""

    read_ms: int
    jobs: StoredJobs


@dataclass(kw_only=True, slots=True)
class Lookup:
    """Queries owners, or else the store; remembers the jobs that this process has accepted."""

    store: StoreClient
    holders: HolderCache
    links: QuestionLinks
    recent: dict[str, int] = field(default_factory=dict)
    cached_records: dict[int, CachedRecords] = field(default_factory=dict)

    def remember(self, job_id: str) -> None:
        """Remember a job that this process has just accepted."""
        now_ms = monotonic_ms()
        self.recent[job_id] = now_ms
        while (oldest := next(iter(self.recent))) and now_ms - self.recent[oldest] > RECENT_JOBS_MS:
            del self.recent[oldest]

    async def async_find_state(self, partition: int, job_id: str) -> JobState | Err[str] | None:
        """Return a job's state, None if there is no such job, or `Err` if it is not available."""
        answer = await self._async_ask(partition, JobQuestion(partition=partition, job_id=job_id))
        if isinstance(answer, JobAnswer):
            state = JobState(answer.state) if answer.state else None
        else:
            found = await self._async_find_stored(partition, job_id)
            if isinstance(found, Err):
                return JobState.PENDING if job_id in self.recent else found
            state = found
        # The owner reads a job from the store shortly after it was accepted.
        return JobState.PENDING if state is None and job_id in self.recent else state

    async def async_is_accepted(self, partition: int, job_id: str) -> bool:
        """Return whether the partition's owner has read a job from the store."""
        answer = await self._async_ask(partition, JobQuestion(partition=partition, job_id=job_id))
        return isinstance(answer, JobAnswer) and bool(answer.state)

    async def async_count_pending(self, partitions: Sequence[int], queue: str) -> int | None:
        """Return a queue's pending jobs over all partitions; None if any count is not available."""
        counts: list[int | None] = []

        async def async_count(partition: int) -> None:
            counts.append(await self._async_count_in(partition, queue))

        async with trio.open_nursery() as nursery:
            for partition in partitions:
                nursery.start_soon(async_count, partition)
        known = [count for count in counts if count is not None]
        return sum(known) if len(known) == len(counts) else None

    async def _async_count_in(self, partition: int, queue: str) -> int | None:
        answer = await self._async_ask(partition, QueueQuestion(partition=partition, queue=queue))
        if isinstance(answer, QueueAnswer):
            return answer.pending
        stored = await self._async_read_stored(partition)
        if isinstance(stored, Err):
            return None
        return sum(
            1
            for job_id, request in stored.requests.items()
            if request.queue == queue
            and (job_id not in stored.progress or stored.progress[job_id].state == "pending")
        )

    async def _async_ask(self, partition: int, question: Question) -> Answer | None:
        """Query the owner; look it up again if it fails or no longer owns the partition."""
        failed = ""
        for _ in range(2):
            address = await self.holders.async_find(partition, failed_address=failed)
            if not address or address == failed:
                return None
            answer = await self.links.async_ask(address, question)
            if answer is not None and not isinstance(answer, NotOwner):
                return answer
            failed = address
        return None

    async def _async_find_stored(self, partition: int, job_id: str) -> JobState | Err[str] | None:
        stored = await self._async_read_stored(partition)
        if isinstance(stored, Err):
            return stored
        if job_id in stored.progress:
            return stored.progress[job_id].state
        if job_id in stored.canceled:
            return JobState.CANCELED
        return JobState.PENDING if job_id in stored.requests else None

    async def _async_read_stored(self, partition: int) -> StoredJobs | Err[str]:
        cached = self.cached_records.get(partition)
        now_ms = monotonic_ms()
        if cached is not None and now_ms - cached.read_ms < CACHED_MAX_AGE_MS:
            return cached.jobs
        records = []
        # Requests must be read first: a job that ends in between then still has its progress.
        for topic in (JOBS_TOPIC, WORK_TOPIC):
            read = await self.store.async_read_all_newest(topic, partition)
            if isinstance(read, Err):
                return Err(read.err_value.detail)
            records.append(read.ok_value.records)
        jobs, work = (read_records(part) for part in records)
        merged = StoredJobs(requests=jobs.requests, progress=work.progress, canceled=jobs.canceled)
        self.cached_records[partition] = CachedRecords(read_ms=now_ms, jobs=merged)
        return merged
