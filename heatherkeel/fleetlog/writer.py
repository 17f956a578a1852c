"""Appends records in batches and returns the fold's decision to each author."""

from __future__ import annotations

import logging
from typing import Final

import trio
from result import Err, Ok, Result

from heatherkeel.core import envelopes
from heatherkeel.core.const import DEFAULT_RECORD_LIFETIME_MS, MAX_RECORD_BYTES
from heatherkeel.core.models import Duplicate, RecordBody, Settled
from heatherkeel.helpers.backoff import Backoff

from .client import PlatformClient
from .errors import PlatformError, PlatformFailure
from .log_clock import LogClock
from .pending import PendingRecord, WriteFailure

__all__ = ["LogWriter", "PendingRecord", "WriteFailure"]

_LOGGER = logging.getLogger(__name__)

MAX_BATCH_RECORDS: Final = 256
MAX_BATCH_BYTES: Final = 1024 * 1024
MAX_PENDING_RECORDS: Final = 4096
FIRST_PAUSE_S: Final = 0.1
LONGEST_PAUSE_S: Final = 2.0


class LogWriter:
    """Group commit: one append at a time carries all records that were queued meanwhile.

    An append whose answer is lost is sent again with the same record ids; the fold ignores the
    duplicates. An author gets `Settled` only after the record was read back.
    """

    def __init__(
        self, *, client: PlatformClient, stream: str, author: str, clock: LogClock, interval_ms: int
    ) -> None:
        self.client = client
        self.stream = stream
        self.author = author
        self.clock = clock
        self.interval_s = interval_ms / 1000
        self.queue: list[PendingRecord] = []
        self.waiting: dict[str, PendingRecord] = {}
        self.wake = trio.Event()
        self.appends = 0
        self.platform_up = False
        self.answers_at_failure = -1
        self.backoff = Backoff(first_s=FIRST_PAUSE_S, limit_s=LONGEST_PAUSE_S)

    def start(self, nursery: trio.Nursery) -> None:
        """Start to append in the background."""
        nursery.start_soon(self._async_run)

    async def async_write(
        self,
        body: RecordBody,
        *,
        timeout_s: float,
        record_id: str | None = None,
        lifetime_ms: int = DEFAULT_RECORD_LIFETIME_MS,
    ) -> Result[Settled, WriteFailure]:
        """Append one record and wait until the local fold has decided it."""
        if not self.clock.is_known or self.is_unresponsive:
            return Err(WriteFailure.NOT_APPENDED)
        envelope = envelopes.seal(
            body,
            author=self.author,
            now_ms=self.clock.now_ms(),
            record_id=record_id,
            lifetime_ms=lifetime_ms,
        )
        pending = PendingRecord(envelope=envelope, data=envelopes.encode(envelope))
        if len(pending.data) > MAX_RECORD_BYTES:
            return Err(WriteFailure.TOO_LARGE)
        if len(self.waiting) >= MAX_PENDING_RECORDS:
            return Err(WriteFailure.OVERLOADED)
        return await self._async_wait(self._enqueue(pending), timeout_s)

    @property
    def is_unresponsive(self) -> bool:
        """Return whether the platform hasn't responded since an append got no answer.

        Writes are then refused immediately instead of waiting for their whole timeout.
        """
        return self.clock.answers == self.answers_at_failure

    def settle(self, settled: Settled) -> None:
        """Pass the fold's decision on a record to its authors."""
        pending = self.waiting.pop(settled.record_id, None)
        if pending is not None:
            pending.finish(settled=settled)

    def hear_duplicate(self, duplicate: Duplicate) -> None:
        """Handle a record that was decided before its author began to wait for it."""
        pending = self.waiting.pop(duplicate.record_id, None)
        if pending is not None:
            pending.finish(failure=WriteFailure.UNKNOWN)

    def _enqueue(self, pending: PendingRecord) -> PendingRecord:
        """Queue a record; a second author with the same record id waits for the queued one."""
        earlier = self.waiting.get(pending.envelope.id)
        if earlier is not None:
            return earlier
        self.queue.append(pending)
        self.waiting[pending.envelope.id] = pending
        self.wake.set()
        return pending

    async def _async_wait(
        self, pending: PendingRecord, timeout_s: float
    ) -> Result[Settled, WriteFailure]:
        pending.authors += 1
        try:
            with trio.move_on_after(timeout_s):
                await pending.done.wait()
        finally:
            pending.authors -= 1
            # Cancelled authors come here too; their records must not count against the limit.
            if pending.authors == 0:
                self._abandon(pending)
        return pending.conclude()

    def _abandon(self, pending: PendingRecord) -> None:
        """Forget a record without authors, and remove it from the queue if it wasn't sent."""
        if self.waiting.get(pending.envelope.id) is pending:
            del self.waiting[pending.envelope.id]
        if not pending.sent and pending in self.queue:
            self.queue.remove(pending)

    async def _async_run(self) -> None:
        while True:
            await self.wake.wait()
            await trio.sleep(self.interval_s)
            batch = self._next_batch()
            if not batch:
                self.wake = trio.Event()
                continue
            await self._async_append(batch)

    def _next_batch(self) -> list[PendingRecord]:
        """Return the head of the queue, limited in records and bytes."""
        batch: list[PendingRecord] = []
        size = 0
        for pending in self.queue[:MAX_BATCH_RECORDS]:
            size += len(pending.data)
            if batch and (size > MAX_BATCH_BYTES or pending.is_separate or batch[0].is_separate):
                break
            batch.append(pending)
        return batch

    async def _async_append(self, batch: list[PendingRecord]) -> None:
        for pending in batch:
            pending.sent = True
        self.appends += 1
        outcome = await self.client.async_append(self.stream, [item.data for item in batch])
        match outcome:
            case Ok(appended):
                self.clock.update(appended.now_ms)
                self.platform_up = True
                self.backoff.reset()
                self._remove(batch)
            case Err(error):
                await self._async_fail(batch, error)

    async def _async_fail(self, batch: list[PendingRecord], error: PlatformError) -> None:
        _LOGGER.warning("append failed: %s", error.detail, extra={"event": "append_failed"})
        if error.failure is PlatformFailure.INVALID and len(batch) > 1:
            self._send_separately(batch)
            return
        self.platform_up = False
        if error.failure is PlatformFailure.UNKNOWN:
            self.answers_at_failure = self.clock.answers
        self._keep_or_fail(batch, error.failure)
        await trio.sleep(self.backoff.next_s())

    def _send_separately(self, batch: list[PendingRecord]) -> None:
        """Send each record of a rejected batch separately, so that only the invalid one fails.

        Otherwise that record would block the queue until its lifetime ends.
        """
        for pending in batch:
            pending.is_separate = True

    def _remove(self, batch: list[PendingRecord]) -> None:
        done = {id(pending) for pending in batch}
        self.queue = [pending for pending in self.queue if id(pending) not in done]

    def _keep_or_fail(self, batch: list[PendingRecord], failure: PlatformFailure) -> None:
        """Fail records that are not in the log; keep those that may be, to send them again.

        A record is NOT_APPENDED only if no earlier append of it may have taken effect.
        """
        now_ms = self.clock.now_ms()
        for pending in batch:
            if failure is PlatformFailure.UNKNOWN:
                pending.may_be_appended = True
            if not pending.may_be_appended:
                self._fail(pending, WriteFailure.NOT_APPENDED)
            elif self._must_give_up(pending, failure, now_ms):
                self._fail(pending, WriteFailure.UNKNOWN)

    def _must_give_up(self, pending: PendingRecord, failure: PlatformFailure, now_ms: int) -> bool:
        return (
            failure is PlatformFailure.INVALID
            or pending.envelope.not_after_ms < now_ms
            or pending.envelope.id not in self.waiting
        )

    def _fail(self, pending: PendingRecord, failure: WriteFailure) -> None:
        self._remove([pending])
        if self.waiting.get(pending.envelope.id) is pending:
            del self.waiting[pending.envelope.id]
        pending.finish(failure=failure)
