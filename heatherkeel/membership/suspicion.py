"""How long a peer may be silent before its connection is replaced."""

from __future__ import annotations

from .const import HEARTBEAT_INTERVAL_MS, MAX_SILENCE_MS, MIN_SILENCE_MS

MEAN_SHARE = 8
DEVIATION_SHARE = 4
DEVIATIONS = 6


class SilenceBound:
    """Learns the intervals between a peer's answers: mean and mean deviation (RFC 6298).

    A fixed bound is too short for a peer far off or under load, whose connections would be
    replaced over and over, or too long for the others. The learned one stays between two fixed
    bounds, so that neither a burst nor a long outage makes it useless.
    """

    def __init__(self) -> None:
        self.mean_ms = float(HEARTBEAT_INTERVAL_MS)
        self.deviation_ms = HEARTBEAT_INTERVAL_MS / 4

    def hear(self, interval_ms: int) -> None:
        """Take the interval between two answers."""
        error_ms = min(interval_ms, MAX_SILENCE_MS) - self.mean_ms
        self.mean_ms += error_ms / MEAN_SHARE
        self.deviation_ms += (abs(error_ms) - self.deviation_ms) / DEVIATION_SHARE

    def bound_ms(self) -> int:
        """Return the longest silence that is taken for normal."""
        learned_ms = self.mean_ms + DEVIATIONS * self.deviation_ms
        return round(min(MAX_SILENCE_MS, max(MIN_SILENCE_MS, learned_ms)))
