"""HTTP/1.1 without upgrades, on hypercorn's protocol.

hypercorn would also speak HTTP/2 and WebSockets to any client that begins to, and these are beyond
the limits here. The parts that are replaced aren't public; `tests/http_server/test_library.py`
fails if a later version changes them.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Final

import h11
import trio
from hypercorn.config import Config
from hypercorn.events import Closed
from hypercorn.protocol.events import EndBody, Event, Request
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream
from hypercorn.trio.task_group import TaskGroup, _handle
from hypercorn.typing import AppWrapper, ASGIReceiveEvent, ASGISendEvent, Scope

from .models import Phase, RequestRefusal
from .table import OpenConnection

HTTP_VERSIONS: Final = (b"1.0", b"1.1")
_STATUS: Final = {RequestRefusal.TOO_MANY_FIELDS: 431, RequestRefusal.WRONG_VERSION: 505}


class RequestStream(HTTPStream):
    """One request; records when it has been received completely."""

    connection: OpenConnection

    async def handle(self, event: Event) -> None:
        """Handle a part of the request, or its end."""
        if isinstance(event, EndBody) and not self.closed:
            self.connection.enter(Phase.RUNNING, trio.current_time())
        await super().handle(event)


class Http11Protocol(H11Protocol):
    """Serves HTTP/1.0 and 1.1, and ignores requests to upgrade."""

    open_connection: OpenConnection
    max_fields: int
    on_refusal: Callable[[RequestRefusal], None]

    async def _check_protocol(self, event: h11.Request) -> None:
        """Speak no other protocol."""

    async def _create_stream(self, request: h11.Request) -> None:
        refusal = self._find_refusal(request)
        if refusal is not None:
            self.on_refusal(refusal)
            self.open_connection.enter(Phase.CLOSING, trio.current_time())
            await self._send_error_response(_STATUS[refusal])
            await self.send(Closed())
            return
        self.open_connection.enter(Phase.BODY, trio.current_time())
        stream = RequestStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            STREAM_ID,
        )
        stream.connection = self.open_connection
        self.stream = stream
        await stream.handle(
            Request(
                stream_id=STREAM_ID,
                headers=list(request.headers),
                http_version=request.http_version.decode(),
                method=request.method.decode("ascii").upper(),
                raw_path=request.target,
                state=self.connection_state,
            )
        )
        self.keep_alive_requests += 1

    def _find_refusal(self, request: h11.Request) -> RequestRefusal | None:
        if request.http_version not in HTTP_VERSIONS:
            return RequestRefusal.WRONG_VERSION
        if len(request.headers) > self.max_fields:
            return RequestRefusal.TOO_MANY_FIELDS
        return None

    async def _maybe_recycle(self) -> None:
        self.open_connection.enter(Phase.CLOSING, trio.current_time())
        await super()._maybe_recycle()
        if self.connection.our_state is h11.IDLE:
            self.open_connection.enter(Phase.IDLE, trio.current_time())

    def has_unread_input(self) -> bool:
        """Return whether the client may still be sending what nobody will read."""
        their_state = self.connection.their_state
        is_complete = their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        return not is_complete or bool(self.connection.trailing_data[0])


class BoundedTaskGroup(TaskGroup):
    """Keeps at most one message that the application hasn't read.

    hypercorn's own queue holds ten; an application that answers without reading them would leave
    the connection waiting for ever.
    """

    async def spawn_app(
        self,
        app: AppWrapper,
        config: Config,
        scope: Scope,
        send: Callable[[ASGISendEvent | None], Awaitable[None]],
    ) -> Callable[[ASGIReceiveEvent], Awaitable[None]]:
        """Start the application for one request; returns what passes messages to it."""
        sender, receiver = trio.open_memory_channel[Any](1)

        async def async_receive() -> Any:
            try:
                return await receiver.receive()
            except trio.EndOfChannel:
                return {"type": "http.disconnect"}

        async def async_put(message: Any) -> None:
            if message["type"] == "http.disconnect":
                # Unlike a message, this doesn't wait for an application that reads no more.
                sender.close()
                return
            try:
                await sender.send(message)
            except trio.ClosedResourceError:
                return

        assert self._nursery is not None, "entered before requests arrive"
        self._nursery.start_soon(
            _handle,
            app,
            config,
            scope,
            async_receive,
            send,
            trio.to_thread.run_sync,
            trio.from_thread.run,
        )
        return async_put
