"""Answers questions about admission for a partition's owner."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio
from result import Err

from heatherkeel.dispatch.records import StoredRequest, parse_caller_key
from heatherkeel.dispatch.state import PartitionState
from heatherkeel.helpers.clock import monotonic_ms, wall_ms
from heatherkeel.ownership.const import JOBS_TOPIC
from heatherkeel.platform.store import StoreClient
from heatherkeel.questions.messages import AdmissionAnswer, AdmissionQuestion

from .const import JUDGE_INTERVAL_S, MAX_RECORDS_READ, MEMORY_RETRY_S, UNLIMITED_BYTES
from .desk import AdmissionDesk, Decision
from .large_jobs import LargeJobs
from .memory import RefusedJob
from .metrics import AdmissionMetrics
from .models import Doubt, RefusalReason
from .outcomes import Verdict

_LOGGER = logging.getLogger(__name__)
UNSURE_OF_MEMORY: Final = frozenset({Doubt.NEW_OWNER, Doubt.NOT_CURRENT, Doubt.OLD_QUESTION})
"""Doubts with which the owner doesn't know what it has to keep."""


@dataclass(kw_only=True, slots=True)
class OwnerView:
    """What an owner knows of its own state."""

    is_current: Callable[[], bool]
    next_offset: Callable[[], int | None]
    """Returns the offset up to which the partition's jobs were read."""
    count_partitions: Callable[[str], int]
    """Returns the number of partitions of a queue's service."""


class SharedRead:
    """Reads the jobs that were stored last, once for all who ask while a read is in progress."""

    def __init__(self, *, store: StoreClient, partition: int) -> None:
        self.store = store
        self.partition = partition
        self.lock = trio.Lock()
        self.began_s = 0.0
        self.job_ids: frozenset[str] | None = None

    async def async_read(self, start: int) -> frozenset[str] | None:
        """Return the jobs stored from an offset on, as of now or later; None if unknown."""
        asked_s = trio.current_time()
        async with self.lock:
            if self.began_s < asked_s:
                began_s = trio.current_time()
                self.job_ids = await self._async_read(start)
                # Only now: a read that was cancelled must not vouch for the one before it.
                self.began_s = began_s
            return self.job_ids

    async def _async_read(self, start: int) -> frozenset[str] | None:
        read = await self.store.async_read_at_once(JOBS_TOPIC, self.partition, start=start)
        if isinstance(read, Err) or len(read.ok_value.records) > MAX_RECORDS_READ:
            return None
        if not read.ok_value.is_whole():
            return None
        return frozenset(parse_caller_key(record.key)[0] for record in read.ok_value.records)


