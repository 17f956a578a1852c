"""The platform's store as its callers see it: a log of topics, with faults."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final

import msgspec
import trio

from heatherkeel.helpers.asgi import Request

from .faults import Faults
from .keyed_log import Answer, KeyedLog

LOOK_S: Final = 0.01
"""Pause between two looks at what has changed, in seconds."""
APPEND: Final = "log-append"
READS: Final = ("log-read", "log-newest")


@dataclass(kw_only=True, slots=True)
class StoreApi:
    """Answers calls to the store, at its address and at a second one."""

    log: KeyedLog
    faults: Faults
    appends: int = 0
    """Calls that appended or were to append."""
    reads: int = 0
    """Calls that read or were to read."""

    async def async_handle(self, request: Request, body: bytes) -> Answer:
        """Answer one call."""
        name = _call_name(request)
        self.appends += name == APPEND
        self.reads += name in READS
        if self.faults.store_silent:
            await trio.sleep_forever()
        if self.faults.store_refuses:
            return Answer(status=503)
        answer = await self._async_carry_out(name, request, body)
        await trio.sleep(self.faults.store_delay_s)
        if self.faults.cut_answers:
            self.faults.cut_answers -= 1
            return _cut(answer, len(answer.content()) // 2)
        return _cut(answer, self.faults.cut_at_bytes or None)

    async def async_handle_side(self, request: Request, body: bytes) -> Answer:
        """Answer one call that came to the second address."""
        if self._is_side_silent(request):
            await trio.sleep_forever()
        if self.faults.side_refuses:
            return Answer(status=503)
        answer = await self.async_handle(request, body)
        if self._is_side_silent(request):
            await trio.sleep_forever()
        if _call_name(request) == APPEND and self.faults.side_lose_appends:
            self.faults.side_lose_appends -= 1
            await trio.sleep_forever()
        await trio.sleep(self.faults.side_delay_s)
        if self.faults.side_cut_answers:
            self.faults.side_cut_answers -= 1
            return _cut(answer, len(answer.content()) // 2)
        return _cut(answer, self.faults.side_cut_at_bytes or answer.cut_at)

    async def _async_carry_out(self, name: str, request: Request, body: bytes) -> Answer:
        match name:
            case "log-append":
                return await self._async_append(request.query, body)
            case "log-read":
                return await self._async_read(request.query)
            case "log-newest":
                return self.log.read_newest(request.query, page_bytes=self.faults.page_bytes)
            case "log-join":
                return self.log.join(msgspec.json.decode(body))
            case "log-leave":
                return self.log.leave(msgspec.json.decode(body))
            case "log-owners":
                return self.log.list_holders(request.query)
        return Answer(status=404)

    async def _async_append(self, query: dict[str, str], body: bytes) -> Answer:
        if (query["topic"], int(query["part"])) in self.faults.down_partitions:
            return Answer(status=503)
        await trio.sleep(self.faults.append_s)
        answer = self.log.append(query, body)
        if self.faults.lose_appends:
            self.faults.lose_appends -= 1
            await trio.sleep_forever()
        return answer

    def _is_side_silent(self, request: Request) -> bool:
        return (
            self.faults.side_silent or request.query.get("topic") in self.faults.side_silent_topics
        )

    async def _async_read(self, query: dict[str, str]) -> Answer:
        page_bytes = self.faults.page_bytes
        with trio.move_on_after(int(query.get("waitMs", "0")) / 1000):
            while True:
                answer = self.log.read(query, page_bytes=page_bytes)
                if answer is not None:
                    return answer
                await trio.sleep(LOOK_S)
        late = self.log.read(query | {"waitMs": "0"}, page_bytes=page_bytes)
        return late or Answer(status=503)


def _call_name(request: Request) -> str:
    return request.path.rsplit("/", 1)[-1]


def _cut(answer: Answer, size: int | None) -> Answer:
    """Return an answer that breaks off at a size, if it is longer."""
    return replace(answer, cut_at=size)
