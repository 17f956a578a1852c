"""Serves a stand-in's answers over HTTP."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import trio
from result import Err

from heatherkeel.helpers.asgi import (
    App,
    Message,
    Receive,
    Request,
    Send,
    async_run_lifespan,
    parse_request,
)

from .keyed_log import Answer
from .link import PIECE_BYTES, Link

_BODY_BYTES: Final = 4 * 1024 * 1024

Handle = Callable[[Request, bytes], Awaitable[Answer]]


def make_app(handle: Handle, *, link: Link | None = None) -> App:
    """Return an application that gives each request and its body to `handle`."""

    async def async_app(scope: Message, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            return await async_run_lifespan(receive, send)
        request = parse_request(scope, receive)
        body = await request.async_body(limit_bytes=_BODY_BYTES)
        data = b"" if isinstance(body, Err) else body.ok_value
        answer = await handle(request, data)
        return await _async_respond(answer, receive, send, link or Link())

    return async_app


async def _async_respond(answer: Answer, receive: Receive, send: Send, link: Link) -> None:
    """Send an answer over a link, until the caller closes its connection."""
    content = answer.content()
    sent = content if answer.cut_at is None else content[: answer.cut_at]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_async_cancel_at_disconnect, receive, nursery.cancel_scope)
        length = str(len(content)).encode()
        headers = [(b"content-type", b"application/json"), (b"content-length", length)]
        await send({"type": "http.response.start", "status": answer.status, "headers": headers})
        for place in range(0, len(sent), PIECE_BYTES):
            piece = sent[place : place + PIECE_BYTES]
            await link.async_pass(len(piece))
            await send({"type": "http.response.body", "body": piece, "more_body": True})
        # The server closes the connection of an answer that isn't whole.
        if len(sent) == len(content):
            await send({"type": "http.response.body", "body": b""})
        nursery.cancel_scope.cancel()


async def _async_cancel_at_disconnect(receive: Receive, scope: trio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
