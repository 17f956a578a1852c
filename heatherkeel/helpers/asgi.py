"""ASGI helpers that are shared by all HTTP servers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Final, Protocol
from urllib.parse import parse_qs

import msgspec
import trio
from result import Err, Ok, Result

Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Message, Receive, Send], Awaitable[None]]

PROBLEM_TYPE: Final = "application/problem+json"
JSON_TYPE: Final = "application/json"
CLOSE_HEADER: Final = (b"connection", b"close")
ACCOUNT_KEY: Final = "heatherkeel_account"
"""Key of a request's account in the state of its ASGI scope."""
MAX_LENGTH_DIGITS: Final = 18
"""Maximum number of digits of a body's length; Python refuses to convert some thousands."""
BODY_TIMEOUT_S: Final = 10.0
"""Timeout for a request's body, in seconds, where its caller doesn't wait for longer."""
_ENCODER = msgspec.json.Encoder(order="sorted")


class ClientGoneError(Exception):
    """The caller closed its connection before its request was read completely."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BodyTooLarge:
    """The request's body is longer than `limit_bytes`."""

    limit_bytes: int


@dataclass(frozen=True, kw_only=True, slots=True)
class BodyTooSlow:
    """The request's body hasn't arrived completely within `timeout_s` seconds."""

    timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class NoMemory:
    """There is no memory left for the request; other requests hold it."""


BodyFault = BodyTooLarge | BodyTooSlow | NoMemory


class Account(Protocol):
    """Accounts for the memory that a request holds."""

    def take(self, size: int) -> bool:
        """Hold some more bytes; False if there is no room for them."""

    def fits(self, size: int) -> bool:
        """Return whether a request may ever hold so many bytes."""


class UnlimitedAccount:
    """Accounts for requests of servers that don't limit their memory."""

    def take(self, size: int) -> bool:
        """Hold some more bytes."""
        return True

    def fits(self, size: int) -> bool:
        """Return whether a request may ever hold so many bytes."""
        return True


@dataclass(kw_only=True, slots=True)
class Request:
    """One HTTP request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    raw_target: bytes
    receive: Receive = field(repr=False)
    account: Account = field(default_factory=UnlimitedAccount, repr=False)

    async def async_body(
        self, *, limit_bytes: int, timeout_s: float = BODY_TIMEOUT_S
    ) -> Result[bytes, BodyFault]:
        """Read the whole body; raises `ClientGoneError` if the caller disconnects first.

        A body whose declared length is over the limit isn't read.
        """
        if self._declared_bytes() > limit_bytes:
            return Err(BodyTooLarge(limit_bytes=limit_bytes))
        with trio.move_on_after(timeout_s):
            return await self._async_read(limit_bytes)
        return Err(BodyTooSlow(timeout_s=timeout_s))

    async def _async_read(self, limit_bytes: int) -> Result[bytes, BodyFault]:
        # Joined at once: a list would take many times the bytes of very small pieces.
        body = bytearray()
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                raise ClientGoneError
            part = message.get("body", b"")
            if len(body) + len(part) > limit_bytes:
                return Err(BodyTooLarge(limit_bytes=limit_bytes))
            # Twice: its copy as bytes is counted from the start.
            if not self.account.take(2 * len(part)):
                return Err(NoMemory())
            body += part
            if not message.get("more_body", False):
                return Ok(bytes(body))

    def _declared_bytes(self) -> int:
        declared = self.headers.get("content-length", "")
        return int(declared) if declared.isdecimal() and len(declared) <= MAX_LENGTH_DIGITS else 0


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
        account=scope.get("state", {}).get(ACCOUNT_KEY) or UnlimitedAccount(),
    )


def _join_headers(raw: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Combine repeated headers into one value, as RFC 9110 (5.3) allows."""
    headers: dict[str, str] = {}
    for raw_name, raw_value in raw:
        name, value = raw_name.decode("latin-1").lower(), raw_value.decode("latin-1")
        separator = "; " if name == "cookie" else ", "
        headers[name] = f"{headers[name]}{separator}{value}" if name in headers else value
    return headers


def add_close_header(headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return a response's headers with the one that closes its connection."""
    return headers if CLOSE_HEADER in headers else [*headers, CLOSE_HEADER]


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
