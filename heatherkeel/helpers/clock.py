"""The clocks of this process, in milliseconds."""

from __future__ import annotations

import time
from typing import Final

CLOCK: Final = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Includes time in suspend where possible, so that a lease expires while the machine sleeps."""


def monotonic_ms() -> int:
    """Return the monotonic time in milliseconds."""
    return time.clock_gettime_ns(CLOCK) // 1_000_000


def wall_ms() -> int:
    """Return the time of day in milliseconds since 1970; it may jump."""
    return time.time_ns() // 1_000_000
