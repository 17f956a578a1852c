"""Reads a caller's request: its options, its body and the headers to forward."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from result import Err, Ok, Result

from heatherkeel.helpers.asgi import BodyFault, BodyTooLarge, BodyTooSlow, NoMemory, Request
from heatherkeel.requests.const import MAX_KEY_CHARS
from heatherkeel.requests.local import RoutingState
from heatherkeel.requests.reasons import RefusalReason
from heatherkeel.requests.targets import find_service

from .const import DEADLINE_HEADER, HOP_BY_HOP_HEADERS, KEY_HEADER
from .sender import OutgoingRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerOptions:
    """Options from the caller's headers; `deadline_ms` 0 means the service's deadline."""

    key: str = ""
    deadline_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRequest:
    """A request whose body was read completely."""

    options: CallerOptions
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class InvalidInput:
    """Why a request is not accepted."""

    reason: RefusalReason
    detail: str


async def async_read(routing: RoutingState, request: Request) -> Result[ReadRequest, InvalidInput]:
    """Read the options and the body; the body is skipped if no service matches the path."""
    options = read_options(request.headers)
    if isinstance(options, Err):
        return Err(InvalidInput(reason=RefusalReason.BAD_HEADER, detail=options.err_value))
    service = find_service(routing, request.path)
    if service is None:
        return Ok(ReadRequest(options=options.ok_value, body=b""))
    limit_bytes = routing.services[service].limits.max_body_bytes
    body = await request.async_body(limit_bytes=limit_bytes)
    if isinstance(body, Err):
        return Err(_describe_fault(body.err_value))
    return Ok(ReadRequest(options=options.ok_value, body=body.ok_value))


def _describe_fault(fault: BodyFault) -> InvalidInput:
    match fault:
        case BodyTooLarge(limit_bytes=limit):
            detail = f"at most {limit} bytes are taken"
            return InvalidInput(reason=RefusalReason.BODY_TOO_LARGE, detail=detail)
        case BodyTooSlow(timeout_s=timeout_s):
            detail = f"waited {timeout_s:g} s for the body"
            return InvalidInput(reason=RefusalReason.BODY_TOO_SLOW, detail=detail)
        case NoMemory():
            detail = "other requests hold the memory for requests"
            return InvalidInput(reason=RefusalReason.NO_MEMORY, detail=detail)


def read_options(headers: dict[str, str]) -> Result[CallerOptions, str]:
    """Parse the caller's options, or return a description of the invalid header."""
    key = headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_CHARS:
        return Err(f"{KEY_HEADER} has {len(key)} characters, at most {MAX_KEY_CHARS} are taken")
    deadline = headers.get(DEADLINE_HEADER, "0")
    if not (deadline.isascii() and deadline.isdigit() and len(deadline) <= 9):
        return Err(f"{DEADLINE_HEADER} is not a whole number of milliseconds")
    return Ok(CallerOptions(key=key, deadline_ms=int(deadline)))


def outgoing_headers(headers: dict[str, str]) -> list[tuple[bytes, bytes]]:
    """Return the headers to forward to the target, without hop-by-hop headers."""
    listed = headers.get("connection", "").lower().split(",")
    dropped = HOP_BY_HOP_HEADERS.union(name.strip() for name in listed)
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.items()
        if name not in dropped
    ]


def fingerprint(outgoing: OutgoingRequest) -> str:
    """Return a digest that detects a different request under the same idempotency key."""
    digest = hashlib.sha256()
    for part in (outgoing.method.encode(), outgoing.raw_target, outgoing.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
