"""Up to which offset and up to which time the records of a topic are known."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from heatherkeel.helpers.clock import monotonic_ms

MAX_SIGHTINGS: Final = 16
"""Maximum number of ends that are remembered until the records before them are known."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Reading:
    """What an answer proves.

    All records before `known_end` are known. The log ended at `log_end` or earlier at `seen_ms`, on
    the monotonic clock.
    """

    known_end: int
    log_end: int
    seen_ms: int


@dataclass(kw_only=True, slots=True)
class Coverage:
    """What is known is as old as the oldest record that may be missing.

    The store cuts its answers at a size, so an answer may show that the log has an end without
    bringing the records before it. Its time counts only once they are known.
    """

    end: int = 0
    """Offset up to which the newest record of each key is known."""
    as_of_ms: int | None = None
    """Monotonic time up to which all records are known; None before the first read."""
    sightings: list[Reading] = field(default_factory=list)
    """Readings whose ends are not reached yet; both their ends and their times rise."""

    def apply(self, reading: Reading) -> None:
        """Record what an answer proves, which may have been late."""
        self.end = max(self.end, reading.known_end)
        kept = [sighting for sighting in self.sightings if not _replaces(reading, sighting)]
        if not any(_replaces(sighting, reading) for sighting in kept):
            kept.append(reading)
        kept.sort(key=lambda sighting: sighting.log_end)
        reached = [sighting for sighting in kept if sighting.log_end <= self.end]
        for sighting in reached:
            known_ms = sighting.seen_ms if self.as_of_ms is None else self.as_of_ms
            self.as_of_ms = max(known_ms, sighting.seen_ms)
        self.sightings = kept[len(reached) :][:MAX_SIGHTINGS]

    def confirm(self, *, end: int, as_of_ms: int) -> None:
        """Record that all records before `end` are known, and that there were no more at a time."""
        self.apply(Reading(known_end=end, log_end=end, seen_ms=as_of_ms))

    def age_ms(self) -> int | None:
        """Return the time since all records were known, in milliseconds."""
        return None if self.as_of_ms is None else monotonic_ms() - self.as_of_ms


def _replaces(reading: Reading, other: Reading) -> bool:
    """Return whether a reading proves a later time with no more records than another one."""
    return reading.log_end <= other.log_end and reading.seen_ms >= other.seen_ms
