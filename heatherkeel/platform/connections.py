"""Persistent HTTP/1.1 connections to one address.

They use h11 directly, which httpcore is built on: a call through httpcore takes twice the processor
time, and an entry instance may have half a core.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import h11
import trio

from .const import CONNECT_TIMEOUT_S, KEEP_ALIVE_S
from .transfer import Transfer

MAX_PORT: Final = 65535
MAX_PORT_DIGITS: Final = 5
RECEIVE_BYTES: Final = 64 * 1024
"""Maximum number of bytes taken from a connection at once."""

_RESET_ON_CLOSE: Final = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
"""Resets a connection when it is closed, which drops its unsent bytes.

After a plain close the kernel continues to send the unsent bytes, so an order that timed out in a
network partition could reach its machine later than the orders of the next owner.
"""
_ACKNOWLEDGEMENT_TIMEOUT: Final = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2000)
"""Closes a connection whose bytes have not been acknowledged for 2,000 ms."""


class NoConnectionError(Exception):
    """No connection could be opened, so nothing was sent."""


class ConnectionLostError(Exception):
    """The connection was lost or closed while a response was expected."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A complete response."""

    status: int
    body: bytes


class Connection:
    """One connection, which carries one request at a time."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.protocol = h11.Connection(h11.CLIENT)
        self.idle_since_s = 0.0

    def is_reusable(self) -> bool:
        """Return whether an idle connection isn't too old, and its other end hasn't closed it."""
        age_s = trio.current_time() - self.idle_since_s
        return age_s < KEEP_ALIVE_S and not self.stream.socket.is_readable()

    def close(self) -> None:
        """Reset the connection."""
        self.stream.socket.close()

    def end_exchange(self) -> bool:
        """Prepare for the next request; returns False if there can't be one."""
        if self.protocol.our_state is not h11.DONE or self.protocol.their_state is not h11.DONE:
            return False
        if self.protocol.trailing_data[0]:
            return False
        self.protocol.start_next_cycle()
        return True

    async def async_exchange(
        self, request: h11.Request, body: bytes | None, transfer: Transfer
    ) -> Response:
        """Send a request and return its response, whose bytes `transfer` records."""
        try:
            await self._async_send(request, body)
            return await self._async_receive(transfer)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as err:
            raise ConnectionLostError from err

    async def _async_send(self, request: h11.Request, body: bytes | None) -> None:
        events: list[h11.Event] = [request]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        data = b"".join(self.protocol.send(event) or b"" for event in events)
        try:
            await self.stream.send_all(data)
        except trio.BrokenResourceError:
            # The other end may have answered before it closed the connection.
            return

    async def _async_receive(self, transfer: Transfer) -> Response:
        status = 0
        parts = []
        while True:
            event = self.protocol.next_event()
            match event:
                case h11.NEED_DATA:
                    data = await self.stream.receive_some(RECEIVE_BYTES)
                    transfer.record(len(data))
                    self.protocol.receive_data(data)
                case h11.Response():
                    status = event.status_code
                case h11.Data():
                    parts.append(bytes(event.data))
                case h11.EndOfMessage():
                    return Response(status=status, body=b"".join(parts))
                case h11.ConnectionClosed():
                    raise ConnectionLostError("closed before a response")


class ConnectionPool:
    """Reuses the connections to one address; calls beyond their maximum number wait in order."""

    def __init__(self, *, address: str, connections: int) -> None:
        host, _, port = address.rpartition(":")
        self.host = host.strip("[]")
        # Addresses come from records of others; one that can't be dialled fails at the first call.
        is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
        self.port = min(int(port), MAX_PORT) if is_number else 0
        self.slots = trio.Semaphore(connections)
        self.idle: list[Connection] = []
        self.open: set[Connection] = set()

    def close(self) -> None:
        """Close all connections; requests in progress fail."""
        for connection in self.open:
            connection.close()
        self.open.clear()
        self.idle.clear()

    async def async_request(
        self, request: h11.Request, body: bytes | None, transfer: Transfer
    ) -> Response:
        """Send a request on an idle or a new connection, and return its response.

        A connection is closed unless its response has arrived completely.
        """
        try:
            self.slots.acquire_nowait()
        except trio.WouldBlock:
            await self.slots.acquire()
        try:
            connection = self._take_idle() or await self._async_connect()
            return await self._async_exchange(connection, request, body, transfer)
        finally:
            self.slots.release()

    async def _async_exchange(
        self,
        connection: Connection,
        request: h11.Request,
        body: bytes | None,
        transfer: Transfer,
    ) -> Response:
        is_kept = False
        try:
            response = await connection.async_exchange(request, body, transfer)
            is_kept = connection in self.open and connection.end_exchange()
            return response
        finally:
            if is_kept:
                connection.idle_since_s = trio.current_time()
                self.idle.append(connection)
            else:
                self._drop(connection)

    def _take_idle(self) -> Connection | None:
        """Return the connection that was used last; close those that can't be reused."""
        while self.idle and trio.current_time() - self.idle[0].idle_since_s >= KEEP_ALIVE_S:
            self._drop(self.idle.pop(0))
        while self.idle:
            connection = self.idle.pop()
            if connection.is_reusable():
                return connection
            self._drop(connection)
        return None

    def _drop(self, connection: Connection) -> None:
        self.open.discard(connection)
        connection.close()

    async def _async_connect(self) -> Connection:
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(self.host, self.port)
        except (OSError, UnicodeError) as err:
            raise NoConnectionError("ConnectError") from err
        except trio.TooSlowError as err:
            raise NoConnectionError("ConnectTimeout") from err
        connection = Connection(stream)
        try:
            for option in (_RESET_ON_CLOSE, _ACKNOWLEDGEMENT_TIMEOUT):
                stream.setsockopt(*option)
        except OSError as err:
            connection.close()
            raise NoConnectionError("ConnectError") from err
        self.open.add(connection)
        return connection


def make_request(
    method: str, target: str, *, host: str, headers: Sequence[tuple[str, str]], body: bytes | None
) -> h11.Request:
    """Return a request, or raise `h11.LocalProtocolError` if a value can't be sent as it is."""
    fields = [("host", host), *headers]
    if body is not None:
        fields.append(("content-length", str(len(body))))
    try:
        return h11.Request(method=method, target=target, headers=fields)
    except UnicodeEncodeError as err:
        raise h11.LocalProtocolError(str(err)) from err
