"""Log lines on a stream whose reader may be slow or gone: bounded, and never waited for."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from .clock import monotonic_ms

LINES_PER_SECOND: Final = 60
"""Lines of one event a second at the most. A queue's turn brings some 25 jobs a second to one
process; whatever comes more often than this says the same again."""
WINDOW_MS: Final = 1000
MAX_WAITING_BYTES: Final = 64 * 1024
"""What may wait for a slow reader, in bytes; beyond it lines are left out."""


@dataclass(kw_only=True, slots=True)
class EventWindow:
    """Lines of one event in the current second."""

    began_ms: int
    written: int = 0
    left_out: int = 0


class LineLimiter(logging.Filter):
    """Lets so many lines of each event through a second, and tells how many were left out."""

    def __init__(self, *, clock_ms: Callable[[], int] = monotonic_ms) -> None:
        super().__init__()
        self.clock_ms = clock_ms
        self.windows: dict[str, EventWindow] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Say whether a line is written."""
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
    """Writes whole lines to a descriptor without ever waiting for its reader.

    A pipe whose reader stands still fills up, and a plain write would stop the one loop that
    serves callers and renews leases. What doesn't fit waits up to a bound; then lines are left
    out, whole, and the next one that fits tells how many.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.waiting = b""
        self.left_out = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Take a line, or leave it out."""
        data = text.encode()
        if self.left_out and len(self.waiting) < MAX_WAITING_BYTES // 2:
            data = f'{{"event": "lines_left_out", "count": {self.left_out}}}\n'.encode() + data
            self.left_out = 0
        if len(self.waiting) + len(data) > MAX_WAITING_BYTES:
            self.left_out += 1
        else:
            self.waiting += data
        return len(text)

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        while self.waiting:
            try:
                written = os.write(self.descriptor, self.waiting)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is nowhere left to tell of it.
                self.waiting = b""
                return
            self.waiting = self.waiting[written:]