class AdmissionService:
    """Admits jobs, or refuses them once it is certain that they aren't stored."""

    def __init__(
        self,
        *,
        state: PartitionState,
        store: StoreClient,
        partition: int,
        view: OwnerView,
        metrics: AdmissionMetrics,
        delete: Callable[[str, str], None],
        job_bytes: int = UNLIMITED_BYTES,
    ) -> None:
        self.partition = partition
        self.view = view
        self.metrics = metrics
        self.delete = delete
        """Deletes the stored request of a job ID and workspace."""
        self.desk = AdmissionDesk(state=state)
        self.large_jobs = LargeJobs(state=state, limit_bytes=job_bytes)
        self.shared_read = SharedRead(store=store, partition=partition)
        self.refused = trio.Event()

    def open(self) -> None:
        """Start to decide: the owner has restored its jobs."""
        self.desk.opened_ms = monotonic_ms()

    def is_dropped(self, job_id: str, request: StoredRequest) -> bool:
        """Return whether a stored job must not run since it was refused; remember it otherwise.

        Its record is deleted later: the job may still return and be stored under the same key.
        """
        memory = self.desk.memory
        is_late = memory.is_late(
            job_id, attempt=request.attempt, accepted_wall_ms=request.accepted_wall_ms
        )
        if is_late:
            memory.late[job_id] = request.workspace
            self.metrics.late_records.inc()
            _LOGGER.warning(
                "a refused job was stored later; it never runs",
                extra={"event": "refused_job_stored", "job": job_id, "partition": self.partition},
            )
        elif job_id in memory.refused:
            self.desk.admit(job_id, now_ms=monotonic_ms())
        return is_late

    async def async_answer(self, question: AdmissionQuestion) -> AdmissionAnswer:
        """Decide on a job."""
        if question.only_known:
            if self.desk.is_new(monotonic_ms()):
                # It doesn't know yet what its predecessor has admitted.
                return AdmissionAnswer(doubt=Doubt.NEW_OWNER.value)
            is_known = self.desk.is_known(question.job_id)
            return AdmissionAnswer(doubt=Doubt.KNOWN.value if is_known else "")
        if question.kept_bytes:
            answer = await self._async_check_memory(question)
            if answer is not None:
                return answer
        decision = self._decide(question)
        if decision.is_refusal():
            doubt = await self._async_find_stored(question)
            if doubt is None:
                decision = self._decide(question)
            else:
                self.desk.admit(question.job_id, now_ms=monotonic_ms())
                decision = Decision(doubt=doubt)
        if decision.is_refusal():
            return self._refuse(question, decision)
        if decision.doubt is not None:
            self.metrics.doubts.labels(decision.doubt.value).inc()
        return AdmissionAnswer(doubt=decision.doubt.value if decision.doubt else "")

    async def _async_check_memory(self, question: AdmissionQuestion) -> AdmissionAnswer | None:
        """Refuse a large job for which there is no memory; None if it may be decided further.

        With a doubt, whoever asks may neither store the job nor say that it never runs.
        """
        doubt = self.desk.find_doubt(
            question, now_ms=monotonic_ms(), wall_ms=wall_ms(), is_current=self.view.is_current()
        )
        if doubt is Doubt.KNOWN or doubt in UNSURE_OF_MEMORY:
            return AdmissionAnswer(doubt=doubt.value)
        if not self._has_memory(question):
            stored = await self._async_find_stored(question)
            if stored is not None:
                return AdmissionAnswer(doubt=stored.value)
            if not self._has_memory(question):
                return self._refuse_for_memory(question)
        now_ms = monotonic_ms()
        self.large_jobs.promise(question.job_id, question.kept_bytes, now_ms=now_ms)
        if not question.only_memory:
            return None
        self.desk.admit(question.job_id, now_ms=now_ms)
        return AdmissionAnswer()

    def _has_memory(self, question: AdmissionQuestion) -> bool:
        return self.large_jobs.has_room(question.job_id, question.kept_bytes, now_ms=monotonic_ms())

    def _refuse_for_memory(self, question: AdmissionQuestion) -> AdmissionAnswer:
        now_ms = monotonic_ms()
        self.desk.memory.refuse(
            question.job_id,
            RefusedJob(
                refused_ms=now_ms,
                refused_wall_ms=wall_ms(),
                attempt=question.attempt,
                returns_ms=now_ms + 1000 * MEMORY_RETRY_S,
                service="",
                work=0.0,
            ),
        )
        self.metrics.refusals.labels(RefusalReason.NO_JOB_MEMORY.value).inc()
        self.refused.set()
        _LOGGER.info(
            "no memory for a large job",
            extra={
                "event": "large_job_refused",
                "job": question.job_id,
                "partition": self.partition,
                "kept_bytes": question.kept_bytes,
                "used_bytes": self.large_jobs.used_bytes(now_ms),
                "limit_bytes": self.large_jobs.limit_bytes,
            },
        )
        return AdmissionAnswer(refusal=RefusalReason.NO_JOB_MEMORY.value, retry_s=MEMORY_RETRY_S)

    def _decide(self, question: AdmissionQuestion) -> Decision:
        return self.desk.decide(
            question,
            now_ms=monotonic_ms(),
            wall_ms=wall_ms(),
            is_current=self.view.is_current(),
            partitions=self.view.count_partitions(question.queue),
        )

    async def _async_find_stored(self, question: AdmissionQuestion) -> Doubt | None:
        """Read whether a job was stored that this owner hasn't read yet."""
        start = self.view.next_offset()
        stored = await self.shared_read.async_read(start) if start is not None else None
        if stored is None:
            return Doubt.STORE_SILENT
        return Doubt.KNOWN if question.job_id in stored else None

    def _refuse(self, question: AdmissionQuestion, decision: Decision) -> AdmissionAnswer:
        now_ms = monotonic_ms()
        expected, backlog = decision.expected, decision.backlog
        assert expected is not None and backlog is not None, "decided by a backlog"
        retry_s = self.desk.refuse(question, decision, now_ms=now_ms, wall_ms=wall_ms())
        self.metrics.refusals.labels(expected.reason.value).inc()
        self.refused.set()
        return AdmissionAnswer(
            refusal=expected.reason.value,
            retry_s=retry_s,
            begins_ms=round(expected.begins_ms),
            ends_ms=round(expected.ends_ms),
            worthless_ms=round(expected.worthless_ms),
            ahead=round(expected.ahead),
            cores=round(backlog.cores),
            age_ms=now_ms - backlog.measured_ms,
        )

    async def async_run(self) -> None:
        """Judge refusals, and delete late records, until cancelled."""
        while True:
            await self.refused.wait()
            self.refused = trio.Event()
            last_ms = monotonic_ms()
            memory = self.desk.memory
            while memory.refused or memory.late or self.desk.judge.waiting:
                await trio.sleep(JUDGE_INTERVAL_S)
                now_ms = monotonic_ms()
                self.follow_refusals(now_ms=now_ms, since_ms=last_ms)
                last_ms = now_ms

    def follow_refusals(self, *, now_ms: int, since_ms: int) -> None:
        """Judge refusals by what happened since the last call, and delete expired late records."""
        if self.desk.judge.waiting:
            unused = self.desk.measure_unused(now_ms - since_ms)
            for verdict in self.desk.judge.observe(unused, now_ms=now_ms):
                self._record_verdict(verdict)
        self.desk.memory.forget_old(now_ms)
        for job_id, workspace in self.desk.memory.take_expired_late().items():
            self.delete(job_id, workspace)

    def _record_verdict(self, verdict: Verdict) -> None:
        outcome = "right" if verdict.is_right else "wrong"
        self.metrics.outcomes.labels(outcome).inc()
        _LOGGER.info(
            (
                "there was no room for a refused job"
                if verdict.is_right
                else "there was room for a refused job"
            ),
            extra={
                "event": "refusal_judged",
                "job": verdict.job.job_id,
                "service": verdict.job.service,
                "outcome": outcome,
            },
        )
