"""The clocks of this process, in milliseconds."""

from __future__ import annotations

import time
from typing import Final

CLOCK: Final = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Goes on while the machine is suspended. The plain monotonic clock stands still then, and a
lease would seem as fresh as before: its holder would send to targets that are stopped by now."""


def monotonic_ms() -> int:
    """Return the monotonic clock in milliseconds."""
    return time.clock_gettime_ns(CLOCK) // 1_000_000


def wall_ms() -> int:
    """Return the time of day in milliseconds since 1970; it may jump."""
    return time.time_ns() // 1_000_000
