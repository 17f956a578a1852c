"""What a process may believe that it holds."""

from __future__ import annotations

from heatherkeel.ownership.const import TTL_MS, WORK_TOPIC
from heatherkeel.ownership.tenure import Tenure
from heatherkeel.platform.store_answers import Share


def share(generation: int, *partitions: int) -> Share:
    """Return what the platform deals to this process."""
    return Share(generation=generation, partitions={WORK_TOPIC: set(partitions)})


def test_partition_is_gained_under_the_generation_that_dealt_it() -> None:
    tenure = Tenure(topic=WORK_TOPIC)
    assert tenure.take(share(4, 1, 2), sent_ms=0, now_ms=5).gained == {1: 4, 2: 4}
    assert tenure.take(share(6, 2, 3), sent_ms=500, now_ms=505).gained == {3: 6}
    assert tenure.tokens == {2: 4, 3: 6}


def test_partition_that_is_listed_no_more_is_lost() -> None:
    tenure = Tenure(topic=WORK_TOPIC)
    tenure.take(share(4, 1, 2), sent_ms=0, now_ms=5)
    assert tenure.take(share(5, 2), sent_ms=500, now_ms=505).lost == {1}


def test_membership_counts_from_when_its_renewal_was_sent() -> None:
    """The answer to a renewal takes a second, for which the platform's own clock has run."""
    tenure = Tenure(topic=WORK_TOPIC)
    tenure.take(share(4, 1), sent_ms=0, now_ms=1000)
    assert tenure.is_valid(TTL_MS - 1)
    assert not tenure.is_valid(TTL_MS)


def test_partition_held_by_others_in_between_is_gained_anew() -> None:
    """A process is frozen beyond its membership, and its partition goes to another and back.

    Under its old token it would go on from what it knew, and the other's work would be done
    twice. The generation tells that something changed, so it starts from the store.
    """
    tenure = Tenure(topic=WORK_TOPIC)
    tenure.take(share(4, 1), sent_ms=0, now_ms=5)
    change = tenure.take(share(6, 1), sent_ms=9000, now_ms=9005)
    assert change.lost == {1}
    assert change.gained == {1: 6}


def test_late_renewal_without_any_change_keeps_what_was_held() -> None:
    tenure = Tenure(topic=WORK_TOPIC)
    tenure.take(share(4, 1), sent_ms=0, now_ms=5)
    change = tenure.take(share(4, 1), sent_ms=9000, now_ms=9005)
    assert not change.lost
    assert not change.gained
    assert tenure.tokens == {1: 4}
