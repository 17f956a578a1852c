"""Small processes own partitions only while there are too few larger ones."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
import trio
import trio.testing
from result import Err, Ok, Result

from heatherkeel.ownership import reserve
from heatherkeel.ownership.const import MIN_OWNER_CAPACITY, RESERVE_CHECK_MS, WORK_TOPIC
from heatherkeel.ownership.holders import HolderCache
from heatherkeel.ownership.member import (
    ExclusionReason,
    GroupMember,
    format_member_name,
    parse_member_name,
)
from heatherkeel.ownership.partition_ownership import OwnershipChange
from heatherkeel.ownership.reserve import ReserveWatch
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.store import StoreClient
from heatherkeel.platform.store_answers import PartitionHolder

PARTITIONS = 6


class FakeStore(StoreClient):
    """A store whose list of owners a test sets."""

    def __init__(self) -> None:
        self.capacities: list[int] | None = []
        """The processor of each partition's owner; None while the store is unavailable."""
        self.left = 0

    async def async_leave(self, **_: object) -> Ok[None]:
        """Count the call."""
        self.left += 1
        return Ok(None)

    async def async_list_holders(self, **_: object) -> Result[list[PartitionHolder], CallError]:
        """List the owner of each partition that has one."""
        if self.capacities is None:
            return Err(CallError(failure=Failure.UNKNOWN))
        return Ok(
            [
                PartitionHolder(
                    topic=WORK_TOPIC,
                    partition=number,
                    member=format_member_name(
                        f"10.0.0.{number}:1", capacity=capacity, incarnation="a-0"
                    ),
                )
                for number, capacity in enumerate(self.capacities)
            ]
        )


class SmallProcess:
    """A process with half a core."""

    def __init__(self, *, capacity: int = 516) -> None:
        self.store = FakeStore()
        self.member = GroupMember(
            store=self.store, address="10.0.9.9:1", incarnation="a", on_change=self.async_change
        )
        self.watch = ReserveWatch(
            member=self.member,
            holders=HolderCache(store=self.store),
            capacity=capacity,
            partitions=PARTITIONS,
        )

    async def async_change(self, change: OwnershipChange) -> None:
        """Ignore a change."""

    def run_for(self, s: float) -> None:
        """Run the checks for some time."""

        async def async_run() -> None:
            with trio.move_on_after(s):
                await self.watch.async_run()

        trio.run(async_run)


@pytest.fixture(autouse=True)
def _fast(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Run ten times as fast, with the same number of checks."""
    for name in (
        "RESERVE_CHECK_MS",
        "RESERVE_RECHECK_MS",
        "JOIN_AFTER_MS",
        "LEAVE_AFTER_MS",
    ):
        monkeypatch.setattr(reserve, name, getattr(reserve, name) // 10)
    yield


def test_small_process_stays_out_while_larger_ones_own_everything() -> None:
    """The platform assigns partitions evenly to all members; small owners would delay jobs."""
    small = SmallProcess()
    small.store.capacities = [2150, 2150, 2150, 2150, 2150, 2150]
    small.run_for(1.0)
    assert small.member.is_paused


def test_small_process_joins_when_partitions_have_no_owner() -> None:
    small = SmallProcess()
    small.store.capacities = [2150, 2150, 2150]
    small.run_for(1.0)
    assert not small.member.is_paused


def test_small_process_joins_when_all_large_ones_are_lost() -> None:
    small = SmallProcess()
    small.store.capacities = []
    small.run_for(1.0)
    assert not small.member.is_paused


def test_one_check_during_a_handover_is_not_enough() -> None:
    small = SmallProcess()
    small.store.capacities = []
    small.run_for(RESERVE_CHECK_MS / 10_000 + 0.04)
    assert small.member.is_paused


def test_nothing_changes_while_the_store_is_unavailable() -> None:
    """The cached list doesn't say who owns the partitions now."""
    small = SmallProcess()
    small.store.capacities = None
    small.run_for(1.0)
    assert small.member.is_paused


def test_small_process_leaves_once_larger_ones_are_enough() -> None:
    small = SmallProcess()
    small.store.capacities = []
    small.run_for(1.0)
    small.store.capacities = [2150, 2150, 2150, 1070, 1070, 516]
    small.run_for(2.0)
    assert small.member.excluded_for == {ExclusionReason.RESERVE}
    assert small.store.left == 1


def test_large_process_never_stays_out() -> None:
    large = SmallProcess(capacity=MIN_OWNER_CAPACITY)
    large.store.capacities = [2150, 2150, 2150, 2150, 2150, 2150]
    large.run_for(0.5)
    assert not large.member.is_paused


def test_member_that_stays_out_sends_nothing_to_the_store() -> None:
    """An excluded member must wait for `resume`, not poll whether it may join."""
    small = SmallProcess()
    joined: list[float] = []

    async def async_join(**_: object) -> Err[CallError]:
        joined.append(trio.current_time())
        return Err(CallError(failure=Failure.REFUSED))

    async def async_run() -> None:
        small.store.async_join = async_join  # type: ignore[method-assign]
        async with trio.open_nursery() as nursery:
            small.member.start(nursery)
            await trio.testing.wait_all_tasks_blocked()
            assert not joined
            small.member.resume(ExclusionReason.RESERVE)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()

    trio.run(async_run, clock=trio.testing.MockClock())
    assert len(joined) == 1


def test_member_name_contains_address_and_capacity() -> None:
    name = format_member_name("10.0.0.1:7060", capacity=2151, incarnation="ab-3")
    assert parse_member_name(name) == ("10.0.0.1:7060", 2151)
    assert parse_member_name("10.0.0.1:7060") == ("10.0.0.1:7060", 0)
