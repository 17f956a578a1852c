"""Follows one partition of a keyed topic, starting with its newest records."""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio
from result import Err, Ok

from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient
from heatherkeel.platform.store_answers import NewestRecords, ReadRecords
from heatherkeel.platform.transfer import Transfer, begin_transfer

from .coverage import Coverage, Reading

_LOGGER = logging.getLogger(__name__)

RETRY_PAUSE_S = 0.3
"""Pause after a failed read, in seconds."""

SHORTEST_WAIT_MS = 50
"""Shortest wait of a read, in milliseconds."""
NEWEST_FROM_RECORDS = 2
"""Number of further records behind a cut answer from which the newest ones alone are read."""


class TopicFollower:
    """Passes on each record once and in order.

    `on_records` is called with records. `on_keys` is called with all existing keys after the newest
    records have been read again; deletions in forgotten history are only visible this way.
    `on_answer` is called with each answer that has records and when it was requested, `on_bytes`
    while an answer is arriving, `on_end` once it was applied or given up.

    With `max_kb`, answers are cut at this size, and only the newest record of each key is read
    where several are missing: a small link can't carry each version of a large record.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        topic: str,
        partition: int,
        on_records: Callable[[list[KeyedRecord]], None],
        on_keys: Callable[[set[str]], None],
        wait_ms: int,
        pause_ms: int = 0,
        max_kb: int | None = None,
        coverage: Coverage | None = None,
        on_bytes: Callable[[Transfer], None] = lambda transfer: None,
        on_end: Callable[[], None] = lambda: None,
        on_answer: Callable[[ReadRecords, int], None] = lambda answer, sent_ms: None,
    ) -> None:
        self.store = store
        self.topic = topic
        self.partition = partition
        self.on_records = on_records
        self.on_keys = on_keys
        self.on_answer = on_answer
        self.wait_ms = wait_ms
        self.pause_s = pause_ms / 1000
        self.max_kb = max_kb
        self.on_bytes = on_bytes
        self.on_end = on_end
        self.next_offset: int | None = None
        self.caught_up = trio.Event()
        self.connected = True
        self.read_ms = monotonic_ms()
        """When the store last answered a read."""
        self.coverage = coverage if coverage is not None else Coverage()
        """What is known; shared with others who learn records of the topic."""
        self.reading = trio.CancelScope()
        """Ends the read in progress."""
        self.suspensions = 0
        """Number of callers of `suspend` that haven't called `resume`."""
        self.resumed = trio.Event()
        """Set when the last of them does."""

    async def async_run(self) -> None:
        """Follow until cancelled."""
        while True:
            while self.suspensions:
                await self.resumed.wait()
            with trio.CancelScope() as self.reading:
                if self.next_offset is None:
                    await self._async_read_newest()
                else:
                    await self._async_read_next(self.next_offset)
            self.on_end()

    def skip_to(self, offset: int) -> None:
        """Continue at an offset: the records before it are known from elsewhere."""
        if self.next_offset is None or offset > self.next_offset:
            self.next_offset = offset
            self.reading.cancel()

    def suspend(self) -> None:
        """End the read in progress; no other one begins before each caller calls `resume`."""
        self.suspensions += 1
        self.reading.cancel()

    def resume(self) -> None:
        """Continue after `suspend`, unless another caller has suspended it as well."""
        self.suspensions -= 1
        if not self.suspensions:
            self.resumed.set()
            self.resumed = trio.Event()

    async def _async_read_newest(self) -> None:
        sent_ms = monotonic_ms()
        read = await self.store.async_read_all_newest(
            self.topic, self.partition, transfer=self._begin_transfer()
        )
        if isinstance(read, Err):
            return await self._async_handle_failure(read.err_value)
        page = read.ok_value
        # Pages are no snapshot: a key may occur twice, and only its last record counts.
        records = sorted(page.records, key=lambda record: record.offset)
        self.on_keys({record.key for record in records if record.value})
        self.on_records(records)
        self.next_offset = page.end
        reading = Reading(known_end=page.end, log_end=page.end, seen_ms=sent_ms)
        self._record_success(reading)
        return None

    async def _async_read_next(self, start: int) -> None:
        sent_ms = monotonic_ms()
        wait_ms = self._next_wait_ms(sent_ms)
        read = await self.store.async_read(
            self.topic,
            self.partition,
            start=start,
            wait_ms=wait_ms,
            max_kb=self.max_kb,
            transfer=self._begin_transfer(),
        )
        match read:
            case Ok(answer):
                self.next_offset = answer.next_offset()
                if answer.records:
                    self.on_answer(answer, sent_ms)
                    self.on_records(answer.records)
                # The store answers without records only after the full wait.
                waited_ms = 0 if answer.records else wait_ms
                reading = Reading(
                    known_end=self.next_offset,
                    log_end=answer.end,
                    seen_ms=min(sent_ms + waited_ms, monotonic_ms()),
                )
                self._record_success(reading)
                await self._async_handle_cut(answer)
                if self.pause_s:
                    await trio.sleep(self.pause_s)
            case Err(error) if error.failure is Failure.FORGOTTEN:
                _LOGGER.info(
                    "the store has dropped this history; reading the newest records again",
                    extra={"event": "history_forgotten", "topic": self.topic, "offset": start},
                )
                self.next_offset = None
            case Err(error):
                await self._async_handle_failure(error)

    async def _async_handle_cut(self, answer: ReadRecords) -> None:
        """Decide how to go on after an answer that lacks records."""
        if answer.is_whole():
            return
        if not answer.records:
            # The next record is larger than the asked size, and this store then sends none.
            _LOGGER.warning(
                "an answer has no room for the next record; reading without a size",
                extra={"event": "answer_without_room", "topic": self.topic, "offset": answer.start},
            )
            self.max_kb = None
            await trio.sleep(RETRY_PAUSE_S)
        elif self.max_kb is not None and answer.count_missing() >= NEWEST_FROM_RECORDS:
            self.next_offset = None

    def _begin_transfer(self) -> Transfer:
        transfer = begin_transfer()
        transfer.listeners.append(lambda: self.on_bytes(transfer))
        return transfer

    def _next_wait_ms(self, now_ms: int) -> int:
        """Return the wait of the next read, shortened by the age of what is known.

        After an answer with records it isn't known whether there are more, so that a full wait
        would let the age grow to twice the wait.
        """
        as_of_ms = self.coverage.as_of_ms
        if as_of_ms is None:
            return self.wait_ms
        return max(SHORTEST_WAIT_MS, self.wait_ms - (now_ms - as_of_ms))

    def begin_after(self, reading: Reading) -> None:
        """Follow the records behind those that were read elsewhere."""
        self.next_offset = reading.known_end
        self.coverage = Coverage()
        self.coverage.apply(reading)

    def _record_success(self, reading: Reading) -> None:
        """Record an answer, which may have been delayed and so is older than its arrival."""
        self.read_ms = monotonic_ms()
        self.coverage.apply(reading)
        self.caught_up.set()
        if not self.connected:
            self.connected = True
            _LOGGER.info(
                "topic can be read again", extra={"event": "topic_regained", "topic": self.topic}
            )

    async def _async_handle_failure(self, error: CallError) -> None:
        if self.connected:
            self.connected = False
            _LOGGER.warning(
                "cannot read a topic; using the records that were read before",
                extra={"event": "topic_lost", "topic": self.topic, "detail": error.detail},
            )
        await trio.sleep(RETRY_PAUSE_S)


async def async_read_newest_with_retry(
    store: StoreClient, topic: str, partition: int
) -> NewestRecords:
    """Read all newest records of a partition; retry until it succeeds."""
    while True:
        read = await store.async_read_all_newest(topic, partition)
        if not isinstance(read, Err):
            return read.ok_value
        _LOGGER.warning(
            "cannot read a partition's records; retrying",
            extra={
                "event": "restore_waits",
                "topic": topic,
                "partition": partition,
                "detail": read.err_value.detail,
            },
        )
        await trio.sleep(RETRY_PAUSE_S)
