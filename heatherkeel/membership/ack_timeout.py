"""How long a peer may leave heartbeats unanswered before its connection is replaced."""

from __future__ import annotations

from .const import HEARTBEAT_INTERVAL_MS, MAX_ACK_TIMEOUT_MS, MIN_ACK_TIMEOUT_MS

MEAN_DIVISOR = 8
DEVIATION_DIVISOR = 4
TIMEOUT_DEVIATIONS = 6


class AckTimeout:
    """Adapts the timeout to the mean and mean deviation of answer intervals (RFC 6298).

    A fixed timeout would be too short for a peer that is distant or under load, whose connections
    would be replaced repeatedly, or too long for others. Fixed bounds limit the effect of a burst
    or a long outage.
    """

    def __init__(self) -> None:
        self.mean_ms = float(HEARTBEAT_INTERVAL_MS)
        self.deviation_ms = HEARTBEAT_INTERVAL_MS / 4

    def record_interval(self, interval_ms: int) -> None:
        """Record the interval between two answers."""
        error_ms = min(interval_ms, MAX_ACK_TIMEOUT_MS) - self.mean_ms
        self.mean_ms += error_ms / MEAN_DIVISOR
        self.deviation_ms += (abs(error_ms) - self.deviation_ms) / DEVIATION_DIVISOR

    def timeout_ms(self) -> int:
        """Return the longest time without an answer, in milliseconds."""
        learned_ms = self.mean_ms + TIMEOUT_DEVIATIONS * self.deviation_ms
        return round(min(MAX_ACK_TIMEOUT_MS, max(MIN_ACK_TIMEOUT_MS, learned_ms)))
