"""Limits the connections that other processes may open to a ZeroMQ socket.

ZeroMQ accepts every connection in its own thread and has no limit. Connections that send nothing
would take the descriptors that the store and the workers need.
"""

from __future__ import annotations

import logging
import os
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Final

import trio
import zmq

from .sockets import EdgeSocket, Frames

_LOGGER = logging.getLogger(__name__)

_EVENT_FORMAT: Final = struct.Struct("=hi")
"""ZeroMQ's monitor events: the kind, and for an accepted connection its descriptor."""
_LAST_RECEIVED: Final = struct.Struct("=I")
_LAST_RECEIVED_OFFSET: Final = 52
_BYTES_RECEIVED: Final = struct.Struct("=Q")
_BYTES_RECEIVED_OFFSET: Final = 128
"""Places of `tcpi_last_data_recv` (ms ago) and `tcpi_bytes_received` in Linux's `tcp_info`."""
_TCP_INFO_BYTES: Final = 192


@dataclass(frozen=True, kw_only=True, slots=True)
class AcceptedConnection:
    """A descriptor of ZeroMQ's; the inode tells whether it is still the same connection."""

    descriptor: int
    inode: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Activity:
    """What a connection has received; the least active one is closed first."""

    has_received: bool
    still_ms: int


class ConnectionGuard:
    """Closes the least active connections of a socket that has too many."""

    def __init__(
        self,
        *,
        socket: zmq.Socket[bytes],
        context: zmq.Context[zmq.Socket[bytes]],
        limit: int,
        on_count: Callable[[int], None] = lambda count: None,
        on_closed: Callable[[int], None] = lambda count: None,
    ) -> None:
        self.guarded = socket
        self.limit = limit
        self.on_count = on_count
        """Called with the number of connections when it has changed."""
        self.on_closed = on_closed
        """Called with the number of connections that were closed."""
        self.connections: list[AcceptedConnection] = []
        """Those that were accepted and may be open, oldest first."""
        self.accepted = trio.Event()
        self.scope = trio.CancelScope()
        self.events = EdgeSocket(context=context, kind=zmq.PAIR, handle=self._handle_event)

    def start(self, nursery: trio.Nursery) -> None:
        """Start watching; before the socket is bound."""
        address = f"inproc://connections-{id(self)}"
        self.guarded.monitor(address, zmq.EVENT_ACCEPTED)
        self.events.socket.connect(address)
        self.events.start(nursery)
        nursery.start_soon(self._async_run)

    def close(self) -> None:
        """Stop watching; before the socket is closed."""
        if not self.guarded.closed:
            self.guarded.disable_monitor()
        self.events.close()
        self.scope.cancel()

    def _handle_event(self, frames: Frames) -> None:
        _, descriptor = _EVENT_FORMAT.unpack(frames[0])
        with suppress(OSError):
            # It may have been closed already.
            inode = os.fstat(descriptor).st_ino
            self.connections.append(AcceptedConnection(descriptor=descriptor, inode=inode))
        self.accepted.set()

    async def _async_run(self) -> None:
        """Look at all connections once for many accepted ones: each look takes some microseconds.

        ZeroMQ goes on accepting meanwhile, so this has to keep up with it.
        """
        with self.scope:
            while True:
                await self.accepted.wait()
                self.accepted = trio.Event()
                if len(self.connections) > self.limit:
                    self._close_excess()
                self.on_count(len(self.connections))

    def _close_excess(self) -> None:
        """Forget closed connections, and close the least active ones if there are too many."""
        active = [(item, activity) for item in self.connections if (activity := _measure(item))]
        excess = len(active) - self.limit
        if excess > 0:
            # Sorting is stable, so among equals the oldest one is closed.
            active.sort(key=lambda pair: (pair[1].has_received, -pair[1].still_ms))
            closed = [item for item, _ in active[:excess] if _shut_down(item)]
            self._log(len(closed))
            self.on_closed(len(closed))
        kept = {item for item, _ in active[max(0, excess) :]}
        self.connections = [item for item in self.connections if item in kept]

    def _log(self, count: int) -> None:
        _LOGGER.warning(
            "too many connections of other instances",
            extra={"event": "peer_connections_closed", "closed": count, "limit": self.limit},
        )


def _measure(connection: AcceptedConnection) -> Activity | None:
    """Return what a connection has received; None if it is closed."""
    with suppress(OSError), _duplicate(connection.descriptor) as sock:
        if os.fstat(sock.fileno()).st_ino == connection.inode:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
            return _parse_activity(info)
    return None


def _parse_activity(info: bytes) -> Activity:
    """Parse `tcp_info`; kernels that return less of it don't tell the number of bytes."""
    if len(info) < _BYTES_RECEIVED_OFFSET + _BYTES_RECEIVED.size:
        return Activity(has_received=True, still_ms=0)
    (received,) = _BYTES_RECEIVED.unpack_from(info, _BYTES_RECEIVED_OFFSET)
    (still_ms,) = _LAST_RECEIVED.unpack_from(info, _LAST_RECEIVED_OFFSET)
    return Activity(has_received=received > 0, still_ms=still_ms)


def _shut_down(connection: AcceptedConnection) -> bool:
    """End a connection, which ZeroMQ then closes; False if it has been closed already.

    ZeroMQ's thread may close the descriptor at any moment, and another part of the process may get
    the same number. The duplicate stays the same connection, so that its inode is proof.
    """
    with suppress(OSError), _duplicate(connection.descriptor) as sock:
        if os.fstat(sock.fileno()).st_ino == connection.inode:
            sock.shutdown(socket.SHUT_RDWR)
            return True
    return False


def _duplicate(descriptor: int) -> socket.socket:
    return socket.socket(fileno=os.dup(descriptor))
