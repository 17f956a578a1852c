"""Links between two processes' worth of peers, over real sockets on loopback."""

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
from heatherkeel.membership.choice import choose_peers, forget_lost_peers
from heatherkeel.membership.const import (
    CROSS_ZONE_PEERS,
    LEARNED_KEPT_MS,
    LOST_KEPT_MS,
    MAX_MESSAGE_BYTES,
    MAX_SILENCE_MS,
    MIN_SILENCE_MS,
)
from heatherkeel.membership.links import PeerLinks
from heatherkeel.membership.local import PeerView
from heatherkeel.membership.models import EntryInstance, EntryJoin
from heatherkeel.membership.recent import RecentRecords
from heatherkeel.membership.suspicion import SilenceBound


class Peer:
    """One entry process as its peers see it."""

    def __init__(self, name: str, *, zone: str = "a", seeds: list[str] | None = None) -> None:
        self.node = NodeState(local=LocalState(instance=name, zone=zone, incarnation=f"i-{name}"))
        self.recent = RecentRecords()
        self.heard_at_ms: int | None = None
        self.links = PeerLinks(
            node=self.node,
            take=lambda event: reduce(self.node, event),
            take_relayed=self.fold,
            heard_at_ms=lambda: self.heard_at_ms,
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
    """Open the peers' ports, let each be a member of its own fold, and close them after."""
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


def test_a_peer_of_the_own_zone_gives_the_next_records_and_no_other_zone_does() -> None:
    # One entry instance has no way to the platform. Its peer in the same availability zone is
    # ahead; it asks for exactly the next records and folds them. It asks nobody else.
    async def scenario() -> None:
        near, late, far = Peer("e-1"), Peer("e-2"), Peer("e-3", zone="b")
        async with opened(near, late, far):
            for peer in (near, far):
                peer.heard_at_ms = monotonic_ms()
                for number in range(600):
                    peer.join(f"x-{number}", "")
            late.links.seeds = [near.links.address, far.links.address]
            near.links.seeds = far.links.seeds = [late.links.address]
            late.node.fleet = type(late.node.fleet)()
            await tick_until(lambda: late.node.fleet.next_offset == 601, near, late, far)
        assert canonical_bytes(late.node.fleet) == canonical_bytes(near.node.fleet)
        assert late.node.local.peers.relayed == 601

    trio.run(scenario)


def test_a_newcomer_gets_a_whole_state_and_a_sponsor() -> None:
    # The platform is down. A newcomer asks its seeds: one address where nobody is, then a peer.
    async def scenario() -> None:
        peer = Peer("e-1")
        newcomer = Peer("e-9")
        async with opened(peer):
            for number in range(3_000):
                peer.join(f"x-{number}", "")
            newcomer.links.seeds = [peer.links.address]
            async with trio.open_nursery() as nursery:
                newcomer.links.start(nursery)
                state = await newcomer.links.async_fetch_state()
                nursery.cancel_scope.cancel()
            newcomer.links.close()
        assert state is not None
        assert canonical_bytes(state) == canonical_bytes(peer.node.fleet)
        assert list(peer.node.local.peers.sponsored) == ["i-e-9"]
        sponsorship = newcomer.node.local.peers.sponsorship
        assert sponsorship is not None and sponsorship.sponsor == "i-e-1"

    trio.run(scenario)


def test_only_a_member_of_the_fold_and_of_the_own_zone_gives_its_state() -> None:
    # A process that the fold doesn't know can't hold a drain back for another one; one in
    # another availability zone would be waited for only until its lease ends.
    async def scenario() -> None:
        stranger, far = Peer("e-1"), Peer("e-2", zone="b")
        newcomer = Peer("e-9")
        async with opened(stranger, far) as nursery:
            stranger.node.fleet = type(stranger.node.fleet)()
            newcomer.links.seeds = [stranger.links.address, far.links.address]
            newcomer.links.start(nursery)
            assert await newcomer.links.async_fetch_state() is None
            newcomer.links.close()
        assert not stranger.node.local.peers.sponsored and not far.node.local.peers.sponsored

    trio.run(scenario)


def test_bytes_that_are_no_message_are_dropped_and_counted() -> None:
    # Anything can connect to the port: noise, too many frames, a message over the limit.
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


def test_a_bad_address_in_a_record_ends_no_process() -> None:
    # An entry instance joins with an address that is none. Every other one reads the record and
    # tries to connect there; it must go on, and be linked with the rest.
    async def scenario() -> None:
        peer, other = Peer("e-1"), Peer("e-2")
        async with opened(peer, other):
            for number, address in enumerate(("nonsense", "127.0.0.1:99999", "1.2.3:x", "")):
                other.join(f"x-{number}", address)
            other.join("e-1", peer.links.address)
            await tick_until(lambda: "e-2" in peer.node.local.peers.peers, other)

    trio.run(scenario)


def test_only_some_peers_of_other_zones_are_linked_and_lost_ones_are_forgotten() -> None:
    # 24 availability zones with ten entry instances each: heartbeats between all of them would
    # cost more than all other control. Replaced peers must not add up for ever either.
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
    chosen = choose_peers(node, seeds=["10.9.9.9:1"], own="10.0.0.0:1", now_ms=0)
    assert sum(chosen.values()) == 9 + 1
    assert len(chosen) == 10 + 23 * CROSS_ZONE_PEERS
    view = PeerView(
        incarnation="1",
        zone="z-0",
        address="10.8.8.8:1",
        heard_ms=0,
        offset_in_force=0,
        log_age_ms=0,
    )
    node.local.peers.peers["lost"] = view
    assert "10.8.8.8:1" in choose_peers(node, seeds=[], own="", now_ms=LEARNED_KEPT_MS - 1)
    assert "10.8.8.8:1" not in choose_peers(node, seeds=[], own="", now_ms=LEARNED_KEPT_MS)
    forget_lost_peers(node, LOST_KEPT_MS)
    assert "lost" in node.local.peers.peers
    forget_lost_peers(node, LOST_KEPT_MS + 1)
    assert not node.local.peers.peers


def test_the_silence_bound_follows_the_link_between_its_limits() -> None:
    # A peer far off answers every 5 s; taken for silent, its connection would be replaced again
    # and again. One that is near must not be waited for as long.
    near, far = SilenceBound(), SilenceBound()
    for _ in range(100):
        near.hear(1_000)
        far.hear(5_000)
    assert near.bound_ms() == MIN_SILENCE_MS and 5_000 <= far.bound_ms() < MAX_SILENCE_MS
    far.hear(3_600_000)
    assert far.bound_ms() <= MAX_SILENCE_MS


def test_a_silent_connection_is_replaced_by_a_fresh_one() -> None:
    # Something between two peers loses track of their connection: bytes vanish, no error comes,
    # and a new connection would work. The sender finds it by its missing answers.
    async def scenario() -> None:
        peer, other = Peer("e-1"), Peer("e-2")
        async with opened(peer, other):
            other.links.seeds = [peer.links.address]
            await tick_until(lambda: "e-2" in peer.node.local.peers.peers, other)
            [link] = other.links.links.values()
            old = link.socket
            assert old is not None
            old.send = lambda frames: True  # type: ignore[method-assign]
            heard_ms = peer.node.local.peers.peers["e-2"].heard_ms
            link.waiting_since_ms = monotonic_ms() - 60_000
            await tick_until(lambda: peer.node.local.peers.peers["e-2"].heard_ms > heard_ms, other)
            assert link.socket is not old and other.node.local.peers.replaced == 1
            assert old.socket.closed

    trio.run(scenario)


def test_no_message_lies_unread_while_both_sides_send() -> None:
    # The library's descriptor tells only once. Both sides send at the same time, thousands of
    # times; a send uses up the sign of a message that came, which must be read all the same.
    async def scenario() -> None:
        left, right = Peer("e-1"), Peer("e-2")
        async with opened(left, right):
            left.links.seeds, right.links.seeds = [right.links.address], [left.links.address]
            await tick_until(lambda: bool(left.node.local.peers.peers), left, right)
            links = [next(iter(peer.links.links.values())) for peer in (left, right)]
            for _ in range(2_000):
                for link, peer in zip(links, (left, right), strict=True):
                    link.beat(peer.links._heartbeat(link, monotonic_ms()), monotonic_ms())
                await trio.lowlevel.checkpoint()
            with trio.fail_after(10):
                while any(link.waiting_since_ms for link in links):
                    await trio.sleep(0.01)

    trio.run(scenario)
