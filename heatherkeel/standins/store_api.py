"""The platform's store as its callers see it: a log of topics, with faults."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import msgspec
import trio

from heatherkeel.helpers.asgi import Request

from .faults import Faults
from .keyed_log import Answer, KeyedLog

LOOK_S: Final = 0.01
"""Pause between two looks at what has changed, in seconds."""


@dataclass(kw_only=True, slots=True)
class StoreApi:
    """Answers calls to the store, at its address and at a second one."""

    log: KeyedLog
    faults: Faults

    async def async_handle(self, request: Request, body: bytes) -> Answer:
        """Answer one call."""
        if self.faults.store_silent:
            await trio.sleep_forever()
        if self.faults.store_refuses:
            return Answer(status=503)
        match request.path.rsplit("/", 1)[-1]:
            case "log-append":
                place = (request.query["topic"], int(request.query["part"]))
                if place in self.faults.down_partitions:
                    return Answer(status=503)
                await trio.sleep(self.faults.append_s)
                answer = self.log.append(request.query, body)
                if self.faults.lose_appends:
                    self.faults.lose_appends -= 1
                    await trio.sleep_forever()
                return answer
            case "log-read":
                return await self._async_read(request.query)
            case "log-newest":
                return self.log.read_newest(request.query)
            case "log-join":
                return self.log.join(msgspec.json.decode(body))
            case "log-leave":
                return self.log.leave(msgspec.json.decode(body))
            case "log-owners":
                return self.log.list_holders(request.query)
        return Answer(status=404)

    async def async_handle_side(self, request: Request, body: bytes) -> Answer:
        """Answer one call that came to the second address."""
        if self._is_side_silent(request):
            await trio.sleep_forever()
        if self.faults.side_refuses:
            return Answer(status=503)
        answer = await self.async_handle(request, body)
        if self._is_side_silent(request):
            await trio.sleep_forever()
        return answer

    def _is_side_silent(self, request: Request) -> bool:
        return (
            self.faults.side_silent or request.query.get("topic") in self.faults.side_silent_topics
        )

    async def _async_read(self, query: dict[str, str]) -> Answer:
        with trio.move_on_after(int(query.get("waitMs", "0")) / 1000):
            while True:
                answer = self.log.read(query)
                if answer is not None:
                    return answer
                await trio.sleep(LOOK_S)
        return self.log.read(query | {"waitMs": "0"}) or Answer(status=503)
