"""An isolated process gives up its partitions and joins again later."""

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
from heatherkeel.ownership.holders import HolderCache
from heatherkeel.ownership.isolation import IsolationWatch
from heatherkeel.ownership.member import ExclusionReason, GroupMember
from heatherkeel.ownership.partition_ownership import OwnershipChange
from heatherkeel.platform.store import StoreClient
from heatherkeel.platform.store_answers import GroupAssignment, PartitionHolder


class FakeStore(StoreClient):
    """A store with some other members, which counts leaves."""

    def __init__(self, *, others: int) -> None:
        self.others = others
        self.others_until_s = math.inf
        """Until when the others are listed, on the monotonic clock."""
        self.left = 0

    async def async_join(self, **_: object) -> Ok[GroupAssignment]:
        """Assign one partition."""
        return Ok(GroupAssignment(generation=3, partitions={WORK_TOPIC: {1}}))

    async def async_leave(self, **_: object) -> Ok[None]:
        """Count the call."""
        self.left += 1
        return Ok(None)

    async def async_list_holders(self, **_: object) -> Ok[list[PartitionHolder]]:
        """List the others."""
        return Ok(
            [
                PartitionHolder(topic=WORK_TOPIC, partition=2 + n, member=f"10.0.0.{n}:1/x")
                for n in range(self.others)
                if time.monotonic() < self.others_until_s
            ]
        )


class IsolationScene:
    """A process whose peers answer or not; records the changes of ownership."""

    def __init__(self, *, others: int) -> None:
        self.store = FakeStore(others=others)
        self.changes: list[OwnershipChange] = []
        self.is_reachable = False
        self.member = GroupMember(
            store=self.store, address="10.0.0.99:1", incarnation="a", on_change=self.async_change
        )
        self.watch = IsolationWatch(
            member=self.member,
            holders=HolderCache(store=self.store),
            async_reach=self.async_reach,
        )

    async def async_change(self, change: OwnershipChange) -> None:
        """Record a change."""
        self.changes.append(change)

    async def async_reach(self, address: str) -> bool:
        """Return whether a peer answers."""
        await trio.sleep(0.05)
        return self.is_reachable


async def async_run_for(scene: IsolationScene, ms: int) -> None:
    """Run a process for some time; the code reads the real clock, so this waits."""
    with trio.move_on_after(ms / 1000):
        async with trio.open_nursery() as nursery:
            scene.member.start(nursery)
            nursery.start_soon(scene.watch.async_run)


def test_isolated_process_gives_up_its_partitions() -> None:
    """Guards against an owner that reaches the store and no other process, and assigns nothing."""
    scene = IsolationScene(others=2)
    trio.run(async_run_for, scene, ISOLATED_AFTER_MS + 2 * PEER_CHECK_INTERVAL_MS)
    assert scene.store.left == 1
    assert scene.changes[-1].lost == {1}
    assert scene.member.is_paused


def test_only_member_of_the_group_stays() -> None:
    scene = IsolationScene(others=0)
    trio.run(async_run_for, scene, ISOLATED_AFTER_MS + 2 * PEER_CHECK_INTERVAL_MS)
    assert scene.store.left == 0


def test_process_joins_again_once_it_reaches_another() -> None:
    scene = IsolationScene(others=1)
    scene.member.excluded_for.add(ExclusionReason.ISOLATED)
    scene.is_reachable = True
    trio.run(async_run_for, scene, 3 * PEER_CHECK_INTERVAL_MS)
    assert not scene.member.is_paused
    assert scene.changes[-1].gained == {1: 3}


def test_process_whose_only_peer_has_died_keeps_its_partitions() -> None:
    """Guards against giving up all partitions while a killed peer is still listed."""
    scene = IsolationScene(others=1)
    scene.store.others_until_s = time.monotonic() + TTL_MS / 1000
    trio.run(async_run_for, scene, ISOLATED_AFTER_MS + 3 * PEER_CHECK_INTERVAL_MS)
    assert scene.store.left == 0
