"""The fleet's owner keeps the home of a removed queue while jobs of it may be left."""

from __future__ import annotations

import pytest

from heatherkeel.ownership.const import KEEP_REMOVED_MS
from heatherkeel.ownership.partitions import Layout
from heatherkeel.ownership.queue_homes import HomePages
from heatherkeel.platform.operator import Queue
from heatherkeel.pooling.queue_homes import ASK_INTERVAL_MS, QueueHomeKeeper

LAYOUT = Layout(shares={"portal": (0,), "desk": (1,)})
QUEUE = Queue(name="quotes", host="a.example", path_prefix="/q/", service="portal")
MOVED = Queue(name="quotes", host="a.example", path_prefix="/q/", service="desk")
LATER_MS = 1000 + KEEP_REMOVED_MS


@pytest.fixture(name="keeper")
def fixture_keeper() -> QueueHomeKeeper:
    """Return a keeper whose only queue has just been removed."""
    keeper = QueueHomeKeeper(pages=HomePages())
    assert keeper.update([QUEUE], LAYOUT, now_ms=0)
    assert not keeper.update([], LAYOUT, now_ms=1000)
    return keeper


def find_home(keeper: QueueHomeKeeper) -> str | None:
    """Return the home of the queue."""
    return keeper.homes.find_service(MOVED)


def test_nothing_is_asked_about_a_queue_that_was_just_removed(keeper: QueueHomeKeeper) -> None:
    assert not keeper.list_asked(0, now_ms=2000)


def test_home_is_kept_while_a_partition_has_jobs_or_is_silent(keeper: QueueHomeKeeper) -> None:
    """Guards against a home that is dropped before the queue's jobs are."""
    assert not keeper.update([], LAYOUT, now_ms=LATER_MS)
    asked = keeper.list_asked(0, now_ms=LATER_MS)
    assert asked == ["quotes"]
    keeper.record(0, asked=asked, held=[])
    keeper.record(1, asked=asked, held=["quotes"])
    assert not keeper.update([], LAYOUT, now_ms=LATER_MS)
    keeper.update([], LAYOUT, now_ms=LATER_MS + ASK_INTERVAL_MS)
    keeper.record(0, asked=asked, held=[])
    keeper.record(1, asked=asked, held=None)
    assert not keeper.update([], LAYOUT, now_ms=LATER_MS + ASK_INTERVAL_MS)
    assert find_home(keeper) == "portal"


def test_home_is_dropped_once_no_partition_has_jobs(keeper: QueueHomeKeeper) -> None:
    """Guards against a history of queues that grows without end."""
    assert not keeper.update([], LAYOUT, now_ms=LATER_MS)
    for partition in (0, 1):
        asked = keeper.list_asked(partition, now_ms=LATER_MS)
        keeper.record(partition, asked=asked, held=[])
    assert keeper.update([], LAYOUT, now_ms=LATER_MS)
    assert find_home(keeper) is None


def test_answers_of_earlier_rounds_do_not_count(keeper: QueueHomeKeeper) -> None:
    """Guards against a home that is dropped after jobs have come to a partition asked before."""
    keeper.record(0, asked=["quotes"], held=[])
    keeper.update([], LAYOUT, now_ms=LATER_MS + ASK_INTERVAL_MS)
    keeper.record(1, asked=["quotes"], held=[])
    assert not keeper.update([], LAYOUT, now_ms=LATER_MS + ASK_INTERVAL_MS)


def test_queue_that_returns_keeps_its_home(keeper: QueueHomeKeeper) -> None:
    assert not keeper.update([MOVED], LAYOUT, now_ms=LATER_MS)
    assert find_home(keeper) == "portal" and not keeper.removed


def test_unreadable_homes_are_never_replaced() -> None:
    keeper = QueueHomeKeeper(pages=None)
    assert not keeper.update([QUEUE], LAYOUT, now_ms=0)
