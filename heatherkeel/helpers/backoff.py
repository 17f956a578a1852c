"""Exponential backoff with jitter."""

from __future__ import annotations

import random


class Backoff:
    """Doubles the delay up to a limit, and returns a random value from its upper half.

    The jitter keeps processes from reconnecting all at once after an outage.
    """

    def __init__(self, *, first_s: float, limit_s: float) -> None:
        self.first_s = first_s
        self.limit_s = limit_s
        self.tries = 0
        self.random = random.Random()

    def reset(self) -> None:
        """Start again with the first delay."""
        self.tries = 0

    def next_s(self) -> float:
        """Return the next delay in seconds."""
        delay_s = min(self.limit_s, self.first_s * 2.0 ** min(self.tries, 32))
        self.tries += 1
        return self.random.uniform(delay_s / 2, delay_s)
