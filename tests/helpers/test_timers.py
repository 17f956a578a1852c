"""Tests of the timer service."""

from __future__ import annotations

import trio
import trio.testing

from heatherkeel.helpers.timers import TimerService


def test_idle_subscription_is_called_when_woken() -> None:
    # Waking an idle subscription calls it immediately, and then at the short interval.
    calls: list[float] = []
    idle = [True]

    async def record_call() -> None:
        calls.append(round(trio.current_time(), 3))

    async def async_main() -> None:
        timers = TimerService()
        timers.subscribe(
            name="drains",
            interval_ms=50,
            callback=record_call,
            idle_interval_ms=500,
            is_idle=lambda: idle[0],
        )
        async with trio.open_nursery() as nursery:
            timers.start(nursery)
            await trio.sleep(0.6)
            idle[0] = False
            timers.wake("drains")
            await trio.sleep(0.12)
            idle[0] = True
            await trio.sleep(0.6)
            nursery.cancel_scope.cancel()

    trio.run(async_main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert calls == [0.0, 0.5, 0.6, 0.65, 0.7, 0.75, 1.25]
