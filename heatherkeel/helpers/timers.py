"""The timer service: parts subscribe to it, and no part keeps a clock loop of its own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

TimerCallback = Callable[[], Awaitable[None]]
IsIdle = Callable[[], bool]


def never_idle() -> bool:
    """Say that there is always work."""
    return False


@dataclass(frozen=True, kw_only=True, slots=True)
class Subscription:
    """Calls `callback` every `interval_ms`, the next time only when it has returned.

    While `is_idle`, it is called every `idle_interval_ms` only, or when somebody wakes it.
    """

    name: str
    interval_ms: int
    callback: TimerCallback
    idle_interval_ms: int
    is_idle: IsIdle

    def pause_s(self) -> float:
        """Return the seconds until the next call."""
        return (self.idle_interval_ms if self.is_idle() else self.interval_ms) / 1000


class TimerService:
    """Runs subscriptions until their nursery ends."""

    def __init__(self) -> None:
        self.subscriptions: list[Subscription] = []
        self.wakers: dict[str, trio.Event] = {}
        self.nursery: trio.Nursery | None = None

    def subscribe(
        self,
        *,
        name: str,
        interval_ms: int,
        callback: TimerCallback,
        idle_interval_ms: int = 0,
        is_idle: IsIdle = never_idle,
    ) -> None:
        """Call `callback` at once after the start, and then every `interval_ms`."""
        subscription = Subscription(
            name=name,
            interval_ms=interval_ms,
            callback=callback,
            idle_interval_ms=idle_interval_ms,
            is_idle=is_idle,
        )
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
            with trio.move_on_after(subscription.pause_s()):
                await waker.wait()
