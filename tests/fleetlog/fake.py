"""In-memory platform client with planned failures."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
import trio
import trio.testing
from result import Err, Ok, Result

from heatherkeel.fleetlog.client import PlatformClient
from heatherkeel.fleetlog.errors import PlatformError, PlatformFailure
from heatherkeel.fleetlog.models import Appended, ReadAnswer
from heatherkeel.standins.platform import PlatformStandin

LOST_ANSWER = "lost_answer"
"""The append takes effect, but its answer is lost."""


class FakeClient(PlatformClient):
    """Uses one planned failure per append; reads fail if `readable` is false."""

    def __init__(self) -> None:
        super().__init__(address="127.0.0.1:1", instance="e-1", zone="a", timeout_ms=1000)
        self.platform = PlatformStandin()
        self.plan: list[PlatformFailure | str] = []
        self.readable = True
        self.invalid_data = b"\0never\0"
        self.refused_stream = ""
        self.batches: list[list[bytes]] = []
        self.on_append: Callable[[], Awaitable[None]] | None = None

    async def async_append(
        self, stream: str, records: list[bytes]
    ) -> Result[Appended, PlatformError]:
        await trio.lowlevel.checkpoint()
        self.batches.append(records)
        failure = self.plan.pop(0) if self.plan else None
        if any(self.invalid_data in record for record in records):
            failure = PlatformFailure.INVALID
        if stream == self.refused_stream:
            failure = PlatformFailure.REFUSED
        if isinstance(failure, PlatformFailure):
            return Err(PlatformError(failure=failure))
        first_offset = self.platform.append(stream, records)
        if self.on_append is not None:
            await self.on_append()
        if failure == LOST_ANSWER:
            return Err(PlatformError(failure=PlatformFailure.UNKNOWN))
        return Ok(Appended(first_offset=first_offset, now_ms=self.platform.now_ms()))

    async def async_read(
        self, stream: str, *, offset: int, max_records: int, wait_ms: int
    ) -> Result[ReadAnswer, PlatformError]:
        await trio.lowlevel.checkpoint()
        if not self.readable:
            return Err(PlatformError(failure=PlatformFailure.NOT_SENT))
        answer = self.platform.read(stream, offset, max_records)
        if offset < answer.oldest:
            failure = PlatformFailure.OUT_OF_RETENTION
            return Err(PlatformError(failure=failure, oldest=answer.oldest))
        copied = msgspec.json.encode(answer)
        return Ok(msgspec.json.decode(copied, type=ReadAnswer))


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario whose sleeps take no time."""
    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
