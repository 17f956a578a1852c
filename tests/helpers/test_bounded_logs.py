"""Tests of non-blocking, rate-limited log output."""

from __future__ import annotations

import logging
import os
import time

import msgspec

from heatherkeel.helpers.bounded_logs import (
    LINES_PER_SECOND,
    MAX_BUFFERED_BYTES,
    LineLimiter,
    NonBlockingStream,
)


def make_record(event: str) -> logging.LogRecord:
    """Return a log record for an event."""
    record = logging.LogRecord("name", logging.INFO, "", 0, "text", (), None)
    record.event = event
    return record


def test_frequent_event_is_limited_and_counted() -> None:
    now_ms = 0
    limiter = LineLimiter(clock_ms=lambda: now_ms)
    passed = sum(limiter.filter(make_record("often")) for _ in range(LINES_PER_SECOND + 5))
    assert passed == LINES_PER_SECOND
    assert limiter.filter(make_record("other"))
    now_ms = 1000
    record = make_record("often")
    assert limiter.filter(record)
    assert record.__dict__["left_out"] == 5


def test_stalled_reader_does_not_block_writes() -> None:
    """A blocking write to a full pipe would stop the event loop; lines are dropped instead."""
    reader, writer = os.pipe()
    stream = NonBlockingStream(writer)
    line = "x" * 999 + "\n"
    began = time.monotonic()
    for _ in range(2000):
        stream.write(line)
        stream.flush()
    assert time.monotonic() - began < 5.0
    assert stream.left_out > 0 and len(stream.buffer) <= MAX_BUFFERED_BYTES
    os.set_blocking(reader, False)
    read = b""
    for _ in range(100):
        try:
            read += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        stream.flush()
    left_out = stream.left_out
    stream.write("last\n")
    stream.flush()
    read += os.read(reader, 1 << 20)
    lines = read.decode().splitlines()
    assert set(lines[:-2]) == {"x" * 999}
    assert msgspec.json.decode(lines[-2]) == {"event": "lines_left_out", "count": left_out}
    assert lines[-1] == "last"


def test_closed_reader_only_drops_lines() -> None:
    reader, writer = os.pipe()
    stream = NonBlockingStream(writer)
    os.close(reader)
    stream.write("line\n")
    stream.flush()
    assert stream.buffer == b""
