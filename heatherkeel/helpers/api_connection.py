"""One connection of a caller to an `ApiServer`."""

from __future__ import annotations

import logging
import time
from email.utils import formatdate
from functools import lru_cache
from typing import Any, Final
from urllib.parse import unquote

import h11
import trio

from .asgi import App, Message
from .header_limit import MAX_HEADER_BYTES

_LOGGER = logging.getLogger(__name__)

KEEP_ALIVE_S: Final = 75.0
"""Idle timeout of a caller's connection in seconds.

It exceeds the idle timeout of load balancers (60 s), so that a connection isn't closed while a
request is in transit.
"""
RECEIVE_BYTES: Final = 64 * 1024
"""Maximum number of bytes taken from a connection at once."""
MAX_SURPLUS_BYTES: Final = 1024 * 1024
"""Body bytes that are read and dropped after an early response. A connection that is closed with
unread bytes is reset, and its caller may lose the response."""
SURPLUS_TIMEOUT_S: Final = 1.0
"""Time for these bytes to arrive, in seconds."""
_VERSIONS: Final = frozenset({b"1.0", b"1.1"})
_VERSION_NOT_SUPPORTED: Final = 505
_GONE: Final[Message] = {"type": "http.disconnect"}


class ApiConnection:
    """Answers the requests of one connection, one after the other."""

    def __init__(self, *, app: App, stream: trio.SocketStream) -> None:
        self.app = app
        self.stream = stream
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        self.idle = trio.CancelScope()
        """The wait for a request's head, while there is one."""
        self.is_stopping = False
        self.is_gone = False
        """The caller has closed the connection, or it was lost."""
        self.method = ""
        """The method of the request in progress."""
        self.head: h11.Response | None = None
        """A response's head that is sent with the first bytes of its body."""

    def stop(self) -> None:
        """Close the connection after the response in progress, if any."""
        self.is_stopping = True
        self.idle.cancel()

    async def async_run(self) -> None:
        """Answer requests until the connection ends."""
        while not self.is_stopping:
            request = await self._async_next_request()
            if request is None:
                return
            await self._async_answer(request)
            if not await self._async_can_continue():
                return

    async def _async_next_request(self) -> h11.Request | None:
        """Return the next request; None if the connection ends, idles for long or is faulty."""
        with trio.CancelScope(deadline=trio.current_time() + KEEP_ALIVE_S) as self.idle:
            try:
                event = await self._async_next_event()
            except h11.RemoteProtocolError as err:
                await self._async_refuse(err.error_status_hint)
                return None
            if not isinstance(event, h11.Request):
                return None
            if event.http_version not in _VERSIONS:
                await self._async_refuse(_VERSION_NOT_SUPPORTED)
                return None
            return event
        return None

    async def _async_next_event(self) -> Any:
        """Return the next event of the request, and receive bytes for it where necessary."""
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.protocol.they_are_waiting_for_100_continue:
                await self._async_write(
                    self.protocol.send(h11.InformationalResponse(status_code=100, headers=[]))
                )
            self.protocol.receive_data(await self._async_read())

    async def _async_read(self) -> bytes:
        """Return received bytes; none if the caller has closed the connection."""
        try:
            return bytes(await self.stream.receive_some(RECEIVE_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.is_gone = True
            return b""

    async def _async_write(self, data: bytes | None) -> None:
        if self.is_gone or not data:
            return
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.is_gone = True

    async def _async_answer(self, request: h11.Request) -> None:
        """Let the application answer; its fault ends this connection only."""
        scope = _make_scope(request)
        self.method = scope["method"]
        try:
            await self.app(scope, self._async_receive, self._async_send)
        except Exception:
            _LOGGER.exception("error in a request", extra={"event": "request_crashed"})
            await self._async_refuse(500)

    async def _async_receive(self) -> Message:
        """Return the next part of the request's body, as ASGI defines it."""
        if self.protocol.their_state is not h11.SEND_BODY:
            return _GONE
        try:
            event = await self._async_next_event()
        except h11.RemoteProtocolError:
            return _GONE
        if isinstance(event, h11.Data):
            return {"type": "http.request", "body": bytes(event.data), "more_body": True}
        if isinstance(event, h11.EndOfMessage):
            return {"type": "http.request", "body": b"", "more_body": False}
        return _GONE

    async def _async_send(self, message: Message) -> None:
        """Send a part of the response, as ASGI defines it; the head goes out with the body."""
        if message["type"] == "http.response.start":
            headers = [*message["headers"], (b"date", _format_date(int(time.time())))]
            if self.is_stopping:
                headers.append((b"connection", b"close"))
            self.head = h11.Response(status_code=message["status"], headers=headers)
            return
        await self._async_write(self._encode(message))

    def _encode(self, message: Message) -> bytes:
        data = b""
        if self.head is not None:
            head, self.head = self.head, None
            data += self.protocol.send(head) or b""
        body = message.get("body", b"")
        if body and self.method != "HEAD":
            data += self.protocol.send(h11.Data(data=body)) or b""
        if not message.get("more_body", False):
            data += self.protocol.send(h11.EndOfMessage()) or b""
        return data

    async def _async_refuse(self, status: int) -> None:
        """Send an empty response, if none has been begun, after which the connection ends."""
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        data = self.protocol.send(h11.Response(status_code=status, headers=headers)) or b""
        await self._async_write(data + (self.protocol.send(h11.EndOfMessage()) or b""))

    async def _async_can_continue(self) -> bool:
        """Drop the rest of the request; return whether the connection can carry another."""
        with trio.move_on_after(SURPLUS_TIMEOUT_S):
            await self._async_drop_surplus()
        if self.is_gone or self.is_stopping:
            return False
        if (self.protocol.our_state, self.protocol.their_state) != (h11.DONE, h11.DONE):
            return False
        self.protocol.start_next_cycle()
        return True

    async def _async_drop_surplus(self) -> None:
        dropped = 0
        while self.protocol.their_state is h11.SEND_BODY and dropped < MAX_SURPLUS_BYTES:
            message = await self._async_receive()
            if message is _GONE:
                return
            dropped += len(message["body"])


def _make_scope(request: h11.Request) -> Message:
    raw_path, _, query = request.target.partition(b"?")
    return {
        "type": "http",
        "http_version": request.http_version.decode("ascii"),
        "method": request.method.decode("ascii").upper(),
        "scheme": "http",
        "path": unquote(raw_path.decode("ascii")),
        "raw_path": raw_path,
        "query_string": query,
        "headers": list(request.headers),
    }


@lru_cache(maxsize=1)
def _format_date(second: int) -> bytes:
    return formatdate(second, usegmt=True).encode("ascii")
