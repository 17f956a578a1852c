"""How long to wait for an answer, learned from the answers so far."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

FACTOR: Final = 5.0
"""An answer that takes five times as long as usual is likelier lost than late."""
WEIGHT: Final = 0.3
"""Weight of the newest answer in what is usual."""


@dataclass(kw_only=True, slots=True)
class Patience:
    """A timeout between two bounds, in seconds; it doubles with each call that runs into it.

    Where answers get lost, a fixed timeout of seconds stops everything that waits for a call. A
    short one never hears a slow store, unless it grows until an answer comes.
    """

    shortest_s: float
    longest_s: float
    usual_s: float = 0.0
    failures: int = 0

    def timeout_s(self) -> float:
        """Return how long to wait for the next answer."""
        wanted_s = max(self.shortest_s, self.learned_s()) * 2.0**self.failures
        return min(self.longest_s, float(wanted_s))

    def learned_s(self) -> float:
        """Return how long answers may take by those that came, in seconds; 0 if none has."""
        return FACTOR * self.usual_s

    def take_answer(self, took_s: float) -> None:
        """Take in that an answer came after some time."""
        self.failures = 0
        self.usual_s += WEIGHT * (took_s - self.usual_s)

    def take_silence(self) -> None:
        """Take in that the time ran out."""
        if self.timeout_s() < self.longest_s:
            self.failures += 1
