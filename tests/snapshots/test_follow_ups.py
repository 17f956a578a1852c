"""Tests that a snapshot includes the follow-ups that its own record triggers."""

from __future__ import annotations

from result import Ok

from heatherkeel.core.reducer import fold
from heatherkeel.core.state import canonical_bytes
from heatherkeel.pools.models import InstanceStatus
from heatherkeel.snapshots import codec
from heatherkeel.snapshots.models import SnapshotMark, SnapshotMarked
from tests.fleets import LEASE_MS, small_fleet

from .test_fold import write

LONG_AFTER_MS = 10 * LEASE_MS


def test_a_mark_that_ends_a_wait_by_its_time_is_restored_with_it() -> None:
    # The record that marks a snapshot also lets a lease expire, which ends a drain. A snapshot
    # without that change would make a joining instance diverge from the others.
    log = small_fleet()
    log.must(log.drain("a0"))
    log.must(log.ack("entry-a", "a0"))
    log.must(log.ack("entry-c", "a0"))
    log.now_ms += LONG_AFTER_MS
    log.must(SnapshotMark(instance="entry-a", incarnation="a-1", previous_offset=-1))
    assert log.instance("a0").status is InstanceStatus.QUIESCED
    [marked] = [effect for effect in log.effects if isinstance(effect, SnapshotMarked)]
    restored = codec.restore(marked.state, write(marked)[0])
    assert isinstance(restored, Ok)
    log.must(log.stop("a0"))
    fold(restored.ok_value, log.records[-1])
    assert canonical_bytes(restored.ok_value) == canonical_bytes(log.state)
