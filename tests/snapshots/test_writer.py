"""Tests of snapshot writers that share one log: one snapshot at a time, failed authors replaced."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import msgspec
import pytest
import trio

import heatherkeel.subjects  # noqa: F401
from heatherkeel.core.state import canonical_bytes
from heatherkeel.entry.node import Node
from heatherkeel.membership.models import EntryJoin
from heatherkeel.settings.models import (
    EntrySettings,
    InstanceSettings,
    PlatformSettings,
    SnapshotSettings,
)
from heatherkeel.snapshots import codec
from heatherkeel.snapshots.models import ManifestRecord
from heatherkeel.snapshots.writer import StateDivergedError
from tests.fleetlog.fake import FakeClient, run

SNAPSHOTS = SnapshotSettings(interval_records=3, overtake_ms=5_000, check_interval_ms=50)


def log_now_ms() -> int:
    """Return a log time that follows the scenario's clock."""
    return 1_000_000 + round(trio.current_time() * 1000)


class Fleet:
    """Entry instances on one in-memory platform, each with its own client."""

    def __init__(
        self, names: list[str], *, snapshots: SnapshotSettings = SNAPSHOTS, lease_ms: int = 9_000
    ) -> None:
        self.snapshots = snapshots
        self.lease_ms = lease_ms
        self.clients = {name: FakeClient() for name in names}
        self.platform = self.clients[names[0]].platform
        self.platform.now_ms = log_now_ms  # type: ignore[method-assign]
        self.nodes = {name: self.make_node(name) for name in names}
        self.scopes: dict[str, trio.CancelScope] = {}

    def make_node(self, name: str) -> Node:
        settings = EntrySettings(
            instance=InstanceSettings(id=name, zone="a", zones=["a"]),
            platform=PlatformSettings(address="127.0.0.1:1", batch_interval_ms=1),
            snapshots=self.snapshots,
        )
        node = Node(settings=settings)
        client = self.clients[name]
        client.platform = self.platform
        node.client = node.writer.client = node.follower.client = node.store.client = client
        return node

    async def run_node(self, name: str) -> None:
        node = self.nodes[name]
        with trio.CancelScope() as self.scopes[name]:
            async with trio.open_nursery() as nursery:
                node.writer.start(nursery)
                node.follower.start(nursery)
                node.snapshots.start(nursery)
                await node.follower.caught_up.wait()
                body = EntryJoin(
                    instance=name,
                    incarnation=node.snapshots.incarnation,
                    zone="a",
                    peer_address="",
                    lease_ms=self.lease_ms,
                )
                await node.writer.async_write(body, timeout_s=5)
                while True:
                    await node.snapshots.async_check()
                    await trio.sleep(0.05)

    async def run_until(self, condition: Callable[[], object], *, also_s: float = 0) -> None:
        """Run all instances until the condition holds, and then for `also_s` more."""
        with trio.fail_after(600):
            async with trio.open_nursery() as nursery:
                for name in self.nodes:
                    nursery.start_soon(self.run_node, name)
                while not condition():
                    await trio.sleep(0.05)
                await trio.sleep(also_s)
                nursery.cancel_scope.cancel()

    def kinds(self) -> Counter[str]:
        """Count the records of the main log by kind."""
        records = self.platform.read("fleet", 0, 9_999).records
        return Counter(msgspec.json.decode(record.data)["kind"] for record in records)

    def manifests(self) -> list[ManifestRecord]:
        records = self.platform.read("fleet-snapshots", 0, 9_999).records
        found = [codec.decode_record(record.data) for record in records]
        return [record for record in found if isinstance(record, ManifestRecord)]

    async def load(self) -> bytes | None:
        loaded = (await next(iter(self.nodes.values())).store.async_load_newest(above=0)).unwrap()
        return None if loaded is None else canonical_bytes(loaded)


def test_of_many_entry_instances_one_writes_and_one_endorses() -> None:
    # Eight entry instances find at the same record that a snapshot is due. Several marks or sets
    # of chunks would overload the shared log.
    async def scenario() -> None:
        fleet = Fleet([f"e-{number}" for number in range(8)])
        await fleet.run_until(fleet.manifests, also_s=0.9)
        assert fleet.kinds()["snapshots.mark"] == 1
        assert fleet.kinds()["snapshots.complete"] == 1
        [manifest] = fleet.manifests()
        assert manifest.endorser != manifest.claim.instance
        assert await fleet.load() is not None

    run(scenario)


async def lose_first_author(fleet: Fleet) -> None:
    """Run until a snapshot is complete although its first author fails before writing a chunk."""
    marked: list[str] = []

    def kill_first_author() -> bool:
        newest = fleet.nodes["e-1"].state.fleet.snapshots.newest
        if newest is not None and not marked:
            marked.append(newest.instance)
            fleet.scopes[newest.instance].cancel()
        return bool(fleet.manifests())

    for client in fleet.clients.values():
        client.refused_stream = "fleet-snapshots"

    async def reopen() -> None:
        while not marked:
            assert await fleet.load() is None
            await trio.sleep(0.05)
        for name, client in fleet.clients.items():
            client.refused_stream = "fleet-snapshots" if name == marked[0] else ""

    async with trio.open_nursery() as nursery:
        nursery.start_soon(reopen)
        await fleet.run_until(kill_first_author)
    assert fleet.manifests()[0].claim.instance != marked[0]
    assert fleet.kinds()["snapshots.mark"] == 2
    assert await fleet.load() is not None


def test_author_that_fails_between_chunks_is_replaced() -> None:
    # The author of the mark fails before it writes its chunk. No instance loads its snapshot;
    # another entry instance marks a new one and completes it.
    run(lambda: lose_first_author(Fleet(["e-1", "e-2", "e-3"])))


def test_failed_author_is_replaced_when_its_lease_expires() -> None:
    # As above, with an `overtake_ms` of a minute. The limit covers the lease (2 s), the jitter of
    # two marks (2 s each) and the delays of the endorsers.
    async def scenario() -> None:
        patient = SnapshotSettings(interval_records=3, overtake_ms=60_000, check_interval_ms=50)
        fleet = Fleet(["e-1", "e-2", "e-3"], snapshots=patient, lease_ms=2_000)
        begun = trio.current_time()
        await lose_first_author(fleet)
        assert trio.current_time() - begun < 10

    run(scenario)


def test_process_with_a_wrong_state_stops() -> None:
    # One entry instance has a corrupted state and refuses the snapshot on which the others agree.
    # It must detect that it is outvoted and stop; the snapshot stays usable.
    async def scenario() -> None:
        fleet = Fleet(["e-1", "e-2", "e-3", "e-4"])
        wrong = fleet.nodes["e-1"]
        # The author can't refuse, because its own digest is the claimed one.
        wrong.snapshots.async_check = trio.lowlevel.checkpoint  # type: ignore[method-assign]
        wrong.state.fleet.catalogue.versions["nonsense"] = 1
        with pytest.raises(BaseExceptionGroup) as raised:
            await fleet.run_until(lambda: False)
        assert raised.group_contains(StateDivergedError)
        assert fleet.manifests() and fleet.manifests()[0].endorser != "e-1"
        right = fleet.manifests()[0].claim
        loaded = (await fleet.nodes["e-2"].store.async_load_newest(above=0)).unwrap()
        assert loaded is not None and loaded.next_offset == right.offset + 1

    run(scenario)
