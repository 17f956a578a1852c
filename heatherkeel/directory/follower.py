"""Follows one partition of a keyed topic, from its newest records on."""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio
from result import Err, Ok

from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient
from heatherkeel.platform.store_answers import NewestRecords

_LOGGER = logging.getLogger(__name__)

RETRY_PAUSE_S = 0.3
"""Pause after a reading that failed, in seconds."""


class TopicFollower:
    """Hands on each record once and in order, and says which keys are gone.

    `take` gets records; `keep_only` gets all keys that exist, after the newest records have
    been read anew: a drop that happened while the history was forgotten is seen only so.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        topic: str,
        partition: int,
        take: Callable[[list[KeyedRecord]], None],
        keep_only: Callable[[set[str]], None],
        wait_ms: int,
        pause_ms: int = 0,
    ) -> None:
        self.store = store
        self.topic = topic
        self.partition = partition
        self.take = take
        self.keep_only = keep_only
        self.wait_ms = wait_ms
        self.pause_s = pause_ms / 1000
        self.next_offset: int | None = None
        self.caught_up = trio.Event()
        self.connected = True
        self.read_ms = monotonic_ms()
        """When the last reading was answered."""

    async def async_run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self.next_offset is None:
                await self._async_read_newest()
            else:
                await self._async_read_on(self.next_offset)

    async def _async_read_newest(self) -> None:
        read = await self.store.async_read_all_newest(self.topic, self.partition)
        if isinstance(read, Err):
            return await self._async_fail(read.err_value)
        page = read.ok_value
        # Pages are not a snapshot: a key may come twice, and only its last record counts.
        records = sorted(page.records, key=lambda record: record.offset)
        self.keep_only({record.key for record in records if record.value})
        self.take(records)
        self.next_offset = page.end
        self._succeed()
        return None

    async def _async_read_on(self, start: int) -> None:
        read = await self.store.async_read(
            self.topic, self.partition, start=start, wait_ms=self.wait_ms
        )
        match read:
            case Ok(answer):
                self.next_offset = start + len(answer.records)
                if answer.records:
                    self.take(answer.records)
                self._succeed()
                if self.pause_s:
                    await trio.sleep(self.pause_s)
            case Err(error) if error.failure is Failure.FORGOTTEN:
                _LOGGER.info(
                    "history forgotten; reading the newest records anew",
                    extra={"event": "history_forgotten", "topic": self.topic, "offset": start},
                )
                self.next_offset = None
            case Err(error):
                await self._async_fail(error)

    def _succeed(self) -> None:
        self.read_ms = monotonic_ms()
        self.caught_up.set()
        if not self.connected:
            self.connected = True
            _LOGGER.info(
                "topic can be read again", extra={"event": "topic_regained", "topic": self.topic}
            )

    async def _async_fail(self, error: CallError) -> None:
        if self.connected:
            self.connected = False
            _LOGGER.warning(
                "topic can't be read; what was read last is used",
                extra={"event": "topic_lost", "topic": self.topic, "detail": error.detail},
            )
        await trio.sleep(RETRY_PAUSE_S)


async def async_read_whole(store: StoreClient, topic: str, partition: int) -> NewestRecords:
    """Read all newest records of a partition, however long it takes until they can be read."""
    while True:
        read = await store.async_read_all_newest(topic, partition)
        if not isinstance(read, Err):
            return read.ok_value
        _LOGGER.warning(
            "a partition's records can't be read yet",
            extra={
                "event": "restore_waits",
                "topic": topic,
                "partition": partition,
                "detail": read.err_value.detail,
            },
        )
        await trio.sleep(RETRY_PAUSE_S)
