"""Brings the effects that concern one caller's request to the task that serves it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from itertools import count
from typing import Any, Final

import trio

from heatherkeel.requests.effects import (
    AbortAnswer,
    PassOn,
    Refuse,
    Replay,
    Send,
)

from .node import Node

RequestEffect = Send | PassOn | Refuse | Replay | AbortAnswer
REQUEST_EFFECTS: Final = (Send, PassOn, Refuse, Replay, AbortAnswer)


class Exchange:
    """One request from its arrival to its final answer, with effects not yet carried out."""

    def __init__(self, *, request_id: str) -> None:
        self.request_id = request_id
        self.inbox: deque[RequestEffect] = deque()
        self.arrived = trio.Event()

    def hear(self, effect: RequestEffect) -> None:
        """Take an effect that another task's event may have caused."""
        self.inbox.append(effect)
        self.arrived.set()

    async def async_next(self) -> RequestEffect:
        """Return the next effect, as soon as there is one."""
        while not self.inbox:
            self.arrived = trio.Event()
            await self.arrived.wait()
        return self.inbox.popleft()


class Exchanges:
    """All requests in progress, by id."""

    def __init__(self, *, node: Node) -> None:
        self.by_id: dict[str, Exchange] = {}
        self.numbers = count(1)
        hearer: Callable[[Any], None] = self._hear
        for effect_type in REQUEST_EFFECTS:
            node.subscribe(effect_type, hearer)

    def open(self) -> Exchange:
        """Return an exchange with an id that no other request of this process has."""
        exchange = Exchange(request_id=str(next(self.numbers)))
        self.by_id[exchange.request_id] = exchange
        return exchange

    def close(self, exchange: Exchange) -> None:
        """Forget an exchange that has its final answer."""
        del self.by_id[exchange.request_id]

    def _hear(self, effect: RequestEffect) -> None:
        exchange = self.by_id.get(effect.request_id)
        if exchange is not None:
            exchange.hear(effect)
