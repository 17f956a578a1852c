"""Tests of the ranking of entry instances and of the takeover of shared work."""

from __future__ import annotations

from heatherkeel.core.state import FleetState
from heatherkeel.entry.takeover import TakeoverSchedule, rank_of
from heatherkeel.membership.models import EntryInstance

NAMES = ("entry-a", "entry-b", "entry-c")


def fleet(*, expired: str = "") -> FleetState:
    state = FleetState()
    for name in NAMES:
        state.membership.entries[name] = EntryInstance(
            instance=name,
            incarnation=f"{name}.1",
            zone="a",
            peer_address="127.0.0.1:1",
            lease_ms=10,
            lease_until_ms=0 if name == expired else 100,
        )
    return state


def test_each_entry_instance_has_its_own_rank() -> None:
    ranks = [rank_of(fleet(), name, now_ms=50) for name in NAMES]
    assert sorted(ranks) == [0, 1, 2]


def test_the_next_rank_moves_up_when_a_lease_expires() -> None:
    first, second, third = sorted(NAMES, key=lambda name: rank_of(fleet(), name, now_ms=50))
    assert rank_of(fleet(expired=first), second, now_ms=50) == 0
    assert rank_of(fleet(expired=first), third, now_ms=50) == 1


def test_stalled_work_is_taken_over() -> None:
    # The instance of rank 0 may hold its lease without making progress. Without the takeover the
    # drain would stall.
    schedule = TakeoverSchedule(takeover_ms=1000, retry_ms=500)
    assert schedule.choose(["stop"], rank=1, now_ms=0) == []
    assert schedule.choose(["stop"], rank=1, now_ms=999) == []
    assert schedule.choose(["stop"], rank=1, now_ms=1000) == ["stop"]


def test_work_is_not_repeated_before_its_retry_time() -> None:
    schedule = TakeoverSchedule(takeover_ms=1000, retry_ms=500)
    assert schedule.choose(["stop"], rank=0, now_ms=0) == ["stop"]
    assert schedule.choose(["stop"], rank=0, now_ms=499) == []
    assert schedule.choose(["stop"], rank=0, now_ms=500) == ["stop"]


def test_recurring_work_waits_for_the_takeover_time_again() -> None:
    schedule = TakeoverSchedule(takeover_ms=1000, retry_ms=500)
    schedule.choose(["stop"], rank=1, now_ms=0)
    schedule.choose([], rank=1, now_ms=900)
    assert schedule.choose(["stop"], rank=1, now_ms=1000) == []
