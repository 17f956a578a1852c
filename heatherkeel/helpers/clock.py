"""Monotonic time of this process."""

from __future__ import annotations

import time


def monotonic_ms() -> int:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000
