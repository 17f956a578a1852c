"""Estimates the log's time between responses of the platform."""

from __future__ import annotations

from heatherkeel.helpers.clock import monotonic_ms


class LogClock:
    """The latest log time received, advanced by the monotonic clock.

    If the platform's clock is set back, the log repeats its highest time until the clock has
    caught up. An estimate that only ever rose would run ahead of the log, and records sealed with
    it would be rejected for their lifetime. So each received time that isn't older than the
    latest one replaces the estimate.
    """

    def __init__(self) -> None:
        self.received_log_ms = 0
        self.received_at_ms = monotonic_ms()
        self.answers = 0
        """Number of responses of the platform so far."""

    @property
    def is_known(self) -> bool:
        """Return whether a log time has been received."""
        return self.received_log_ms > 0

    def update(self, log_ms: int) -> None:
        """Update the log's time from a response of the platform."""
        self.answers += 1
        self.update_from_record(log_ms)

    def update_from_record(self, log_ms: int) -> None:
        """Update the log's time from a record that a peer relayed."""
        if log_ms < self.received_log_ms:
            return
        self.received_log_ms = log_ms
        self.received_at_ms = monotonic_ms()

    def now_ms(self) -> int:
        """Return the estimated log time in milliseconds."""
        return self.received_log_ms + monotonic_ms() - self.received_at_ms
