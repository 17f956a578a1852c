"""The steps of a pool that wait for room, in the order in which they get it."""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from itertools import islice
from typing import Final

from sortedcontainers import SortedList

from .const import ESTIMATE_SLACK, MAX_LOOKED_AT
from .models import Step

WORTHLESS_AFTER: Final = 3
"""A job is worth nothing any more at this many times its objective (the platform's word)."""

Entry = tuple[float, float, str, Step]


class Urgency(IntEnum):
    """Who goes first.

    A job that is late is worth a tenth or less, so it takes only room that no job in time can
    use; there the one with the least work left goes first, since each is worth about the same.
    """

    LASTING = 0
    IN_TIME = 1
    LATE = 2
    WORTHLESS = 3


class OpenSteps:
    """Keeps steps sorted, so that an event costs what it looks at and not what waits.

    How urgent a step is changes with time alone, and only ever down. It is noticed when the step
    is looked at, which is before any less urgent one gets room.
    """

    def __init__(self) -> None:
        self.entries: dict[Step, tuple[Urgency, Entry]] = {}
        self.sorted: dict[Urgency, SortedList] = {urgency: SortedList() for urgency in Urgency}

    def __len__(self) -> int:
        return len(self.entries)

    def __iter__(self) -> Iterator[Step]:
        return iter(self.entries)

    def add(self, step: Step, now_ms: int) -> None:
        """Let a step wait; one that waits already keeps its place."""
        if step not in self.entries:
            self._put(step, find_urgency(step, now_ms))

    def discard(self, step: Step) -> None:
        """Let a step wait no more."""
        known = self.entries.pop(step, None)
        if known is not None:
            urgency, entry = known
            self.sorted[urgency].remove(entry)

    def in_order(self, now_ms: int) -> Iterator[Step]:
        """Return the steps, the most urgent first; those looked at may be discarded meanwhile."""
        for urgency in Urgency:
            for entry in list(islice(self.sorted[urgency], MAX_LOOKED_AT)):
                step = entry[-1]
                urgency_now = find_urgency(step, now_ms)
                if urgency_now is not urgency:
                    self.discard(step)
                    self._put(step, urgency_now)
                    continue
                yield step

    def _put(self, step: Step, urgency: Urgency) -> None:
        work_ms = step.job.due_ms - step.latest_start_ms
        first = work_ms if urgency >= Urgency.LATE else float(step.request.fills)
        entry: Entry = (first, step.latest_start_ms, step.name(), step)
        self.entries[step] = (urgency, entry)
        self.sorted[urgency].add(entry)


def find_urgency(step: Step, now_ms: int) -> Urgency:
    """Say how urgent a step is now.

    It is in time as long as it can still be done by its job's objective, or nearly: declared
    durations are off.
    """
    if step.request.lasts:
        return Urgency.LASTING
    job = step.job
    work_ms = job.due_ms - step.latest_start_ms
    if step.latest_start_ms + ESTIMATE_SLACK * work_ms >= now_ms:
        return Urgency.IN_TIME
    worthless_ms = job.accepted_ms + WORTHLESS_AFTER * (job.due_ms - job.accepted_ms)
    return Urgency.LATE if now_ms < worthless_ms else Urgency.WORTHLESS
