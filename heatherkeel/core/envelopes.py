"""Creates and encodes envelopes for record bodies."""

from __future__ import annotations

import uuid

import msgspec

from .const import DEFAULT_RECORD_LIFETIME_MS
from .models import Envelope, RecordBody
from .registry import KIND_OF_BODY

_ENCODER = msgspec.json.Encoder(order="sorted")


def new_record_id() -> str:
    """Return a unique record id."""
    return uuid.uuid4().hex


def seal(
    body: RecordBody,
    *,
    author: str,
    now_ms: int,
    record_id: str | None = None,
    lifetime_ms: int = DEFAULT_RECORD_LIFETIME_MS,
) -> Envelope:
    """Wrap a body in an envelope; `now_ms` is the newest log time known to the author."""
    return Envelope(
        id=record_id or new_record_id(),
        kind=KIND_OF_BODY[type(body)],
        author=author,
        not_after_ms=now_ms + lifetime_ms,
        body=msgspec.Raw(encode_body(body)),
    )


def encode_body(body: RecordBody) -> bytes:
    """Return the canonical bytes of a body; equal bodies give equal bytes."""
    return _ENCODER.encode(body)


def encode(envelope: Envelope) -> bytes:
    """Return the bytes that are appended to the log."""
    return _ENCODER.encode(envelope)
