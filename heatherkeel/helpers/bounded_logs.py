"""Non-blocking log output with bounded rate and buffer size."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from .clock import monotonic_ms

LINES_PER_SECOND: Final = 60
"""Maximum number of lines per second for one event."""
WINDOW_MS: Final = 1000
MAX_BUFFERED_BYTES: Final = 64 * 1024
"""Maximum size of the output buffer in bytes; lines that exceed it are dropped."""


@dataclass(kw_only=True, slots=True)
class EventWindow:
    """Counts the lines of one event in the current window."""

    began_ms: int
    written: int = 0
    left_out: int = 0


class LineLimiter(logging.Filter):
    """Limits the lines per second of each event, and reports how many were dropped."""

    def __init__(self, *, clock_ms: Callable[[], int] = monotonic_ms) -> None:
        super().__init__()
        self.clock_ms = clock_ms
        self.windows: dict[str, EventWindow] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is written."""
        event = str(record.__dict__.get("event", record.name))
        now_ms = self.clock_ms()
        window = self.windows.get(event)
        if window is None or now_ms - window.began_ms >= WINDOW_MS:
            if window is not None and window.left_out:
                record.left_out = window.left_out
            self.windows[event] = window = EventWindow(began_ms=now_ms)
        if window.written >= LINES_PER_SECOND and record.levelno < logging.CRITICAL:
            window.left_out += 1
            return False
        window.written += 1
        return True


class NonBlockingStream:
    """Writes complete lines to a file descriptor without blocking.

    A blocking write to a full pipe would stop the event loop, which serves callers and renews
    leases. Output is buffered up to a limit; further lines are dropped and counted.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.buffer = b""
        self.left_out = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Buffer a line, or drop it if the buffer is full."""
        data = text.encode()
        if self.left_out and len(self.buffer) < MAX_BUFFERED_BYTES // 2:
            data = f'{{"event": "lines_left_out", "count": {self.left_out}}}\n'.encode() + data
            self.left_out = 0
        if len(self.buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.left_out += 1
        else:
            self.buffer += data
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self.buffer:
            try:
                written = os.write(self.descriptor, self.buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the error can't be reported.
                self.buffer = b""
                return
            self.buffer = self.buffer[written:]
