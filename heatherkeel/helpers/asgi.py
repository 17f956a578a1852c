"""ASGI helpers that are shared by all HTTP servers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Final
from urllib.parse import parse_qs

import msgspec
from result import Err, Ok, Result

Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Message, Receive, Send], Awaitable[None]]

PROBLEM_TYPE: Final = "application/problem+json"
JSON_TYPE: Final = "application/json"
_ENCODER = msgspec.json.Encoder(order="sorted")


class ClientGoneError(Exception):
    """The caller closed its connection before its request was read completely."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BodyTooLarge:
    """The request's body is longer than `limit_bytes`."""

    limit_bytes: int


@dataclass(kw_only=True, slots=True)
class Request:
    """One HTTP request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    raw_target: bytes
    receive: Receive = field(repr=False)

    async def async_body(self, *, limit_bytes: int) -> Result[bytes, BodyTooLarge]:
        """Read the whole body; raises `ClientGoneError` if the caller disconnects first."""
        parts: list[bytes] = []
        size = 0
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                raise ClientGoneError
            part = message.get("body", b"")
            size += len(part)
            if size > limit_bytes:
                return Err(BodyTooLarge(limit_bytes=limit_bytes))
            parts.append(part)
            if not message.get("more_body", False):
                return Ok(b"".join(parts))


def parse_request(scope: Message, receive: Receive) -> Request:
    """Create a `Request` from an ASGI scope of type `http`."""
    query = parse_qs(scope["query_string"].decode("latin-1"))
    suffix = b"?" + scope["query_string"] if scope["query_string"] else b""
    return Request(
        method=scope["method"],
        path=scope["path"],
        query={name: values[-1] for name, values in query.items()},
        headers=_join_headers(scope["headers"]),
        raw_target=scope["raw_path"] + suffix,
        receive=receive,
    )


def _join_headers(raw: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Combine repeated headers into one value, as RFC 9110 (5.3) allows."""
    headers: dict[str, str] = {}
    for raw_name, raw_value in raw:
        name, value = raw_name.decode("latin-1").lower(), raw_value.decode("latin-1")
        separator = "; " if name == "cookie" else ", "
        headers[name] = f"{headers[name]}{separator}{value}" if name in headers else value
    return headers


async def async_respond(
    send: Send,
    *,
    status: int,
    body: bytes = b"",
    content_type: str = JSON_TYPE,
    headers: Mapping[str, str] | None = None,
) -> None:
    """Send a complete response."""
    fields = {"content-type": content_type, "content-length": str(len(body)), **(headers or {})}
    raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in fields.items()]
    await send({"type": "http.response.start", "status": status, "headers": raw})
    await send({"type": "http.response.body", "body": body})


async def async_respond_json(
    send: Send, value: Any, *, status: int = 200, headers: Mapping[str, str] | None = None
) -> None:
    """Send a value as JSON."""
    await async_respond(send, status=status, body=_ENCODER.encode(value), headers=headers)


async def async_respond_problem(
    send: Send,
    *,
    status: int,
    kind: str,
    title: str,
    detail: str = "",
    headers: Mapping[str, str] | None = None,
    extra: Mapping[str, Any] | None = None,
) -> None:
    """Send an error as `application/problem+json` (RFC 9457)."""
    problem: dict[str, Any] = {
        "type": f"urn:heatherkeel:problem:{kind}",
        "title": title,
        "status": status,
        **(extra or {}),
    }
    if detail:
        problem["detail"] = detail
    await async_respond(
        send,
        status=status,
        body=_ENCODER.encode(problem),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


async def async_run_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the server's startup and shutdown messages."""
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif message["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return
