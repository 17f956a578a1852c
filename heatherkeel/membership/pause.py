"""Notices that this process was paused, by the lateness of its own timer."""

from __future__ import annotations

import logging
from collections.abc import Callable

from heatherkeel.helpers.clock import monotonic_ms

from .const import PAUSE_BOUND_MS, PAUSE_CHECK_INTERVAL_MS
from .events import ClockGap

_LOGGER = logging.getLogger(__name__)


class PauseWatch:
    """Compares the monotonic clock from one timer call to the next."""

    def __init__(self, *, take: Callable[[ClockGap], object]) -> None:
        self.take = take
        self.seen_ms = monotonic_ms()

    async def async_check(self) -> None:
        """Look at the clock, and tell a gap."""
        now_ms = monotonic_ms()
        late_ms = now_ms - self.seen_ms - PAUSE_CHECK_INTERVAL_MS
        self.seen_ms = now_ms
        if late_ms < PAUSE_BOUND_MS:
            return
        _LOGGER.warning("paused", extra={"event": "clock_gap", "gap_ms": late_ms})
        self.take(ClockGap(now_ms=now_ms, gap_ms=late_ms))
