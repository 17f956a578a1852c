"""Appends records in groups, and tells each author how the fold decided its record."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

import trio
from result import Err, Ok, Result

from heatherkeel.core import envelopes
from heatherkeel.core.const import DEFAULT_RECORD_LIFETIME_MS, MAX_RECORD_BYTES
from heatherkeel.core.models import Envelope, RecordBody, Settled

from .client import PlatformClient
from .errors import PlatformFailure
from .log_clock import LogClock

_LOGGER = logging.getLogger(__name__)

MAX_BATCH_RECORDS: Final = 256
MAX_PENDING_RECORDS: Final = 4096
RETRY_PAUSE_S: Final = 0.2


class WriteFailure(StrEnum):
    """Why an author doesn't know its record as decided."""

    NOT_APPENDED = "not_appended"
    """The record surely is not in the log and never will be."""
    UNKNOWN = "unknown"
    """The record may have been accepted, or may be before its lifetime ends."""
    TOO_LARGE = "too_large"
    OVERLOADED = "overloaded"


@dataclass(kw_only=True, eq=False)
class PendingRecord:
    """A record on its way into the log."""

    envelope: Envelope
    data: bytes
    sent: bool = False
    perhaps_appended: bool = False
    """An earlier append of it got no answer, so it may stand in the log."""
    settled: Settled | None = None
    failure: WriteFailure | None = None
    done: trio.Event = field(default_factory=trio.Event)

    def finish(
        self, *, settled: Settled | None = None, failure: WriteFailure | None = None
    ) -> None:
        """Wake the author with the decision or the failure."""
        self.settled = settled
        self.failure = failure
        self.done.set()


class LogWriter:
    """Group commit: one append at a time carries all records that came meanwhile.

    An append whose answer is lost is sent again with the same record ids; the fold ignores the
    second copies. An author hears `Settled` only when the record was read back.
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

    def start(self, nursery: trio.Nursery) -> None:
        """Begin to append in the background."""
        nursery.start_soon(self._async_run)

    async def async_write(
        self,
        body: RecordBody,
        *,
        timeout_s: float,
        record_id: str | None = None,
        lifetime_ms: int = DEFAULT_RECORD_LIFETIME_MS,
    ) -> Result[Settled, WriteFailure]:
        """Append one record and wait until the fold here has decided it."""
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
        self._enqueue(pending)
        with trio.move_on_after(timeout_s):
            await pending.done.wait()
        return self._conclude(pending)

    def settle(self, settled: Settled) -> None:
        """Hear from the fold how a record was decided."""
        pending = self.waiting.pop(settled.record_id, None)
        if pending is not None:
            pending.finish(settled=settled)

    def _enqueue(self, pending: PendingRecord) -> None:
        self.queue.append(pending)
        self.waiting[pending.envelope.id] = pending
        self.wake.set()

    def _conclude(self, pending: PendingRecord) -> Result[Settled, WriteFailure]:
        if pending.settled is not None:
            return Ok(pending.settled)
        if pending.failure is not None:
            return Err(pending.failure)
        self.waiting.pop(pending.envelope.id, None)
        if pending.sent:
            return Err(WriteFailure.UNKNOWN)
        self.queue.remove(pending)
        return Err(WriteFailure.NOT_APPENDED)

    async def _async_run(self) -> None:
        while True:
            await self.wake.wait()
            await trio.sleep(self.interval_s)
            batch = self.queue[:MAX_BATCH_RECORDS]
            if not batch:
                self.wake = trio.Event()
                continue
            await self._async_append(batch)

    async def _async_append(self, batch: list[PendingRecord]) -> None:
        for pending in batch:
            pending.sent = True
        self.appends += 1
        outcome = await self.client.async_append(self.stream, [item.data for item in batch])
        match outcome:
            case Ok(appended):
                self.clock.hear(appended.now_ms)
                self.platform_up = True
                self._drop(batch)
            case Err(error):
                self.platform_up = False
                _LOGGER.warning("append failed: %s", error.detail, extra={"event": "append_failed"})
                self._keep_or_fail(batch, error.failure)
                await trio.sleep(RETRY_PAUSE_S)

    def _drop(self, batch: list[PendingRecord]) -> None:
        done = {pending.envelope.id for pending in batch}
        self.queue = [pending for pending in self.queue if pending.envelope.id not in done]

    def _keep_or_fail(self, batch: list[PendingRecord], failure: PlatformFailure) -> None:
        """Fail at once what surely is not in the log; send again what may be.

        Only a first try can be called not appended: an earlier one may have taken effect.
        """
        now_ms = self.clock.now_ms()
        for pending in batch:
            if failure is PlatformFailure.UNKNOWN:
                pending.perhaps_appended = True
            if not pending.perhaps_appended:
                self._fail(pending, WriteFailure.NOT_APPENDED)
            elif pending.envelope.not_after_ms < now_ms or pending.envelope.id not in self.waiting:
                self._fail(pending, WriteFailure.UNKNOWN)

    def _fail(self, pending: PendingRecord, failure: WriteFailure) -> None:
        self._drop([pending])
        self.waiting.pop(pending.envelope.id, None)
        pending.finish(failure=failure)
