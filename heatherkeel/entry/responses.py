"""Responses to callers: a target's, a recorded one, or a refusal with its reason."""

from __future__ import annotations

import base64
import math
from typing import Final

from heatherkeel.helpers.asgi import Send as AsgiSend
from heatherkeel.helpers.asgi import async_respond, async_respond_problem
from heatherkeel.requests.effects import Refuse, Replay
from heatherkeel.requests.reasons import Outcome, RefusalReason

from .const import (
    HOP_BY_HOP_HEADERS,
    OUTCOME_HEADER,
    REASON_HEADER,
    REPLAYED_HEADER,
    TARGET_HEADER,
)

RawHeaders = list[tuple[bytes, bytes]]

STATUS_OF_REFUSAL: Final = {
    RefusalReason.BAD_HEADER: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.BODY_TOO_SLOW: 408,
    RefusalReason.NO_SERVICE: 404,
    RefusalReason.KEY_CONFLICT: 422,
    RefusalReason.KEY_IN_PROGRESS: 409,
    RefusalReason.KEY_OUTCOME_UNKNOWN: 409,
    RefusalReason.KEY_ANSWER_NOT_KEPT: 409,
    RefusalReason.BROKEN_AFTER_SEND: 502,
    RefusalReason.TIMED_OUT: 504,
    RefusalReason.DEADLINE: 504,
}
"""HTTP status by refusal reason; the default is 503."""

TITLES: Final = {
    Outcome.RAN: "It ran, but its answer was not kept",
    Outcome.NOT_RUN: "It was not run",
    Outcome.UNKNOWN: "It may have run",
}

_REMOVED_HEADERS: Final = frozenset(name.encode() for name in HOP_BY_HOP_HEADERS) | {
    OUTCOME_HEADER.encode(),
    TARGET_HEADER.encode(),
    # The server sets its own date.
    b"date",
}


def response_headers_for_caller(target: str, headers: RawHeaders) -> RawHeaders:
    """Return the headers of a target's response as they are sent to the caller."""
    kept = [
        (name.lower(), value) for name, value in headers if name.lower() not in _REMOVED_HEADERS
    ]
    kept.append((OUTCOME_HEADER.encode(), Outcome.RAN.value.encode()))
    kept.append((TARGET_HEADER.encode(), target.encode()))
    return kept


async def async_send_complete(
    send: AsgiSend, *, status: int, headers: RawHeaders, body: bytes, is_head: bool
) -> None:
    """Send a complete response; a response to HEAD keeps the target's content length."""
    if not is_head:
        headers = [item for item in headers if item[0] != b"content-length"]
        headers.append((b"content-length", str(len(body)).encode()))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def async_refuse(send: AsgiSend, effect: Refuse) -> None:
    """Send a refusal with its reason and, if known, the time after which to retry."""
    headers = {OUTCOME_HEADER: effect.outcome.value, REASON_HEADER: effect.reason.value}
    if effect.retry_after_ms:
        headers["retry-after"] = str(math.ceil(effect.retry_after_ms / 1000))
    await async_respond_problem(
        send,
        status=STATUS_OF_REFUSAL.get(effect.reason, 503),
        kind=effect.reason.value,
        title=TITLES[effect.outcome],
        detail=effect.detail,
        headers=headers,
        extra={"outcome": effect.outcome.value, "retry_after_ms": effect.retry_after_ms},
    )


async def async_replay(send: AsgiSend, effect: Replay) -> None:
    """Send the recorded response to the first request with the same idempotency key."""
    headers = {OUTCOME_HEADER: Outcome.RAN.value, REPLAYED_HEADER: "true"}
    await async_respond(
        send,
        status=effect.answer.http_status,
        body=base64.b64decode(effect.answer.body),
        content_type=effect.answer.content_type,
        headers=headers,
    )
