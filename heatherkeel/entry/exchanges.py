"""Delivers the effects of each request to the task that serves it."""

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
    """One request in progress, with a queue of its pending effects."""

    def __init__(self, *, request_id: str) -> None:
        self.request_id = request_id
        self.pending: deque[RequestEffect] = deque()
        self.has_pending = trio.Event()

    def add_effect(self, effect: RequestEffect) -> None:
        """Queue an effect; it may result from another task's event."""
        self.pending.append(effect)
        self.has_pending.set()

    async def async_next(self) -> RequestEffect:
        """Wait for the next effect and return it."""
        while not self.pending:
            self.has_pending = trio.Event()
            await self.has_pending.wait()
        return self.pending.popleft()


class Exchanges:
    """All requests in progress, by id."""

    def __init__(self, *, node: Node) -> None:
        self.by_id: dict[str, Exchange] = {}
        self.request_numbers = count(1)
        subscriber: Callable[[Any], None] = self._deliver
        for effect_type in REQUEST_EFFECTS:
            node.subscribe(effect_type, subscriber)

    def open(self) -> Exchange:
        """Return a new exchange with an id that is unique in this process."""
        exchange = Exchange(request_id=str(next(self.request_numbers)))
        self.by_id[exchange.request_id] = exchange
        return exchange

    def close(self, exchange: Exchange) -> None:
        """Remove an exchange after its final response."""
        del self.by_id[exchange.request_id]

    def _deliver(self, effect: RequestEffect) -> None:
        exchange = self.by_id.get(effect.request_id)
        if exchange is not None:
            exchange.add_effect(effect)
