"""Writes a partition's records as its only writer, and does what waits for each to be stored."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from result import Ok

from heatherkeel.ownership.const import PRODUCER, WORK_TOPIC
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import Producer, StoreClient

from .const import MAX_APPEND_RECORDS

_LOGGER = logging.getLogger(__name__)

RETRY_PAUSE_S = 0.25
"""Pause after an append that wasn't done or answered, in seconds."""


@dataclass(kw_only=True, slots=True)
class Batch:
    """Records to be stored together, by key, and what waits for that.

    A value is encoded only when its batch leaves: a job changes several times in between.
    """

    records: dict[str, Callable[[], bytes]] = field(default_factory=dict)
    waiting: list[Callable[[], None]] = field(default_factory=list)


class Journal:
    """Group commit: while one append is on its way, the next batch gathers.

    An append without an answer is sent again under its sequence number, which the log takes
    once. An owner whose partition has gone to another is refused by its lower epoch, so its
    late records can't overwrite those of its successor.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        partition: int,
        token: int,
        on_fenced: Callable[[], None],
    ) -> None:
        self.store = store
        self.partition = partition
        self.token = token
        self.on_fenced = on_fenced
        self.sequence = 0
        self.batch = Batch()
        self.wanted = trio.Event()
        self.connected = True

    async def async_open(self) -> bool:
        """Shut out all earlier owners; False if there is a later one."""
        return await self._async_append([])

    def put(self, key: str, encode: Callable[[], bytes]) -> None:
        """Store a record with the next append."""
        self.batch.records[key] = encode
        self.wanted.set()

    def when_stored(self, callback: Callable[[], None]) -> None:
        """Call back once everything that was put so far is stored."""
        self.batch.waiting.append(callback)
        self.wanted.set()

    async def async_run(self) -> None:
        """Write batches until cancelled or fenced."""
        while True:
            await self.wanted.wait()
            self.wanted = trio.Event()
            batch, self.batch = self.batch, Batch()
            records = [
                KeyedRecord(key=key, value=encode()) for key, encode in batch.records.items()
            ]
            for start in range(0, len(records), MAX_APPEND_RECORDS):
                if not await self._async_append(records[start : start + MAX_APPEND_RECORDS]):
                    return
            for callback in batch.waiting:
                callback()

    async def _async_append(self, records: list[KeyedRecord]) -> bool:
        """Append once, however often it takes; False if somebody else owns the partition."""
        while True:
            producer = Producer(name=PRODUCER, epoch=self.token, sequence=self.sequence)
            appended = await self.store.async_append(
                WORK_TOPIC, self.partition, records, producer=producer
            )
            if isinstance(appended, Ok):
                self.sequence += 1
                self._tell_connected(True, "")
                return True
            error = appended.err_value
            if error.failure is Failure.FENCED:
                _LOGGER.warning(
                    "partition has another owner",
                    extra={"event": "fenced", "partition": self.partition, "token": self.token},
                )
                self.on_fenced()
                return False
            if error.failure is Failure.OUT_OF_ORDER:
                if self._take_expected(error):
                    return True
                continue
            self._tell_connected(False, error.detail)
            await trio.sleep(RETRY_PAUSE_S)

    def _take_expected(self, error: CallError) -> bool:
        """Go on from the sequence number that the log expects; says whether ours was taken."""
        was_taken = error.number == self.sequence + 1
        _LOGGER.warning(
            "log expects another sequence number",
            extra={
                "event": "sequence",
                "partition": self.partition,
                "ours": self.sequence,
                "expected": error.number,
            },
        )
        self.sequence = error.number
        return was_taken

    def _tell_connected(self, connected: bool, detail: str) -> None:
        if connected == self.connected:
            return
        self.connected = connected
        _LOGGER.log(
            logging.INFO if connected else logging.WARNING,
            "records can%s be stored",
            "" if connected else "'t",
            extra={
                "event": "journal_regained" if connected else "journal_lost",
                "partition": self.partition,
                "detail": detail,
            },
        )
