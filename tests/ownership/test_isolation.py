"""A process that no other can reach gives its partitions up, and takes part again later."""

from __future__ import annotations

import math
import time

import trio
import trio.testing
from result import Ok

from heatherkeel.ownership.const import (
    ISOLATED_AFTER_MS,
    PEER_CHECK_INTERVAL_MS,
    TTL_MS,
    WORK_TOPIC,
)
from heatherkeel.ownership.holders import Holders
from heatherkeel.ownership.isolation import IsolationWatch
from heatherkeel.ownership.member import GroupMember, StayOut
from heatherkeel.ownership.tenure import Change
from heatherkeel.platform.store import StoreClient
from heatherkeel.platform.store_answers import PartitionHolder, Share


class FakeStore(StoreClient):
    """A store that knows one other member, and counts who leaves."""

    def __init__(self, *, others: int) -> None:
        self.others = others
        self.others_until_s = math.inf
        """Until when the others are listed, on the steady clock."""
        self.left = 0

    async def async_join(self, **_: object) -> Ok[Share]:
        """Deal one partition."""
        return Ok(Share(generation=3, partitions={WORK_TOPIC: {1}}))

    async def async_leave(self, **_: object) -> Ok[None]:
        """Count who leaves."""
        self.left += 1
        return Ok(None)

    async def async_list_holders(self, **_: object) -> Ok[list[PartitionHolder]]:
        """Name the others."""
        return Ok(
            [
                PartitionHolder(topic=WORK_TOPIC, partition=2 + n, member=f"10.0.0.{n}:1/x")
                for n in range(self.others)
                if time.monotonic() < self.others_until_s
            ]
        )


class Isolated:
    """A process whose peers answer or not, with what it gained and lost."""

    def __init__(self, *, others: int) -> None:
        self.store = FakeStore(others=others)
        self.changes: list[Change] = []
        self.is_reachable = False
        self.member = GroupMember(
            store=self.store, address="10.0.0.99:1", incarnation="a", on_change=self.async_change
        )
        self.watch = IsolationWatch(
            member=self.member,
            holders=Holders(store=self.store),
            async_reach=self.async_reach,
        )

    async def async_change(self, change: Change) -> None:
        """Note a change."""
        self.changes.append(change)

    async def async_reach(self, address: str) -> bool:
        """Say whether a peer answers."""
        await trio.sleep(0.05)
        return self.is_reachable


async def async_live(isolated: Isolated, ms: int) -> None:
    """Let time pass for a process; the steady clock is the machine's own, so this waits."""
    with trio.move_on_after(ms / 1000):
        async with trio.open_nursery() as nursery:
            isolated.member.start(nursery)
            nursery.start_soon(isolated.watch.async_run)


def test_process_that_reaches_no_other_gives_its_partitions_up() -> None:
    """An instance is cut off from all others, but not from the store or the workers.

    Its membership stays good, so as the fleet's owner it would see no pool's load, and no pool
    would get a machine for as long as the cut lasts.
    """
    isolated = Isolated(others=2)
    trio.run(async_live, isolated, ISOLATED_AFTER_MS + 2 * PEER_CHECK_INTERVAL_MS)
    assert isolated.store.left == 1
    assert isolated.changes[-1].lost == {1}
    assert isolated.member.is_paused


def test_process_that_is_alone_in_the_group_stays() -> None:
    isolated = Isolated(others=0)
    trio.run(async_live, isolated, ISOLATED_AFTER_MS + 2 * PEER_CHECK_INTERVAL_MS)
    assert isolated.store.left == 0


def test_process_takes_part_again_once_it_reaches_another() -> None:
    isolated = Isolated(others=1)
    isolated.member.out_for.add(StayOut.ISOLATED)
    isolated.is_reachable = True
    trio.run(async_live, isolated, 3 * PEER_CHECK_INTERVAL_MS)
    assert not isolated.member.is_paused
    assert isolated.changes[-1].gained == {1: 3}


def test_process_whose_only_peer_has_died_keeps_its_partitions() -> None:
    """Of two processes one is killed; the list of owners names it while its membership lasts, and
    the survivor's copy of that list for up to two seconds more.

    The survivor reached nobody, took itself for cut off, and gave up all partitions there were.
    """
    isolated = Isolated(others=1)
    isolated.store.others_until_s = time.monotonic() + TTL_MS / 1000
    trio.run(async_live, isolated, ISOLATED_AFTER_MS + 3 * PEER_CHECK_INTERVAL_MS)
    assert isolated.store.left == 0
