"""Detects that this process was paused, by a timer that is late."""

from __future__ import annotations

import logging
from collections.abc import Callable

from heatherkeel.helpers.clock import monotonic_ms

from .const import MIN_PAUSE_MS, PAUSE_CHECK_INTERVAL_MS
from .events import ClockGap

_LOGGER = logging.getLogger(__name__)


class PauseDetector:
    """Compares the monotonic clock from one timer call to the next."""

    def __init__(self, *, handle_event: Callable[[ClockGap], object]) -> None:
        self.handle_event = handle_event
        self.checked_ms = monotonic_ms()

    async def async_check(self) -> None:
        """Check the clock, and report a gap."""
        now_ms = monotonic_ms()
        late_ms = now_ms - self.checked_ms - PAUSE_CHECK_INTERVAL_MS
        self.checked_ms = now_ms
        if late_ms < MIN_PAUSE_MS:
            return
        _LOGGER.warning("paused", extra={"event": "clock_gap", "gap_ms": late_ms})
        self.handle_event(ClockGap(now_ms=now_ms, gap_ms=late_ms))
