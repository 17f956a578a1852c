"""Sends a request to a target, and determines how far a failed attempt got."""

from __future__ import annotations

import base64
import hashlib
from dataclasses import dataclass, field
from typing import Any

import httpcore
import trio

from heatherkeel.helpers.asgi import Send as AsgiSend
from heatherkeel.requests.const import MAX_KEPT_ANSWER_CHARS
from heatherkeel.requests.effects import Send
from heatherkeel.requests.events import AttemptResult
from heatherkeel.requests.models import RecordedAnswer

from .connections import TargetConnections
from .const import MAX_BUFFERED_RESPONSE_BYTES, OUTCOME_HEADER
from .responses import RawHeaders, async_send_complete, response_headers_for_caller

_REQUEST_STARTED_EVENT = "send_request_headers.started"
_NOT_RUN = (OUTCOME_HEADER.encode(), b"not_run")
_CONNECTION_CLOSE = (b"connection", b"close")
_FAILURES = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


@dataclass(frozen=True, kw_only=True, slots=True)
class OutgoingRequest:
    """The request that each attempt sends to its target."""

    method: str
    raw_target: bytes
    headers: RawHeaders
    body: bytes
    record_response: bool
    """Whether the response is recorded, which needs its digest."""


@dataclass(kw_only=True)
class Attempt:
    """One attempt to send a request, with the response received so far."""

    sent: bool = False
    """Whether bytes of the request may have been sent."""
    status: int = 0
    headers: RawHeaders = field(default_factory=list)
    buffered: bytearray = field(default_factory=bytearray)
    """The response body so far, while nothing of it was sent to the caller."""
    streaming: bool = False
    """Whether a part of the response was sent to the caller."""
    result: AttemptResult = AttemptResult.TIMED_OUT
    leaving: bool = False
    """Whether the target refused and closed its connection, so it is shutting down."""
    digest: Any = field(default_factory=hashlib.sha256)
    size: int = 0

    async def async_trace(self, event: str, info: dict[str, Any]) -> None:
        """Handle a trace event of httpcore."""
        if event.endswith(_REQUEST_STARTED_EVENT):
            self.sent = True

    def recorded(self) -> RecordedAnswer:
        """Return the response as it is stored in the log."""
        body = base64.b64encode(self.buffered).decode()
        content_type = dict(self.headers).get(b"content-type", b"").decode("latin-1")
        return RecordedAnswer(
            http_status=self.status,
            content_type=content_type[:128],
            body=body if len(body) <= MAX_KEPT_ANSWER_CHARS and not self.streaming else "",
            body_sha256=self.digest.hexdigest(),
            body_bytes=self.size,
        )


class Sender:
    """Sends requests to targets over their connections."""

    def __init__(self, *, connections: TargetConnections) -> None:
        self.connections = connections

    async def async_send(self, outgoing: OutgoingRequest, effect: Send, send: AsgiSend) -> Attempt:
        """Make one attempt; a response too large to buffer is streamed to the caller."""
        attempt = Attempt()
        with trio.move_on_after(effect.timeout_ms / 1000):
            attempt.result = await self._async_try(attempt, outgoing, effect, send)
        if attempt.result is AttemptResult.TIMED_OUT:
            attempt.result = _classify_failure(attempt, AttemptResult.TIMED_OUT)
        return attempt

    async def _async_try(
        self, attempt: Attempt, outgoing: OutgoingRequest, effect: Send, send: AsgiSend
    ) -> AttemptResult:
        connections = self.connections.async_use(
            effect.target, effect.address, fresh=effect.fresh_connection
        )
        try:
            async with (
                connections as pool,
                pool.stream(
                    outgoing.method,
                    _url(effect.address, outgoing.raw_target),
                    headers=outgoing.headers,
                    content=outgoing.body,
                    extensions={"trace": attempt.async_trace},
                ) as response,
            ):
                return await _async_read(attempt, response, outgoing, effect, send)
        except _FAILURES:
            return _classify_failure(attempt, AttemptResult.BROKEN_AFTER_SEND)


def _classify_failure(attempt: Attempt, result: AttemptResult) -> AttemptResult:
    """Return the result of a failed attempt, depending on how far it got."""
    if not attempt.sent:
        return AttemptResult.CONNECT_FAILED
    return AttemptResult.BROKEN_IN_ANSWER if attempt.streaming else result


def _url(address: str, raw_target: bytes) -> httpcore.URL:
    host, _, port = address.partition(":")
    return httpcore.URL(scheme=b"http", host=host.encode(), port=int(port), target=raw_target)


async def _async_read(
    attempt: Attempt,
    response: httpcore.Response,
    outgoing: OutgoingRequest,
    effect: Send,
    send: AsgiSend,
) -> AttemptResult:
    """Read the response to its end; httpcore raises if it ends before its content length.

    A partial response must not look complete. It is buffered until it is complete; if one that
    is too large to buffer breaks off, the caller's connection is closed.
    """
    attempt.status = response.status
    lowercase_headers = {(name.lower(), value) for name, value in response.headers}
    refused = _NOT_RUN in lowercase_headers
    attempt.leaving = refused and _CONNECTION_CLOSE in lowercase_headers
    attempt.headers = response_headers_for_caller(effect.target, response.headers)
    async for part in response.aiter_stream():
        attempt.size += len(part)
        if outgoing.record_response:
            attempt.digest.update(part)
        await _async_buffer_or_stream(attempt, part, send)
    if attempt.streaming:
        await send({"type": "http.response.body", "body": b""})
    return AttemptResult.REFUSED_BEFORE_START if refused else AttemptResult.WHOLE_ANSWER


async def _async_buffer_or_stream(attempt: Attempt, part: bytes, send: AsgiSend) -> None:
    """Buffer or stream a part of the response; a slow caller slows the target down."""
    if not attempt.streaming and len(attempt.buffered) + len(part) <= MAX_BUFFERED_RESPONSE_BYTES:
        attempt.buffered += part
        return
    if not attempt.streaming:
        attempt.streaming = True
        start = {"type": "http.response.start", "status": attempt.status}
        await send({**start, "headers": attempt.headers})
        part = bytes(attempt.buffered) + part
        attempt.buffered.clear()
    await send({"type": "http.response.body", "body": part, "more_body": True})


async def async_send_buffered(send: AsgiSend, attempt: Attempt, *, is_head: bool) -> None:
    """Send a complete, buffered response to the caller."""
    if attempt.streaming:
        return
    await async_send_complete(
        send,
        status=attempt.status,
        headers=attempt.headers,
        body=bytes(attempt.buffered),
        is_head=is_head,
    )
