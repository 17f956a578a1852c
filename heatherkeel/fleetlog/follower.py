"""Reads the log from the next offset and passes each record to the reducer."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Final

import trio
from result import Err, Ok

from heatherkeel.core.errors import BrokenInvariantError
from heatherkeel.core.models import LogRecord
from heatherkeel.helpers.backoff import Backoff
from heatherkeel.helpers.clock import monotonic_ms

from .client import PlatformClient
from .errors import PlatformError, PlatformFailure
from .log_clock import LogClock
from .models import ReadAnswer

_LOGGER = logging.getLogger(__name__)

MAX_READ_RECORDS: Final = 512
FIRST_PAUSE_S: Final = 0.1
LONGEST_PAUSE_S: Final = 2.0
EMPTY_ANSWER_PAUSE_S: Final = 0.05
"""Minimum pause after a read without records, in seconds."""


class LogRewrittenError(BrokenInvariantError):
    """The log has another record at an offset that was folded: the state differs from the log."""


class LogFollower:
    """Follows the end of the log and folds its records while the platform answers."""

    def __init__(
        self,
        *,
        client: PlatformClient,
        stream: str,
        clock: LogClock,
        wait_ms: int,
        next_offset: Callable[[], int],
        apply_record: Callable[[LogRecord], None],
        rebuild: Callable[[], Awaitable[bool]],
    ) -> None:
        self.client = client
        self.stream = stream
        self.clock = clock
        self.wait_ms = wait_ms
        self.next_offset = next_offset
        self.apply_record = apply_record
        self.rebuild = rebuild
        self.caught_up = trio.Event()
        self.reachable = False
        self.answered_at_ms: int | None = None
        """Monotonic time of the log's last response, in milliseconds."""
        self.out_of_retention = False
        self.oldest = 0
        self.last_record: LogRecord | None = None
        self.in_doubt = False
        self.backoff = Backoff(first_s=FIRST_PAUSE_S, limit_s=LONGEST_PAUSE_S)

    def start(self, nursery: trio.Nursery) -> None:
        """Start to follow the log in the background."""
        nursery.start_soon(self._async_run)

    def record_relayed(self, record: LogRecord) -> None:
        """Record that a record was folded that a peer relayed and the log hasn't confirmed."""
        self.last_record = record
        self.in_doubt = True

    def forget_records(self) -> None:
        """Forget the last record, because the state was replaced."""
        self.last_record = None
        self.in_doubt = False

    async def _async_run(self) -> None:
        while True:
            # The first read after an outage doesn't wait for records, so that a reachable platform
            # is detected immediately.
            wait_ms = self.wait_ms if self.caught_up.is_set() and self.reachable else 0
            offset = self.next_offset() - (1 if self._must_compare() else 0)
            outcome = await self.client.async_read(
                self.stream, offset=offset, max_records=MAX_READ_RECORDS, wait_ms=wait_ms
            )
            match outcome:
                case Ok(answer):
                    await self._async_apply_answer(answer)
                case Err(error):
                    await self._async_handle_error(error)

    def _must_compare(self) -> bool:
        return self.in_doubt and self.last_record is not None

    async def _async_apply_answer(self, answer: ReadAnswer) -> None:
        self.reachable = True
        self.answered_at_ms = monotonic_ms()
        self.out_of_retention = False
        self.oldest = answer.oldest
        self.clock.update(answer.now_ms)
        if answer.next < self.next_offset():
            await self._async_handle_truncated_log(answer)
            return
        records = [
            LogRecord(offset=stored.offset, at_ms=stored.at_ms, data=stored.data)
            for stored in answer.records
        ]
        if self._must_compare():
            self._compare_last_record(records)
        for record in records:
            self._fold(record)
        self.backoff.reset()
        if self.next_offset() >= answer.next:
            self.caught_up.set()
        # Prevents a busy loop if the platform answers without records and without waiting.
        if not records:
            await trio.sleep(EMPTY_ANSWER_PAUSE_S)

    def _fold(self, record: LogRecord) -> None:
        # A peer may have relayed the same record while this response was in transit.
        if record.offset < self.next_offset():
            return
        self.apply_record(record)
        self.last_record = record

    async def _async_handle_truncated_log(self, answer: ReadAnswer) -> None:
        """Fold nothing from a log that ends before the last folded record.

        A lagging replica catches up again. A log that lost records assigns their offsets to other
        records, so the last folded record is compared before the next one is folded.
        """
        self.in_doubt = True
        extra = {"event": "log_went_back", "end": answer.next, "next_offset": self.next_offset()}
        _LOGGER.error("the log ends before the last record that was read from it", extra=extra)
        await trio.sleep(self.backoff.next_s())

    def _compare_last_record(self, records: list[LogRecord]) -> None:
        """Compare the last folded record with the log; raises `LogRewrittenError`."""
        last = self.last_record
        if last is None:
            return
        found = next((record for record in records if record.offset == last.offset), None)
        if found is None:
            return
        if found.data != last.data:
            raise LogRewrittenError(f"another record at offset {last.offset}")
        self.in_doubt = False

    async def _async_handle_error(self, error: PlatformError) -> None:
        # Continuing from the oldest retained record would silently lose accepted edits.
        if error.failure is PlatformFailure.OUT_OF_RETENTION:
            await self._async_handle_out_of_retention(error.oldest)
            return
        self.reachable = False
        _LOGGER.warning("read failed: %s", error.detail, extra={"event": "log_read_failed"})
        await trio.sleep(self.backoff.next_s())

    async def _async_handle_out_of_retention(self, oldest: int) -> None:
        """Rebuild the state, unless only the record to compare is no longer retained.

        The next offset can then still be read, and waiting for a newer snapshot isn't necessary.
        The digest of the next snapshot detects a state that differs.
        """
        if self._must_compare() and oldest <= self.next_offset():
            self.in_doubt = False
            extra = {"event": "relay_not_compared", "offset": self.next_offset() - 1}
            _LOGGER.warning("a relayed record is no longer retained by the log", extra=extra)
            return
        await self._async_rebuild(oldest)

    async def _async_rebuild(self, oldest: int) -> None:
        self.out_of_retention = True
        self.oldest = oldest
        extra = {
            "event": "out_of_retention",
            "next_offset": self.next_offset(),
            "oldest": oldest,
        }
        _LOGGER.error("the next offset is no longer retained", extra=extra)
        if not await self.rebuild():
            await trio.sleep(self.backoff.next_s())
