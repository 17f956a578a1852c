"""A TCP proxy on loopback whose links can be cut, reset, delayed and slowed."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

import trio

CHUNK_BYTES: Final = 16 * 1024
CONNECT_TIMEOUT_S: Final = 2.0
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close sends a reset."""


class Way(StrEnum):
    """A direction of a link."""

    TO_TARGET = "to target"
    TO_SOURCE = "to source"


BOTH_WAYS: Final = frozenset(Way)


@dataclass(kw_only=True, eq=False)
class Link:
    """One listener that forwards its connections to a target, with faults."""

    name: str
    target: str = ""
    """`host:port`; may change, which concerns new connections only."""
    address: str = ""
    cut_ways: frozenset[Way] = frozenset()
    """Directions that carry nothing; what is sent meanwhile arrives once they are healed."""
    resets: bool = False
    """New connections are reset."""
    delay_s: float = 0.0
    """Delay of each piece, in seconds."""
    bytes_per_s: float = 0.0
    """Bandwidth of each direction; 0 for no limit."""
    connections: set[trio.SocketStream] = field(default_factory=set)
    changed: trio.Event = field(default_factory=trio.Event)
    connected: int = 0
    """How many connections were taken."""

    async def start(self, nursery: trio.Nursery) -> str:
        """Open the listener and return its address."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        self.address = f"{host}:{port}"
        nursery.start_soon(trio.serve_listeners, self._async_carry, listeners)
        return self.address

    def cut(self, ways: frozenset[Way] = BOTH_WAYS) -> None:
        """Carry nothing more in these directions, without a word."""
        self._change(cut_ways=ways)

    def slow_down(self, *, delay_s: float = 0.0, bytes_per_s: float = 0.0) -> None:
        """Delay each piece, or limit the bandwidth."""
        self._change(delay_s=delay_s, bytes_per_s=bytes_per_s)

    def reset(self, *, stays: bool = False) -> None:
        """Reset all connections; if it stays so, new ones too."""
        self._change(resets=stays)
        for stream in list(self.connections):
            _reset(stream)

    def heal(self) -> None:
        """End all faults; what was held back is carried now."""
        self._change()

    def _change(
        self,
        *,
        cut_ways: frozenset[Way] = frozenset(),
        resets: bool = False,
        delay_s: float = 0.0,
        bytes_per_s: float = 0.0,
    ) -> None:
        self.cut_ways, self.resets = cut_ways, resets
        self.delay_s, self.bytes_per_s = delay_s, bytes_per_s
        self.changed.set()
        self.changed = trio.Event()

    async def _async_carry(self, source: trio.SocketStream) -> None:
        self.connected += 1
        if self.resets:
            _reset(source)
            return
        self.connections.add(source)
        try:
            await self._async_carry_to_target(source)
        except* (OSError, trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError):
            # One side is gone: the other has to see it as it would without the proxy.
            _reset(source)
        finally:
            self.connections.discard(source)
            await trio.aclose_forcefully(source)

    async def _async_carry_to_target(self, source: trio.SocketStream) -> None:
        await self._async_wait_open(Way.TO_TARGET)
        host, _, port = self.target.rpartition(":")
        with trio.fail_after(CONNECT_TIMEOUT_S):
            target = await trio.open_tcp_stream(host, int(port))
        self.connections.add(target)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._async_pump, source, target, Way.TO_TARGET)
                nursery.start_soon(self._async_pump, target, source, Way.TO_SOURCE)
        except BaseException:
            _reset(target)
            raise
        finally:
            self.connections.discard(target)
            await trio.aclose_forcefully(target)

    async def _async_pump(
        self, source: trio.SocketStream, sink: trio.SocketStream, way: Way
    ) -> None:
        while True:
            piece = await source.receive_some(CHUNK_BYTES)
            if self.delay_s:
                await trio.sleep(self.delay_s)
            if self.bytes_per_s:
                await trio.sleep(len(piece) / self.bytes_per_s)
            await self._async_wait_open(way)
            if not piece:
                await sink.send_eof()
                return
            await sink.send_all(piece)

    async def _async_wait_open(self, way: Way) -> None:
        while way in self.cut_ways:
            await self.changed.wait()


def _reset(stream: trio.SocketStream) -> None:
    """Close a connection with a reset instead of an orderly end."""
    if stream.socket.fileno() < 0:
        return
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    stream.socket.close()
