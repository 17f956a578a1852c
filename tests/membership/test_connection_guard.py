"""Tests of the limit for connections to a ZeroMQ socket."""

from __future__ import annotations

import socket
from functools import partial

import trio
import zmq

from heatherkeel.membership.connection_guard import Activity, ConnectionGuard, _parse_activity
from heatherkeel.membership.sockets import EdgeSocket, Frames

LIMIT = 5
CROWD = 30
WAIT_S = 20.0


def test_activity_is_read_from_the_kernels_answer() -> None:
    info = bytearray(192)
    info[52:56] = (700).to_bytes(4, "little")
    info[128:136] = (11).to_bytes(8, "little")
    assert _parse_activity(bytes(info)) == Activity(has_received=True, still_ms=700)
    assert _parse_activity(bytes(64)) == Activity(has_received=True, still_ms=0)


async def async_crowd() -> tuple[int, list[Frames]]:
    """Open idle connections beside one that is used; return how many stay, and its messages."""
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    received: list[Frames] = []
    router = EdgeSocket(context=context, kind=zmq.ROUTER, handle=received.append)
    guard = ConnectionGuard(socket=router.socket, context=context, limit=LIMIT)
    async with trio.open_nursery() as nursery:
        guard.start(nursery)
        router.socket.bind("tcp://127.0.0.1:0")
        router.start(nursery)
        address = router.socket.getsockopt_string(zmq.LAST_ENDPOINT)
        peer = EdgeSocket(context=context, kind=zmq.DEALER, handle=lambda frames: None)
        peer.socket.connect(address)
        peer.start(nursery)
        await async_send(peer, received, count=1)
        port = int(address.rpartition(":")[2])
        idle = [socket.create_connection(("127.0.0.1", port)) for _ in range(CROWD)]
        with trio.fail_after(WAIT_S):
            while len(guard.connections) > LIMIT or count_open(idle) > LIMIT:
                await trio.sleep(0.05)
        await async_send(peer, received, count=2)
        left = count_open(idle)
        for sock in idle:
            sock.close()
        guard.close()
        peer.close()
        router.close()
        nursery.cancel_scope.cancel()
    context.destroy(linger=0)
    return left, received


async def async_send(peer: EdgeSocket, received: list[Frames], *, count: int) -> None:
    with trio.fail_after(WAIT_S):
        while len(received) < count:
            peer.send([b"1", b"x"])
            await trio.sleep(0.05)


def count_open(idle: list[socket.socket]) -> int:
    """Return how many of the connections the other end hasn't closed."""
    return sum(not is_closed(sock) for sock in idle)


def is_closed(sock: socket.socket) -> bool:
    sock.setblocking(False)
    try:
        # ZeroMQ greets each connection first.
        while data := sock.recv(4096):
            assert data
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def test_idle_connections_are_closed_and_the_one_in_use_is_kept() -> None:
    """Guards against connections that leave no descriptors for anything else."""
    left, received = trio.run(partial(async_crowd))
    assert left <= LIMIT
    assert len(received) >= 2
