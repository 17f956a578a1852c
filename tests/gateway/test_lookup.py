"""Tests of queue lengths over several partitions."""

from __future__ import annotations

import trio
from result import Err, Ok, Result

from heatherkeel.gateway.lookup import Lookup
from heatherkeel.ownership.holders import HolderCache
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.store import StoreClient
from heatherkeel.platform.store_answers import NewestRecords
from heatherkeel.platform.transfer import Transfer
from heatherkeel.questions.links import QuestionLinks
from heatherkeel.questions.messages import Answer, NotOwner, Question, QueueAnswer


class FakeStore(StoreClient):
    """An empty store with some partitions down."""

    def __init__(self, *, down: set[int]) -> None:
        self.down = down

    def is_slow(self) -> bool:
        """Return that it answers in the usual time."""
        return False

    async def async_read_all_newest(
        self, topic: str, partition: int, *, transfer: Transfer | None = None
    ) -> Result[NewestRecords, CallError]:
        """Read an empty partition."""
        if partition in self.down:
            return Err(CallError(failure=Failure.REFUSED, status=503))
        return Ok(NewestRecords(end=0, records=[], has_more=False))


class FakeHolderCache(HolderCache):
    """An owner per partition, whose address contains the partition's number."""

    async def async_find(self, partition: int, *, failed_address: str = "") -> str:
        """Return the owner's address."""
        return f"owner-{partition}"


class FakeLinks(QuestionLinks):
    """Owners with a count of pending jobs; partitions without a count have no owner."""

    def __init__(self, pending: dict[int, int]) -> None:
        self.pending = pending

    async def async_ask(
        self, address: str, question: Question, *, timeout_s: float = 0.5
    ) -> Answer | None:
        """Return the answer of a partition's owner."""
        pending = self.pending.get(question.partition)
        return NotOwner() if pending is None else QueueAnswer(pending=pending)


def count(pending: dict[int, int], *, down: set[int] | None = None) -> int | None:
    """Return the length of a queue with three partitions."""
    store = FakeStore(down=down or set())
    lookup = Lookup(store=store, holders=FakeHolderCache(store=store), links=FakeLinks(pending))
    return trio.run(lookup.async_count_pending, (0, 1, 2), "quotes")


def test_all_partitions_of_a_queue_are_added_up() -> None:
    assert count({0: 3, 1: 0, 2: 4}) == 7


def test_jobs_are_counted_in_the_store_if_the_owner_is_gone() -> None:
    """While a partition has no owner, its jobs are counted in the store."""
    assert count({0: 3, 2: 4}) == 7


def test_partial_length_is_never_returned() -> None:
    """A partial sum would be too low, and an autoscaler would remove machines."""
    assert count({0: 3, 2: 4}, down={1}) is None
