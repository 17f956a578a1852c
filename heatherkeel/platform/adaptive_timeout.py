"""Timeouts that adapt to the response times observed so far."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

FACTOR: Final = 5.0
"""The timeout as a multiple of the average response time."""
WEIGHT: Final = 0.3
"""Weight of the newest response time in the moving average."""


@dataclass(kw_only=True, slots=True)
class AdaptiveTimeout:
    """A timeout between two bounds, in seconds; it doubles with each call that times out.

    A long fixed timeout would stall callers when answers are lost; a short one would never receive
    an answer from a slow store.
    """

    shortest_s: float
    longest_s: float
    average_s: float = 0.0
    failures: int = 0

    def timeout_s(self) -> float:
        """Return the timeout of the next call, in seconds."""
        wanted_s = max(self.shortest_s, self.learned_s()) * 2.0**self.failures
        return min(self.longest_s, float(wanted_s))

    def learned_s(self) -> float:
        """Return the timeout derived from past answers, in seconds; 0 before the first."""
        return FACTOR * self.average_s

    def record_answer(self, took_s: float) -> None:
        """Record the response time of an answered call, in seconds."""
        self.failures = 0
        self.average_s += WEIGHT * (took_s - self.average_s)

    def record_timeout(self) -> None:
        """Record a call that timed out."""
        if self.timeout_s() < self.longest_s:
            self.failures += 1
