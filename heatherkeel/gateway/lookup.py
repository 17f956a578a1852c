"""Finds job states through the partition's owner, or in the store if it is unresponsive."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

import trio
from result import Err, Ok, Result

from heatherkeel.admission.const import ANSWER_WAIT_S, SILENCE_MS
from heatherkeel.dispatch.models import JobState
from heatherkeel.dispatch.recovery import StoredJobs, read_records
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.ownership.const import JOBS_TOPIC, WORK_TOPIC
from heatherkeel.ownership.holders import HolderCache
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient
from heatherkeel.questions.links import QuestionLinks
from heatherkeel.questions.messages import (
    AdmissionAnswer,
    AdmissionQuestion,
    Answer,
    JobAnswer,
    JobQuestion,
    NotOwner,
    Question,
    QueueAnswer,
    QueueQuestion,
    StoreJobAnswer,
    StoreJobQuestion,
)

from .const import CACHED_MAX_AGE_MS, RECENT_JOBS_MS


@dataclass(kw_only=True, slots=True)
class CachedRecords:
    """A partition's records and the time at which they were read."""

    read_ms: int
    jobs: StoredJobs


@dataclass(kw_only=True, slots=True)
class PartitionReads:
    """Reads of a partition's records, one at a time, and the one that failed last."""

    lock: trio.Lock = field(default_factory=trio.Lock)
    failed_ms: int = 0
    """When it failed."""
    failure: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class FoundJob:
    """A job's state, and the workspace that it belongs to; empty if none."""

    state: JobState
    workspace: str = ""
    forwarded_to: int | None = None
    """The partition that runs it and knows its state; None if that is the one asked."""
    is_settled: bool = False
    """That partition has surely read the job, so that it is gone if it isn't there."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RecentJob:
    """A job that this process has accepted a short time ago."""

    accepted_ms: int
    workspace: str


@dataclass(kw_only=True, slots=True)
class Lookup:
    """Queries owners, or else the store; remembers the jobs that this process has accepted."""

    store: StoreClient
    holders: HolderCache
    links: QuestionLinks
    recent: dict[str, RecentJob] = field(default_factory=dict)
    cached_records: dict[int, CachedRecords] = field(default_factory=dict)
    reads: dict[int, PartitionReads] = field(default_factory=dict)
    silent_until_ms: dict[int, int] = field(default_factory=dict)
    """By partition, until when its owner isn't asked about admission."""

    def remember(self, job_id: str, workspace: str = "") -> None:
        """Remember a job that this process has just accepted."""
        now_ms = monotonic_ms()
        self.recent[job_id] = RecentJob(accepted_ms=now_ms, workspace=workspace)
        while now_ms - self.recent[next(iter(self.recent))].accepted_ms > RECENT_JOBS_MS:
            del self.recent[next(iter(self.recent))]

    async def async_find_job(self, partition: int, job_id: str) -> FoundJob | Err[str] | None:
        """Return a job, None if there is no such job, or `Err` if it is not available."""
        found = await self._async_find_in(partition, job_id)
        asked = {partition}
        while isinstance(found, FoundJob) and found.forwarded_to is not None:
            if found.forwarded_to in asked:
                # It is on its way back to a partition that hasn't read it yet.
                break
            asked.add(found.forwarded_to)
            found = await self._async_follow(found, found.forwarded_to, job_id)
        # The owner reads a job from the store shortly after it was accepted.
        return found if isinstance(found, FoundJob) else self._find_recent(job_id) or found

    async def _async_find_in(self, partition: int, job_id: str) -> FoundJob | Err[str] | None:
        answer = await self._async_ask(partition, JobQuestion(partition=partition, job_id=job_id))
        if not isinstance(answer, JobAnswer):
            return await self._async_find_stored(partition, job_id)
        if not answer.state:
            return None
        return FoundJob(
            state=JobState(answer.state),
            workspace=answer.workspace,
            forwarded_to=answer.forwarded_to,
            is_settled=answer.is_settled,
        )

    async def _async_follow(
        self, known: FoundJob, partition: int, job_id: str
    ) -> FoundJob | Err[str] | None:
        """Find a job in the partition that runs it, which may not have read it yet."""
        found = await self._async_find_in(partition, job_id)
        if found is None and not known.is_settled:
            return replace(known, forwarded_to=None)
        return found

    def has_accepted(self, job_id: str) -> bool:
        """Return whether this process has accepted a job a short time ago."""
        return job_id in self.recent

    def record_silence(self, partition: int) -> None:
        """Ask a partition's owner nothing about admission for some time."""
        self.silent_until_ms[partition] = monotonic_ms() + SILENCE_MS

    def is_silent(self, partition: int) -> bool:
        """Return whether a partition's owner isn't asked about admission."""
        return monotonic_ms() < self.silent_until_ms.get(partition, 0)

    def _find_recent(self, job_id: str) -> FoundJob | None:
        recent = self.recent.get(job_id)
        if recent is None:
            return None
        return FoundJob(state=JobState.PENDING, workspace=recent.workspace)

    async def async_is_accepted(self, partition: int, job_id: str, *, workspace: str = "") -> bool:
        """Return whether the partition's owner has read a workspace's job from the store."""
        answer = await self._async_ask(partition, JobQuestion(partition=partition, job_id=job_id))
        return (
            isinstance(answer, JobAnswer) and bool(answer.state) and answer.workspace == workspace
        )

    async def async_ask_admission(self, question: AdmissionQuestion) -> AdmissionAnswer | None:
        """Ask the partition's owner whether a job may be stored; None if it doesn't answer.

        The question is sent once: the owner may have got one that it hasn't answered. A cached
        address is used at any age, since the list can't be read while the store is away.
        """
        partition = question.partition
        cached = self.holders.addresses.get(partition, "")
        address = cached or await self.holders.async_find(partition)
        if not address:
            return None
        answer = await self.links.async_ask(address, question, timeout_s=ANSWER_WAIT_S)
        if isinstance(answer, AdmissionAnswer):
            return answer
        await self.holders.async_find(partition, failed_address=address)
        return None

    async def async_store(
        self, partition: int, record: KeyedRecord, *, timeout_s: float
    ) -> Result[None, CallError] | None:
        """Let the partition's owner store a record; None if it surely hasn't been asked to."""
        address = await self.holders.async_find(partition)
        if not address:
            return None
        question = StoreJobQuestion(partition=partition, key=record.key, value=record.value)
        answer = await self.links.async_ask(address, question, timeout_s=timeout_s)
        match answer:
            case StoreJobAnswer(failure=None):
                return Ok(None)
            case StoreJobAnswer(failure=Failure() as failure):
                return Err(CallError(failure=failure, status=answer.status, detail=answer.detail))
            case NotOwner():
                return None
        return Err(CallError(failure=Failure.UNKNOWN, detail="the owner hasn't answered"))

    async def async_count_pending(self, partitions: Sequence[int], queue: str) -> int | None:
        """Return a queue's pending jobs over all partitions; None if any count is not available."""
        answers: dict[int, QueueAnswer | None] = {}
        known: list[QueueAnswer] = []

        async def async_count(partition: int) -> None:
            answers[partition] = await self._async_count_in(partition, queue)

        # What the first ones have forwarded is counted by those that have got it.
        asked = set(partitions)
        while asked:
            async with trio.open_nursery() as nursery:
                for partition in asked:
                    nursery.start_soon(async_count, partition)
            known = [answer for answer in answers.values() if answer is not None]
            asked = {further for answer in known for further in answer.forwarded_to} - set(answers)
        return sum(answer.pending for answer in known) if len(known) == len(answers) else None

    async def _async_count_in(self, partition: int, queue: str) -> QueueAnswer | None:
        answer = await self._async_ask(partition, QueueQuestion(partition=partition, queue=queue))
        if isinstance(answer, QueueAnswer):
            return answer
        stored = await self._async_read_stored(partition)
        return None if isinstance(stored, Err) else count_stored(stored, queue)

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

    async def _async_find_stored(self, partition: int, job_id: str) -> FoundJob | Err[str] | None:
        stored = await self._async_read_stored(partition)
        if isinstance(stored, Err):
            return stored
        progress = stored.progress.get(job_id)
        if progress is not None:
            return FoundJob(
                state=progress.state,
                workspace=progress.workspace,
                forwarded_to=progress.forwarded_to,
            )
        request = stored.requests.get(job_id)
        workspace = request.workspace if request is not None else stored.canceled.get(job_id, "")
        if workspace == stored.canceled.get(job_id):
            return FoundJob(state=JobState.CANCELED, workspace=workspace)
        if request is None:
            return None
        return FoundJob(state=JobState.PENDING, workspace=workspace)

    async def _async_read_stored(self, partition: int) -> StoredJobs | Err[str]:
        """Return a partition's records as of the call, or slightly older.

        Calls that coincide share one read, also if it fails. When an owner has died, the callers of
        all its jobs ask at once, and each would read and decode the whole partition.
        """
        asked_ms = monotonic_ms()
        reads = self.reads.setdefault(partition, PartitionReads())
        async with reads.lock:
            cached = self.cached_records.get(partition)
            if cached is not None and asked_ms - cached.read_ms < CACHED_MAX_AGE_MS:
                return cached.jobs
            if reads.failure and reads.failed_ms > asked_ms:
                return Err(reads.failure)
            began_ms = monotonic_ms()
            read = await self._async_read_records(partition)
            if isinstance(read, Err):
                reads.failed_ms, reads.failure = monotonic_ms(), read.err_value
            else:
                self.cached_records[partition] = CachedRecords(read_ms=began_ms, jobs=read)
            return read

    async def _async_read_records(self, partition: int) -> StoredJobs | Err[str]:
        records = []
        # Requests must be read first: a job that ends in between then still has its progress.
        for topic in (JOBS_TOPIC, WORK_TOPIC):
            read = await self.store.async_read_all_newest(topic, partition)
            if isinstance(read, Err):
                return Err(read.err_value.detail or "not read")
            records += read.ok_value.records
        stored = read_records(records)
        stored.apply_arrivals()
        return stored


def count_stored(stored: StoredJobs, queue: str) -> QueueAnswer:
    """Count a queue's pending jobs by a partition's records, as its owner does."""
    pending = 0
    for job_id, request in stored.requests.items():
        progress = stored.progress.get(job_id)
        if progress is None:
            pending += request.queue == queue
        elif progress.forwarded_to is None:
            pending += progress.queue == queue and progress.state is JobState.PENDING
    forwarded_to = {
        progress.forwarded_to
        for progress in stored.progress.values()
        if progress.queue == queue and progress.forwarded_to is not None
    }
    return QueueAnswer(pending=pending, forwarded_to=sorted(forwarded_to))
