"""Tests of when a snapshot is due and which instances act on it."""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from heatherkeel.core.state import FleetState
from heatherkeel.membership.models import EntryInstance
from heatherkeel.snapshots.const import JITTER_MS, MAX_ENDORSERS
from heatherkeel.snapshots.models import MarkedSnapshot
from heatherkeel.snapshots.schedule import SnapshotPolicy, endorsers, is_due, jitter_ms

POLICY: Final = SnapshotPolicy(interval_records=100, interval_ms=60_000, overtake_ms=5_000)
WHOLE: Final = MarkedSnapshot(
    offset=100, digest="", instance="e-1", incarnation="1", at_ms=1_000, whole=True
)


def state_at(next_offset: int, *, newest: MarkedSnapshot | None = WHOLE) -> FleetState:
    state = FleetState(next_offset=next_offset)
    state.snapshots.newest = newest
    state.snapshots.newest_whole = WHOLE if newest is not None else None
    return state


def due(state: FleetState, *, oldest: int = 0, now_ms: int = 1_000) -> bool:
    return is_due(state, policy=POLICY, oldest=oldest, now_ms=now_ms)


def test_due_by_records_by_time_and_by_retention() -> None:
    assert not due(state_at(99, newest=None)) and due(state_at(100, newest=None))
    assert due(state_at(5, newest=None), oldest=1)
    assert not due(state_at(199)) and due(state_at(200))
    assert due(state_at(110), now_ms=61_000) and not due(state_at(102), now_ms=61_000)
    # Retention is shorter than expected: half of the retained records precede the snapshot.
    assert due(state_at(190), oldest=50) and not due(state_at(190), oldest=9)


def test_author_is_replaced_after_the_overtake_time() -> None:
    # An author fails between its mark and its last chunk without reporting it. Others wait for
    # `overtake_ms` and then mark a new snapshot.
    begun = replace(WHOLE, offset=300, at_ms=10_000, whole=False)
    assert not due(state_at(400, newest=begun), now_ms=14_999)
    assert due(state_at(400, newest=begun), now_ms=15_000)


def joined(*, incarnation: str = "1", lease_until_ms: int) -> EntryInstance:
    return EntryInstance(
        instance="e-1",
        incarnation=incarnation,
        zone="a",
        peer_address="",
        lease_ms=2_000,
        lease_until_ms=lease_until_ms,
    )


def test_author_with_expired_lease_is_replaced_at_once() -> None:
    # An author is killed right after its mark. Waiting for all of `overtake_ms` could lose the
    # records after the last snapshot to retention, and no process could start.
    begun = replace(WHOLE, offset=300, at_ms=10_000, whole=False)
    state = state_at(400, newest=begun)
    state.membership.entries["e-1"] = joined(lease_until_ms=12_000)
    assert not due(state, now_ms=11_999) and due(state, now_ms=12_000)


def test_restarted_author_is_replaced_at_once() -> None:
    # The killed author restarts under the same id, but has lost the snapshot that it was writing.
    begun = replace(WHOLE, offset=300, at_ms=10_000, whole=False)
    state = state_at(400, newest=begun)
    state.membership.entries["e-1"] = joined(incarnation="2", lease_until_ms=20_000)
    assert due(state, now_ms=10_001)


def test_author_that_has_not_joined_keeps_the_overtake_time() -> None:
    # A process that has just started may mark before its first lease; the missing lease must not
    # count as an expired one.
    begun = replace(WHOLE, offset=300, at_ms=10_000, whole=False)
    assert not due(state_at(400, newest=begun), now_ms=14_999)


def test_entry_instances_are_spread_and_few_endorse() -> None:
    # 200 entry instances find at the same record that a snapshot is due. Their delays differ, so
    # that most of them see the first mark and send none.
    names = [f"e-{number}" for number in range(200)]
    times = {jitter_ms(name, 7) for name in names}
    assert len(times) > 150 and max(times) < JITTER_MS
    assert jitter_ms("e-1", 7) != jitter_ms("e-1", 8)
    state = FleetState()
    for name in names:
        state.membership.entries[name] = EntryInstance(
            instance=name, incarnation="1", zone="a", peer_address="", lease_ms=1, lease_until_ms=1
        )
    order = endorsers(state, author="e-5", offset=7)
    assert len(order) == MAX_ENDORSERS + 1 and order[-1] == "e-5" and "e-5" not in order[:-1]
    assert order != endorsers(state, author="e-5", offset=8)
