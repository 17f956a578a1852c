"""Refuses requests that are over a server's limits before the application sees them."""

from __future__ import annotations

from collections.abc import Mapping

from heatherkeel.helpers.asgi import (
    ACCOUNT_KEY,
    App,
    Message,
    Receive,
    Send,
    add_close_header,
    async_respond_problem,
)

from .const import MAX_HEADER_BYTES, RETRY_AFTER_S
from .models import RequestRefusal
from .table import ConnectionTable, OpenConnection

CONNECTION_KEY = "heatherkeel_connection"
"""Key of a request's connection in its ASGI scope's state."""


class GuardedApp:
    """Calls the application for requests within the limits, and accounts for what they hold."""

    def __init__(
        self, *, app: App, table: ConnectionTable, refusal_headers: Mapping[str, str]
    ) -> None:
        self.app = app
        self.table = table
        self.refusal_headers = refusal_headers
        """Headers of the answers to requests that the application doesn't see."""

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            return await self.app(scope, receive, send)
        size = _header_size(scope)
        if size > MAX_HEADER_BYTES:
            # hypercorn checks its own limit only for incomplete headers, so it would accept or
            # reject the same request depending on timing.
            self.table.count_refusal(RequestRefusal.HEADERS_TOO_LARGE)
            return await self._async_refuse_headers(send, size)
        if not self.table.has_room_for_request():
            self.table.count_refusal(RequestRefusal.BUSY)
            return await self._async_refuse_busy(send)
        return await self._async_serve(scope, receive, send)

    async def _async_serve(self, scope: Message, receive: Receive, send: Send) -> None:
        connection: OpenConnection = scope["state"][CONNECTION_KEY]
        account = connection.account = self.table.open_account()
        scope["state"][ACCOUNT_KEY] = account

        async def async_send(message: Message) -> None:
            if message["type"] == "http.response.start" and self.table.is_pressed():
                message["headers"] = add_close_header(message["headers"])
            if message["type"] == "http.response.body":
                account.take_in_any_case(len(message.get("body", b"")))
            await send(message)

        self.table.requests += 1
        try:
            await self.app(scope, receive, async_send)
        finally:
            self.table.requests -= 1
            account.close()
            connection.account = None

    async def _async_refuse_headers(self, send: Send, size: int) -> None:
        await async_respond_problem(
            send,
            status=431,
            kind=RequestRefusal.HEADERS_TOO_LARGE.value,
            title="The headers are too large",
            detail=f"{size} bytes, at most {MAX_HEADER_BYTES} are taken",
            headers={"connection": "close", **self.refusal_headers},
        )

    async def _async_refuse_busy(self, send: Send) -> None:
        headers = {"connection": "close", "retry-after": str(RETRY_AFTER_S)}
        await async_respond_problem(
            send,
            status=503,
            kind=RequestRefusal.BUSY.value,
            title="Too many requests are in progress; this one was not run",
            headers={**headers, **self.refusal_headers},
        )


def _header_size(scope: Message) -> int:
    fields = sum(len(name) + len(value) for name, value in scope["headers"])
    return fields + len(scope["raw_path"]) + len(scope["query_string"])
