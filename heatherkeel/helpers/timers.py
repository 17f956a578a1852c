"""Timer service that calls its subscribers periodically."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

TimerCallback = Callable[[], Awaitable[None]]
IsIdle = Callable[[], bool]


def never_idle() -> bool:
    """Return False: the subscription is never idle."""
    return False


@dataclass(frozen=True, kw_only=True, slots=True)
class Subscription:
    """A periodic call of `callback`, with `interval_ms` between the end of a call and the next.

    While `is_idle()`, the interval is `idle_interval_ms`, unless `wake` is called.
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
    """Runs subscriptions until their nursery is cancelled."""

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
        """Call `callback` when the service starts, and then every `interval_ms`."""
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
        """Call a subscription immediately instead of at its next interval."""
        if name in self.wakers:
            self.wakers[name].set()

    def start(self, nursery: trio.Nursery) -> None:
        """Start all subscriptions."""
        self.nursery = nursery
        for subscription in self.subscriptions:
            nursery.start_soon(self._async_run, subscription)

    async def _async_run(self, subscription: Subscription) -> None:
        while True:
            waker = self.wakers[subscription.name] = trio.Event()
            await subscription.callback()
            with trio.move_on_after(subscription.pause_s()):
                await waker.wait()
