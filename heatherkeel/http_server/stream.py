"""A client's connection whose buffers, reads and writes are bounded."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import Final

import trio

from .const import DISCARD_S, LEAST_BYTES_PER_S, RECEIVE_BYTES, SEND_BYTES, SEND_TIMEOUT_S
from .table import OpenConnection

_RESET_ON_CLOSE: Final = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
"""Drops what the client hasn't read, which the kernel would keep in memory."""
_SCRATCH: Final = bytearray(4 * RECEIVE_BYTES)
"""Takes bytes that nobody looks at."""


class GuardedStream(trio.abc.HalfCloseableStream):
    """The stream that the server's protocol reads from and writes to."""

    def __init__(
        self,
        *,
        stream: trio.SocketStream,
        connection: OpenConnection,
        on_send_timeout: Callable[[], None],
    ) -> None:
        self.stream = stream
        self.connection = connection
        self.on_send_timeout = on_send_timeout
        self.is_discarding = False

    @property
    def socket(self) -> trio.socket.SocketType:
        """Return the socket, whose addresses the server reads."""
        return self.stream.socket

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive some bytes; an empty result means the end, or the end of discarding."""
        size = min(max_bytes or RECEIVE_BYTES, RECEIVE_BYTES)
        if not self.is_discarding:
            data = await self.stream.receive_some(size)
            if not self.is_discarding or not data:
                self.connection.record_received(len(data), trio.current_time())
                return bytes(data)
        return await self._async_discard()

    async def _async_discard(self) -> bytes:
        with trio.move_on_after(DISCARD_S), suppress(OSError):
            while await self.stream.socket.recv_into(_SCRATCH):
                pass
        return b""

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes; raises `trio.BrokenResourceError` if the client reads too slowly.

        The server's protocol shields its sends from cancellation, so that a client which doesn't
        read would hold its connection and its answer for ever.
        """
        if not data:
            return
        view = memoryview(data)
        self.connection.is_sending = True
        try:
            with trio.move_on_after(SEND_TIMEOUT_S + len(view) / LEAST_BYTES_PER_S) as scope:
                while view:
                    await self.stream.send_all(view[:SEND_BYTES])
                    view = view[SEND_BYTES:]
                    self.connection.moved_s = trio.current_time()
        finally:
            self.connection.is_sending = False
        if scope.cancelled_caught:
            self.on_send_timeout()
            raise trio.BrokenResourceError("the client reads too slowly")

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until a send may not block."""
        await self.stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Tell the client that nothing more follows."""
        await self.stream.send_eof()

    def discard_input(self) -> None:
        """Discard what is received from now on."""
        self.is_discarding = True

    def reset(self) -> None:
        """Reset the connection at once."""
        with suppress(OSError):
            self.stream.setsockopt(*_RESET_ON_CLOSE)
        self.stream.socket.close()

    async def aclose(self) -> None:
        """Close the connection."""
        await self.stream.aclose()
