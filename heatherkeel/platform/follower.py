"""Reads the log from the next offset on, and hands each record to the reducer."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

import trio
from result import Err, Ok

from heatherkeel.core.models import LogRecord
from heatherkeel.helpers.clock import monotonic_ms

from .client import PlatformClient
from .errors import PlatformError, PlatformFailure
from .log_clock import LogClock
from .models import ReadAnswer

_LOGGER = logging.getLogger(__name__)

MAX_READ_RECORDS: Final = 512
RETRY_PAUSE_S: Final = 0.2


class OutOfRetentionError(Exception):
    """The next offset is no longer kept: the process has to rebuild its state."""


class LogFollower:
    """Keeps the state of this process at the end of the log, while the platform answers."""

    def __init__(
        self,
        *,
        client: PlatformClient,
        stream: str,
        clock: LogClock,
        wait_ms: int,
        next_offset: Callable[[], int],
        take: Callable[[LogRecord], None],
    ) -> None:
        self.client = client
        self.stream = stream
        self.clock = clock
        self.wait_ms = wait_ms
        self.next_offset = next_offset
        self.take = take
        self.caught_up = trio.Event()
        self.reachable = False
        self.heard_at_ms: int | None = None
        """Monotonic time of the log's last answer."""

    def start(self, nursery: trio.Nursery) -> None:
        """Begin to follow the log in the background."""
        nursery.start_soon(self._async_run)

    async def _async_run(self) -> None:
        while True:
            wait_ms = self.wait_ms if self.caught_up.is_set() and self.reachable else 0
            outcome = await self.client.async_read(
                self.stream,
                offset=self.next_offset(),
                max_records=MAX_READ_RECORDS,
                wait_ms=wait_ms,
            )
            match outcome:
                case Ok(answer):
                    self._take_all(answer)
                case Err(error):
                    await self._async_pause(error)

    def _take_all(self, answer: ReadAnswer) -> None:
        self.reachable = True
        self.heard_at_ms = monotonic_ms()
        self.clock.hear(answer.now_ms)
        for record in answer.records:
            self.take(LogRecord(offset=record.offset, at_ms=record.at_ms, data=record.data))
        if self.next_offset() >= answer.next:
            self.caught_up.set()

    async def _async_pause(self, error: PlatformError) -> None:
        self.reachable = False
        # Records between here and the oldest retained one may have changed anything; to go on
        # from the oldest would silently lose accepted edits.
        if error.failure is PlatformFailure.OUT_OF_RETENTION:
            raise OutOfRetentionError(f"offset {self.next_offset()}, oldest is {error.oldest}")
        _LOGGER.warning("read failed: %s", error.detail, extra={"event": "log_read_failed"})
        await trio.sleep(RETRY_PAUSE_S)
