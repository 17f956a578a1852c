"""Finds the jobs that a workspace submits beyond its weight."""

from __future__ import annotations

from dataclasses import dataclass

from .const import RATE_WINDOW_S


@dataclass(kw_only=True, slots=True)
class RateBucket:
    """A token bucket that fills at a rate in jobs per second and holds those of the window."""

    tokens: float
    filled_ms: int

    def take(self, *, rate: float, now_ms: int) -> bool:
        """Take the token of one job; returns whether there was one."""
        elapsed_s = max(0, now_ms - self.filled_ms) / 1000
        self.filled_ms = max(self.filled_ms, now_ms)
        self.tokens = min(full_bucket(rate), self.tokens + elapsed_s * rate)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def has_token(self, *, rate: float, now_ms: int) -> bool:
        """Return whether `take` would find a token now."""
        elapsed_s = max(0, now_ms - self.filled_ms) / 1000
        return min(full_bucket(rate), self.tokens + elapsed_s * rate) >= 1.0


def full_bucket(rate: float) -> float:
    """Return how many jobs a bucket allows at once; at least one."""
    return max(1.0, rate * RATE_WINDOW_S)
