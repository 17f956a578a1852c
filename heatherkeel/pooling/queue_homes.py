"""Extends the homes of queues, and drops those of queues that are gone."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

from heatherkeel.ownership.const import KEEP_REMOVED_MS
from heatherkeel.ownership.partitions import Layout
from heatherkeel.ownership.queue_homes import HomePages, QueueHomes
from heatherkeel.platform.operator import Queue

ASK_INTERVAL_MS: Final = 30_000
"""Interval between rounds of questions whether removed queues have jobs, in milliseconds."""


@dataclass(kw_only=True, slots=True)
class RemovedQueue:
    """A queue that isn't configured any more."""

    since_ms: int
    held: dict[int, bool] = field(default_factory=dict)
    """By partition, whether it had jobs of the queue in this round."""

    def is_unused(self, partitions: Collection[int]) -> bool:
        """Return whether all of these partitions had no jobs of it."""
        return all(self.held.get(partition) is False for partition in partitions)


@dataclass(kw_only=True, slots=True)
class QueueHomeKeeper:
    """Decides about the homes in the fleet's owner; without I/O."""

    pages: HomePages | None
    """The homes as they are, or will be, stored; None if the stored ones can't be decoded."""
    homes: QueueHomes = field(default_factory=QueueHomes)
    """The homes of all pages."""
    removed: dict[str, RemovedQueue] = field(default_factory=dict)
    """Removed queues by their address."""
    asked_ms: int = 0
    """When the current round of questions began."""
    seen: tuple[list[Queue], Layout] | None = None
    """What the homes were last extended by."""

    def __post_init__(self) -> None:
        if self.pages is not None:
            self.homes = self.pages.merge()

    def update(self, queues: list[Queue], layout: Layout, *, now_ms: int) -> dict[int, QueueHomes]:
        """Return the pages to store, by their numbers; none if nothing has changed.

        A removed queue's home is dropped once every partition was found to have no jobs of it, so
        that it may come back with another service.
        """
        if self.pages is None or self._is_up_to_date(queues, layout):
            return {}
        self.seen = (queues, layout)
        self._update_removed(queues, now_ms=now_ms)
        partitions = layout.all_partitions()
        unused = {address for address, queue in self.removed.items() if queue.is_unused(partitions)}
        changed = self.pages.extend(queues, layout, unused=unused)
        if changed:
            self.homes = self.pages.merge()
        return {number: self.pages.pages[number] for number in changed}

    def _is_up_to_date(self, queues: list[Queue], layout: Layout) -> bool:
        """Return whether nothing has changed since the last call; it is called at each plan."""
        if self.seen is None or self.removed:
            return False
        return queues is self.seen[0] and layout is self.seen[1]

    def _update_removed(self, queues: Iterable[Queue], *, now_ms: int) -> None:
        gone = self.homes.homes.keys() - {queue.address() for queue in queues}
        self.removed = {
            address: self.removed.get(address) or RemovedQueue(since_ms=now_ms) for address in gone
        }
        if now_ms - self.asked_ms >= ASK_INTERVAL_MS:
            self.asked_ms = now_ms
            for queue in self.removed.values():
                queue.held.clear()

    def list_asked(self, partition: int, *, now_ms: int) -> list[str]:
        """Return the names of removed queues to ask a partition's owner about."""
        return sorted(
            name
            for address, queue in self.removed.items()
            if now_ms - queue.since_ms >= KEEP_REMOVED_MS and partition not in queue.held
            for name in self._names_of(address)
        )

    def record(
        self, partition: int, *, asked: Collection[str], held: Collection[str] | None
    ) -> None:
        """Record which of the queues asked about have jobs in a partition; None if unknown."""
        if held is None:
            return
        for address, queue in self.removed.items():
            names = self._names_of(address)
            if set(names) <= set(asked):
                queue.held[partition] = not set(names).isdisjoint(held)

    def _names_of(self, address: str) -> tuple[str, ...]:
        home = self.homes.homes.get(address)
        return home.names if home is not None else ()
