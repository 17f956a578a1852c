"""Estimates the log's time between answers of the platform."""

from __future__ import annotations

from heatherkeel.helpers.clock import monotonic_ms


class LogClock:
    """The newest log time that was heard, moved on by the monotonic clock."""

    def __init__(self) -> None:
        self.heard_log_ms = 0
        self.heard_at_ms = monotonic_ms()

    def hear(self, log_ms: int) -> None:
        """Take the log's time from an answer of the platform."""
        if log_ms < self.now_ms():
            return
        self.heard_log_ms = log_ms
        self.heard_at_ms = monotonic_ms()

    def now_ms(self) -> int:
        """Return the estimated log time in milliseconds."""
        return self.heard_log_ms + monotonic_ms() - self.heard_at_ms
