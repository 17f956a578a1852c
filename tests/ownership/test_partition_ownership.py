"""A process counts a partition as its own only while no other can own it."""

from __future__ import annotations

from heatherkeel.ownership.const import TTL_MS, WORK_TOPIC
from heatherkeel.ownership.partition_ownership import PartitionOwnership
from heatherkeel.platform.store_answers import GroupAssignment


def assignment(generation: int, *partitions: int) -> GroupAssignment:
    """Return what the platform assigns to this process."""
    return GroupAssignment(generation=generation, partitions={WORK_TOPIC: set(partitions)})


def test_partition_is_gained_with_the_generation_that_assigned_it() -> None:
    ownership = PartitionOwnership(topic=WORK_TOPIC)
    assert ownership.apply_renewal(assignment(4, 1, 2), sent_ms=0, now_ms=5).gained == {1: 4, 2: 4}
    assert ownership.apply_renewal(assignment(6, 2, 3), sent_ms=500, now_ms=505).gained == {3: 6}
    assert ownership.tokens == {2: 4, 3: 6}


def test_partition_that_is_no_longer_assigned_is_lost() -> None:
    ownership = PartitionOwnership(topic=WORK_TOPIC)
    ownership.apply_renewal(assignment(4, 1, 2), sent_ms=0, now_ms=5)
    assert ownership.apply_renewal(assignment(5, 2), sent_ms=500, now_ms=505).lost == {1}


def test_membership_is_valid_from_the_sending_of_its_renewal() -> None:
    """A slow answer must not extend the membership beyond what the platform counts."""
    ownership = PartitionOwnership(topic=WORK_TOPIC)
    ownership.apply_renewal(assignment(4, 1), sent_ms=0, now_ms=1000)
    assert ownership.is_valid(TTL_MS - 1)
    assert not ownership.is_valid(TTL_MS)


def test_partition_that_others_may_have_owned_is_gained_anew() -> None:
    """Guards against repeating another owner's work after a freeze, with outdated state."""
    ownership = PartitionOwnership(topic=WORK_TOPIC)
    ownership.apply_renewal(assignment(4, 1), sent_ms=0, now_ms=5)
    change = ownership.apply_renewal(assignment(6, 1), sent_ms=9000, now_ms=9005)
    assert change.lost == {1}
    assert change.gained == {1: 6}


def test_late_renewal_in_the_same_generation_keeps_all_partitions() -> None:
    ownership = PartitionOwnership(topic=WORK_TOPIC)
    ownership.apply_renewal(assignment(4, 1), sent_ms=0, now_ms=5)
    change = ownership.apply_renewal(assignment(4, 1), sent_ms=9000, now_ms=9005)
    assert not change.lost
    assert not change.gained
    assert ownership.tokens == {1: 4}
