"""The timer service: parts subscribe to it, and no part keeps a clock loop of its own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

TimerCallback = Callable[[], Awaitable[None]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Subscription:
    """Calls `callback` every `interval_ms`, the next time only when it has returned."""

    name: str
    interval_ms: int
    callback: TimerCallback


class TimerService:
    """Runs subscriptions until their nursery ends."""

    def __init__(self) -> None:
        self.subscriptions: list[Subscription] = []
        self.wakers: dict[str, trio.Event] = {}
        self.nursery: trio.Nursery | None = None

    def subscribe(self, *, name: str, interval_ms: int, callback: TimerCallback) -> None:
        """Call `callback` at once after the start, and then every `interval_ms`."""
        subscription = Subscription(name=name, interval_ms=interval_ms, callback=callback)
        self.subscriptions.append(subscription)
        if self.nursery is not None:
            self.nursery.start_soon(self._async_run, subscription)

    def wake(self, name: str) -> None:
        """Call a subscription now instead of at its next time."""
        if name in self.wakers:
            self.wakers[name].set()

    def start(self, nursery: trio.Nursery) -> None:
        """Begin to run all subscriptions."""
        self.nursery = nursery
        for subscription in self.subscriptions:
            nursery.start_soon(self._async_run, subscription)

    async def _async_run(self, subscription: Subscription) -> None:
        while True:
            waker = self.wakers[subscription.name] = trio.Event()
            await subscription.callback()
            with trio.move_on_after(subscription.interval_ms / 1000):
                await waker.wait()
