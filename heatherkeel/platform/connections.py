"""Persistent HTTP/1.1 connections to one address."""

from __future__ import annotations

import socket
import struct
from collections.abc import Sequence
from typing import Final

import trio

from .const import CONNECT_TIMEOUT_S, KEEP_ALIVE_S
from .http_response import HttpError, Response, ResponseParser

MAX_PORT: Final = 65535
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


class Connection:
    """One connection, which carries one request at a time."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.idle_since_s = 0.0

    def is_reusable(self) -> bool:
        """Return whether an idle connection isn't too old, and its other end hasn't closed it."""
        age_s = trio.current_time() - self.idle_since_s
        return age_s < KEEP_ALIVE_S and not self.stream.socket.is_readable()

    def close(self) -> None:
        """Reset the connection."""
        self.stream.socket.close()

    async def async_exchange(self, request: bytes) -> Response:
        """Send a request and return its response."""
        try:
            await self._async_send(request)
            parser = ResponseParser()
            while True:
                data = await self.stream.receive_some(RECEIVE_BYTES)
                response = parser.feed(data) if data else parser.finish()
                if response is not None:
                    return response
        except (trio.BrokenResourceError, trio.ClosedResourceError) as err:
            raise ConnectionLostError from err

    async def _async_send(self, request: bytes) -> None:
        try:
            await self.stream.send_all(request)
        except trio.BrokenResourceError:
            # The other end may have answered before it closed the connection.
            return


class ConnectionPool:
    """Reuses the connections to one address; calls beyond their maximum number wait in order."""

    def __init__(self, *, address: str, connections: int) -> None:
        host, _, port = address.rpartition(":")
        self.host = host.strip("[]")
        self.port = min(int(port), MAX_PORT) if port.isdecimal() else 0
        self.slots = trio.Semaphore(connections)
        self.idle: list[Connection] = []
        self.open: set[Connection] = set()

    def close(self) -> None:
        """Close all connections; requests in progress fail."""
        for connection in self.open:
            connection.close()
        self.open.clear()
        self.idle.clear()

    async def async_request(self, request: bytes) -> Response:
        """Send a request on an idle or a new connection, and return its response.

        A connection is closed unless its response has arrived completely.
        """
        try:
            self.slots.acquire_nowait()
        except trio.WouldBlock:
            await self.slots.acquire()
        try:
            connection = self._take_idle() or await self._async_connect()
            return await self._async_exchange(connection, request)
        finally:
            self.slots.release()

    async def _async_exchange(self, connection: Connection, request: bytes) -> Response:
        response: Response | None = None
        try:
            response = await connection.async_exchange(request)
            return response
        finally:
            if response is not None and response.keeps_open and connection in self.open:
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


def encode_request(
    method: str, target: str, *, host: str, headers: Sequence[tuple[str, str]], body: bytes | None
) -> bytes:
    """Return the bytes of a request, or raise `HttpError` if a value can't be sent as it is."""
    fields = [("host", host), *headers]
    if body is not None:
        fields.append(("content-length", str(len(body))))
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in fields)]
    if " " in target or any("\r" in line or "\n" in line or "\0" in line for line in lines):
        raise HttpError(f"a value of the request contains a delimiter: {lines!r:.200}")
    try:
        head = "\r\n".join((*lines, "\r\n")).encode("ascii")
    except UnicodeEncodeError as err:
        raise HttpError(str(err)) from err
    return head + body if body else head
