"""Estimates the log's time between answers of the platform."""

from __future__ import annotations

from heatherkeel.helpers.clock import monotonic_ms


class LogClock:
    """The newest log time that was heard, moved on by the monotonic clock.

    The log's time can stand still for long, after a step of the platform's own clock: the log
    holds the highest time until the clock has come up to it again. An estimate that only ever
    rose would then run ahead of the log without bound, and records sealed by it would be refused
    as living too long. So a lower time is believed, unless a newer one was heard before.
    """

    def __init__(self) -> None:
        self.heard_log_ms = 0
        self.heard_at_ms = monotonic_ms()
        self.answers = 0
        """Answers of the platform so far."""

    @property
    def is_known(self) -> bool:
        """Say whether any log time was heard yet."""
        return self.heard_log_ms > 0

    def hear(self, log_ms: int) -> None:
        """Take the log's time from an answer of the platform."""
        self.answers += 1
        self.hear_record(log_ms)

    def hear_record(self, log_ms: int) -> None:
        """Take the log's time from a record that did not come from the platform itself."""
        if log_ms < self.heard_log_ms:
            return
        self.heard_log_ms = log_ms
        self.heard_at_ms = monotonic_ms()

    def now_ms(self) -> int:
        """Return the estimated log time in milliseconds."""
        return self.heard_log_ms + monotonic_ms() - self.heard_at_ms
