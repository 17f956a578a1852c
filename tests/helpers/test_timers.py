"""The timer service: an idle subscription rests, and is called at once when it is woken."""

from __future__ import annotations

import trio
import trio.testing

from heatherkeel.helpers.timers import TimerService


def test_an_idle_subscription_rests_until_it_is_woken() -> None:
    # Nothing drains, so nobody looks for drains 20 times a second. Then one starts: it must be
    # looked at now, and at the short interval until it is over.
    calls: list[float] = []
    idle = [True]

    async def note() -> None:
        calls.append(round(trio.current_time(), 3))

    async def async_main() -> None:
        timers = TimerService()
        timers.subscribe(
            name="drains",
            interval_ms=50,
            callback=note,
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
