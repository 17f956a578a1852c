"""Links between peers, over real sockets on the loopback interface."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio
import zmq

import heatherkeel.subjects  # noqa: F401
from heatherkeel.core.envelopes import encode, seal
from heatherkeel.core.models import LogRecord
from heatherkeel.core.node import LocalState, NodeState, reduce
from heatherkeel.core.reducer import fold
from heatherkeel.core.state import canonical_bytes
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.membership.ack_timeout import AckTimeout
from heatherkeel.membership.const import (
    CROSS_ZONE_PEERS,
    DISCOVERED_PEER_KEPT_MS,
    LOST_PEER_KEPT_MS,
    MAX_ACK_TIMEOUT_MS,
    MAX_MESSAGE_BYTES,
    MIN_ACK_TIMEOUT_MS,
)
from heatherkeel.membership.links import PeerLinks
from heatherkeel.membership.local import PeerView
from heatherkeel.membership.models import EntryInstance, EntryJoin
from heatherkeel.membership.peer_selection import remove_lost_peers, select_peers
from heatherkeel.membership.recent import RecentRecords


class Peer:
    """The links and the fold of one entry process."""

    def __init__(self, name: str, *, zone: str = "a", seeds: list[str] | None = None) -> None:
        self.node = NodeState(local=LocalState(instance=name, zone=zone, incarnation=f"i-{name}"))
        self.recent = RecentRecords()
        self.log_answered_at_ms: int | None = None
        self.links = PeerLinks(
            node=self.node,
            handle_event=lambda event: reduce(self.node, event),
            apply_relayed_record=self.fold,
            log_answered_at_ms=lambda: self.log_answered_at_ms,
            recent=self.recent,
            bind="127.0.0.1:0",
            seeds=seeds or [],
        )

    def fold(self, record: LogRecord) -> None:
        self.recent.add(record)
        fold(self.node.fleet, record)

    def join(self, name: str, address: str, *, zone: str = "a") -> None:
        body = EntryJoin(
            instance=name, incarnation=f"i-{name}", zone=zone, peer_address=address, lease_ms=9_000
        )
        data = encode(seal(body, author=name, now_ms=0))
        self.fold(LogRecord(offset=self.node.fleet.next_offset, at_ms=1, data=data))


@asynccontextmanager
async def opened(*peers: Peer) -> AsyncIterator[trio.Nursery]:
    """Open the ports of the peers, let each join its own fold, and close them at the end."""
    try:
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                for peer in peers:
                    peer.links.start(nursery)
                    local = peer.node.local
                    peer.join(local.instance, peer.links.address, zone=local.zone)
                yield nursery
                nursery.cancel_scope.cancel()
    finally:
        for peer in peers:
            peer.links.close()


async def tick_until(condition: Callable[[], bool], *peers: Peer) -> None:
    while not condition():
        for peer in peers:
            await peer.links.async_tick()
        await trio.sleep(0.02)


def test_only_a_peer_of_the_own_zone_relays_records() -> None:
    # An entry instance that can't reach the platform must request the records that it lacks from
    # a peer of its own availability zone, and from no other zone.
    async def scenario() -> None:
        near, late, far = Peer("e-1"), Peer("e-2"), Peer("e-3", zone="b")
        async with opened(near, late, far):
            for peer in (near, far):
                peer.log_answered_at_ms = monotonic_ms()
                for number in range(600):
                    peer.join(f"x-{number}", "")
            late.links.seeds = [near.links.address, far.links.address]
            near.links.seeds = far.links.seeds = [late.links.address]
            late.node.fleet = type(late.node.fleet)()
            await tick_until(lambda: late.node.fleet.next_offset == 601, near, late, far)
        assert canonical_bytes(late.node.fleet) == canonical_bytes(near.node.fleet)
        assert late.node.local.peers.relayed == 601

    trio.run(scenario)


def test_a_joining_instance_gets_a_complete_state_and_a_sponsor() -> None:
    # While the platform is down, a joining instance fetches the state of a peer.
    async def scenario() -> None:
        peer = Peer("e-1")
        joining = Peer("e-9")
        async with opened(peer):
            for number in range(3_000):
                peer.join(f"x-{number}", "")
            joining.links.seeds = [peer.links.address]
            async with trio.open_nursery() as nursery:
                joining.links.start(nursery)
                state = await joining.links.async_fetch_state()
                nursery.cancel_scope.cancel()
            joining.links.close()
        assert state is not None
        assert canonical_bytes(state) == canonical_bytes(peer.node.fleet)
        assert list(peer.node.local.peers.sponsored) == ["i-e-9"]
        sponsorship = joining.node.local.peers.sponsorship
        assert sponsorship is not None and sponsorship.sponsor == "i-e-1"

    trio.run(scenario)


def test_only_a_known_instance_of_the_own_zone_provides_its_state() -> None:
    # Drains don't wait for a process that the fold doesn't know, and wait for one in another
    # availability zone only until its lease ends, so neither may sponsor.
    async def scenario() -> None:
        unknown, far = Peer("e-1"), Peer("e-2", zone="b")
        joining = Peer("e-9")
        async with opened(unknown, far) as nursery:
            unknown.node.fleet = type(unknown.node.fleet)()
            joining.links.seeds = [unknown.links.address, far.links.address]
            joining.links.start(nursery)
            assert await joining.links.async_fetch_state() is None
            joining.links.close()
        assert not unknown.node.local.peers.sponsored and not far.node.local.peers.sponsored

    trio.run(scenario)


def test_invalid_messages_are_dropped_and_counted() -> None:
    # Anything can connect to the port and send noise, extra frames or oversized messages.
    async def scenario() -> None:
        peer, other = Peer("e-1"), Peer("e-2", seeds=[])
        async with opened(peer, other):
            context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
            socket = context.socket(zmq.DEALER)
            socket.setsockopt(zmq.LINGER, 0)
            socket.connect(f"tcp://{peer.links.address}")
            for frames in ([b"\xc1"], [b"a", b"b"], [b""], [b"x" * 1000]):
                socket.send_multipart(frames)
            await tick_until(lambda: peer.node.local.peers.undecodable == 4, peer)
            socket.send(b"x" * (MAX_MESSAGE_BYTES + 1))
            other.links.seeds = [peer.links.address]
            await tick_until(lambda: "e-2" in peer.node.local.peers.peers, other)
            socket.close()
            context.term()
        assert peer.node.local.peers.undecodable == 4

    trio.run(scenario)


def test_an_invalid_address_in_a_record_ends_no_process() -> None:
    # Every entry instance connects to the addresses in join records. An invalid one must not end
    # the process or prevent the other links.
    async def scenario() -> None:
        peer, other = Peer("e-1"), Peer("e-2")
        async with opened(peer, other):
            for number, address in enumerate(("nonsense", "127.0.0.1:99999", "1.2.3:x", "")):
                other.join(f"x-{number}", address)
            other.join("e-1", peer.links.address)
            await tick_until(lambda: "e-2" in peer.node.local.peers.peers, other)

    trio.run(scenario)


def test_only_some_peers_of_other_zones_are_linked_and_lost_ones_are_removed() -> None:
    # Heartbeats between all instances of 24 zones would cost too much, and replaced peers must not
    # accumulate.
    node = NodeState(local=LocalState(instance="e-1", zone="z-0", incarnation="1"))
    for number in range(240):
        entry = EntryInstance(
            instance=f"x-{number}",
            incarnation=f"{number}",
            zone=f"z-{number % 24}",
            peer_address=f"10.0.0.{number}:1",
            lease_ms=1,
            lease_until_ms=1,
        )
        node.fleet.membership.entries[entry.instance] = entry
    chosen = select_peers(node, seeds=["10.9.9.9:1"], own="10.0.0.0:1", now_ms=0)
    assert sum(chosen.values()) == 9 + 1
    assert len(chosen) == 10 + 23 * CROSS_ZONE_PEERS
    view = PeerView(
        incarnation="1",
        zone="z-0",
        address="10.8.8.8:1",
        last_heartbeat_ms=0,
        offset_in_force=0,
        log_age_ms=0,
    )
    node.local.peers.peers["lost"] = view
    assert "10.8.8.8:1" in select_peers(node, seeds=[], own="", now_ms=DISCOVERED_PEER_KEPT_MS - 1)
    assert "10.8.8.8:1" not in select_peers(node, seeds=[], own="", now_ms=DISCOVERED_PEER_KEPT_MS)
    remove_lost_peers(node, LOST_PEER_KEPT_MS)
    assert "lost" in node.local.peers.peers
    remove_lost_peers(node, LOST_PEER_KEPT_MS + 1)
    assert not node.local.peers.peers


def test_the_ack_timeout_adapts_within_its_bounds() -> None:
    # The connection to a slow peer must not be replaced repeatedly, and a fast peer must be found
    # unresponsive sooner.
    near, far = AckTimeout(), AckTimeout()
    for _ in range(100):
        near.record_interval(1_000)
        far.record_interval(5_000)
    assert (
        near.timeout_ms() == MIN_ACK_TIMEOUT_MS and 5_000 <= far.timeout_ms() < MAX_ACK_TIMEOUT_MS
    )
    far.record_interval(3_600_000)
    assert far.timeout_ms() <= MAX_ACK_TIMEOUT_MS


def test_an_unresponsive_connection_is_replaced() -> None:
    # A connection drops all messages without an error, while a new one would work. The sender
    # must detect it by the missing answers.
    async def scenario() -> None:
        peer, other = Peer("e-1"), Peer("e-2")
        async with opened(peer, other):
            other.links.seeds = [peer.links.address]
            await tick_until(lambda: "e-2" in peer.node.local.peers.peers, other)
            [link] = other.links.links.values()
            old = link.socket
            assert old is not None
            old.send = lambda frames: True  # type: ignore[method-assign]
            last_heartbeat_ms = peer.node.local.peers.peers["e-2"].last_heartbeat_ms
            link.unacked_since_ms = monotonic_ms() - 60_000
            await tick_until(
                lambda: peer.node.local.peers.peers["e-2"].last_heartbeat_ms > last_heartbeat_ms,
                other,
            )
            assert link.socket is not old and other.node.local.peers.replaced == 1
            assert old.socket.closed

    trio.run(scenario)


def test_no_message_stays_unread_while_both_sides_send() -> None:
    # ZeroMQ's descriptor is edge-triggered, and a send can consume the edge of a received message.
    # That message must be read all the same.
    async def scenario() -> None:
        left, right = Peer("e-1"), Peer("e-2")
        async with opened(left, right):
            left.links.seeds, right.links.seeds = [right.links.address], [left.links.address]
            await tick_until(lambda: bool(left.node.local.peers.peers), left, right)
            links = [next(iter(peer.links.links.values())) for peer in (left, right)]
            for _ in range(2_000):
                for link, peer in zip(links, (left, right), strict=True):
                    link.send_heartbeat(
                        peer.links._make_heartbeat(link, monotonic_ms()), monotonic_ms()
                    )
                await trio.lowlevel.checkpoint()
            with trio.fail_after(10):
                while any(link.unacked_since_ms for link in links):
                    await trio.sleep(0.01)

    trio.run(scenario)
