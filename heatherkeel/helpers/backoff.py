"""Pauses between tries that grow, and that differ between processes."""

from __future__ import annotations

import random


class Backoff:
    """Doubles the pause up to a limit, and takes a random part of it.

    After an outage all processes would come back at the same moment and bring the platform
    down again; between half and the whole of a grown pause spreads them.
    """

    def __init__(self, *, first_s: float, limit_s: float) -> None:
        self.first_s = first_s
        self.limit_s = limit_s
        self.tries = 0
        self.random = random.Random()

    def reset(self) -> None:
        """Begin again with the first pause."""
        self.tries = 0

    def next_s(self) -> float:
        """Return the next pause in seconds."""
        whole_s = min(self.limit_s, self.first_s * 2.0 ** min(self.tries, 32))
        self.tries += 1
        return self.random.uniform(whole_s / 2, whole_s)
