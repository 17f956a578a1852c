"""Reads a trace; a bad line is told by its number."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

import heatherkeel.subjects  # noqa: F401
from heatherkeel.core.registry import RECORD_KINDS
from heatherkeel.waves.policy import POLICIES

from .const import MAX_LINE_BYTES, MAX_TRACE_MS
from .errors import TraceError
from .models import Event, Fakes, Record

_DECODER: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)


def replay_schema() -> dict[str, Any]:
    """Return the JSON Schema of one line of a trace."""
    return msgspec.json.schema(Event)


def read_trace(path: Path) -> Result[list[Event], TraceError]:
    """Read and check a whole trace."""
    try:
        with path.open("rb") as lines:
            return parse_trace(lines)
    except OSError as err:
        return Err(TraceError(line=0, reason=err.strerror or str(err)))


def parse_trace(lines: Iterable[bytes]) -> Result[list[Event], TraceError]:
    """Check the lines of a trace; empty ones are passed over."""
    events: list[Event] = []
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            event = _decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
            return Err(TraceError(line=number, reason=str(err)))
        reason = _find_fault(event, events)
        if reason:
            return Err(TraceError(line=number, reason=reason))
        events.append(event)
    if not events:
        return Err(TraceError(line=0, reason="the trace has no events"))
    return Ok(events)


def _decode(line: bytes) -> Event:
    if len(line) > MAX_LINE_BYTES:
        raise msgspec.ValidationError(f"the line is longer than {MAX_LINE_BYTES} bytes")
    return _DECODER.decode(line)


def _find_fault(event: Event, earlier: list[Event]) -> str:
    """Return what is wrong with an event beyond its shape, in words."""
    if earlier and event.at_ms < earlier[-1].at_ms:
        return f"at_ms {event.at_ms} is before {earlier[-1].at_ms}"
    if earlier and event.at_ms - earlier[0].at_ms > MAX_TRACE_MS:
        return f"the trace spans more than {MAX_TRACE_MS} ms"
    if isinstance(event, Fakes) and event.policy not in POLICIES:
        return f"policy {event.policy!r} is none of {', '.join(sorted(POLICIES))}"
    if isinstance(event, Record):
        return _find_record_fault(event)
    return ""


def _find_record_fault(event: Record) -> str:
    kind = RECORD_KINDS.get(event.kind)
    if kind is None:
        return f"kind {event.kind!r} is unknown"
    try:
        msgspec.convert(event.body, kind.body_type)
    except msgspec.ValidationError as err:
        return f"body of {event.kind}: {err}"
    return ""
