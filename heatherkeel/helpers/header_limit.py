"""Rejects requests with too large headers, alike in every server."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from .asgi import App, Message, Receive, Send, async_respond_problem

MAX_HEADER_BYTES: Final = 16 * 1024
"""Maximum size of the request target and headers in bytes; a larger request gets 431."""


def limit_headers(app: App, on_refusal: Callable[[], None]) -> App:
    """Reject requests with too large headers, and call `on_refusal` for each.

    The servers check their own limit only for incomplete headers, so they would accept or reject
    the same request depending on timing.
    """

    async def async_limited(scope: Message, receive: Receive, send: Send) -> None:
        size = _header_size(scope) if scope["type"] == "http" else 0
        if size <= MAX_HEADER_BYTES:
            return await app(scope, receive, send)
        on_refusal()
        return await async_respond_problem(
            send,
            status=431,
            kind="headers_too_large",
            title="The headers are too large",
            detail=f"{size} bytes, at most {MAX_HEADER_BYTES} are taken",
            headers={"connection": "close"},
        )

    return async_limited


def _header_size(scope: Message) -> int:
    fields = sum(len(name) + len(value) for name, value in scope["headers"])
    return fields + len(scope["raw_path"]) + len(scope["query_string"])
