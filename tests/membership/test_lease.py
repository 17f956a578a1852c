"""The local routing lease ends before it ends in the fold, despite delays, loss and pauses."""

from __future__ import annotations

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

import heatherkeel.subjects  # noqa: F401
from heatherkeel.core.node import LocalState, NodeState, reduce
from heatherkeel.helpers.timers import TimerService
from heatherkeel.membership import pause
from heatherkeel.membership.const import MIN_PAUSE_MS, PAUSE_CHECK_INTERVAL_MS
from heatherkeel.membership.events import ClockGap, LeaseGranted, LeaseRefused, LeaseWanted
from heatherkeel.membership.pause import PauseDetector
from tests.fleetlog.fake import run


def make_node() -> NodeState:
    return NodeState(local=LocalState(instance="e-1", zone="a", incarnation="1"))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    lease_ms=st.integers(100, 60_000),
    trips=st.lists(st.tuples(st.integers(0, 9_000), st.integers(0, 9_000)), max_size=6),
)
def test_the_lease_ends_locally_before_it_ends_in_the_fold(
    lease_ms: int, trips: list[tuple[int, int]]
) -> None:
    # Renewals and their answers are delayed. In every case this process must have stopped sending
    # when the fold allows a target to be stopped.
    node = make_node()
    now_ms = 0
    for to_log_ms, back_ms in trips:
        sent_ms, appended_ms = now_ms, now_ms + to_log_ms
        now_ms = appended_ms + back_ms
        reduce(node, LeaseGranted(now_ms=now_ms, sent_ms=sent_ms, lease_ms=lease_ms))
        assert node.local.lease.valid_until_ms < appended_ms + lease_ms


def test_a_late_answer_never_shortens_a_newer_lease() -> None:
    node = make_node()
    reduce(node, LeaseGranted(now_ms=20, sent_ms=10, lease_ms=100))
    reduce(node, LeaseGranted(now_ms=30, sent_ms=0, lease_ms=100))
    assert node.local.lease.valid_until_ms == 100


def test_after_a_pause_only_a_new_renewal_counts() -> None:
    # A process is paused while a renewal is in transit. The answer must not extend the lease, as
    # drains that were decided during the pause are not folded here.
    node = make_node()
    reduce(node, LeaseGranted(now_ms=0, sent_ms=0, lease_ms=60_000))
    assert reduce(node, ClockGap(now_ms=9_000, gap_ms=8_000)) == [LeaseWanted()]
    reduce(node, LeaseGranted(now_ms=9_001, sent_ms=500, lease_ms=60_000))
    assert node.local.lease.valid_until_ms == 0
    reduce(node, LeaseGranted(now_ms=9_100, sent_ms=9_050, lease_ms=60_000))
    assert node.local.lease.valid_until_ms == 63_050


def test_a_refused_renewal_ends_the_lease() -> None:
    node = make_node()
    reduce(node, LeaseGranted(now_ms=0, sent_ms=0, lease_ms=60_000))
    reduce(node, LeaseRefused(now_ms=1))
    assert node.local.lease.valid_until_ms == 0


def test_a_pause_is_detected_and_a_busy_loop_is_not(monkeypatch: pytest.MonkeyPatch) -> None:
    # The process is paused between two calls of its timer, while the monotonic clock goes on.
    now = [0]
    monkeypatch.setattr(pause, "monotonic_ms", lambda: now[0])
    gaps: list[ClockGap] = []

    async def scenario() -> None:
        detector = PauseDetector(handle_event=gaps.append)
        for late_ms in (0, MIN_PAUSE_MS - 1, 5_000, 0):
            now[0] += PAUSE_CHECK_INTERVAL_MS + late_ms
            await detector.async_check()

    run(scenario)
    assert [gap.gap_ms for gap in gaps] == [5_000]


def test_a_woken_timer_is_called_at_once_and_never_concurrently() -> None:
    calls: list[float] = []

    async def async_call() -> None:
        calls.append(trio.current_time())
        await trio.sleep(1)

    async def scenario() -> None:
        timers = TimerService()
        timers.subscribe(name="lease", interval_ms=10_000, callback=async_call)
        with trio.move_on_after(5):
            async with trio.open_nursery() as nursery:
                timers.start(nursery)
                await trio.sleep(0.5)
                timers.wake("lease")
                await trio.sleep(2)
                timers.wake("lease")
                timers.wake("unknown")

    start: list[float] = []

    async def timed() -> None:
        start.append(trio.current_time())
        await scenario()

    run(timed)
    assert [round(call - start[0], 1) for call in calls] == [0, 1, 2.5]
