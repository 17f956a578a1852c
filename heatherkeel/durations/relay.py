"""Passes on what owners have learned, in the process that owns the fleet."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

import msgspec

from heatherkeel.ownership.partitions import Layout
from heatherkeel.platform.operator import Queue

from .const import MAX_QUEUES, MAX_REPORTED, MAX_REPORTED_CONTENTS, REPEAT_MS, REPORT_INTERVAL_MS
from .messages import ContentRow, DurationsOffer, DurationsReport, QueueRow
from .sums import QueueSums, add_up


@dataclass(kw_only=True, slots=True)
class PartitionKnowledge:
    """What the owners of one partition have reported."""

    owner: int = 0
    """Fencing token of the owner that has reported last."""
    revision: int = 0
    current: dict[str, QueueSums] = field(default_factory=dict)
    """What that owner has learned itself, by queue."""
    inherited: dict[str, QueueSums] = field(default_factory=dict)
    """What earlier owners had learned."""
    contents: list[ContentRow] = field(default_factory=list)
    reported_ms: int = 0
    offered_ms: int | None = None
    """When the last offer was made; None if the next is due at once."""
    rows_ms: int = 0
    """When the last offer with rows was made."""
    rows_changes: int = -1
    """Number of changes, of all partitions, that its rows included."""

    def inherit(self) -> None:
        """Keep what the current owner has learned for the next one."""
        for queue, sums in self.current.items():
            total = add_up([sums, self.inherited.get(queue, QueueSums())])
            total.limit_memory()
            if queue in self.inherited or len(self.inherited) < MAX_QUEUES:
                self.inherited[queue] = total
        self.current = {}


class DurationRelay:
    """Holds the reports of all owners, and makes each owner's offer from those of the others."""

    def __init__(self, *, token: int) -> None:
        self.token = token
        self.partitions: dict[int, PartitionKnowledge] = {}
        self.reporters: dict[str, set[int]] = {}
        """The partitions that have reported each queue."""
        self.changes = 0

    def record(self, partition: int, report: DurationsReport, now_ms: int) -> None:
        """Record a report; a late one of an earlier owner is ignored."""
        known = self.partitions.setdefault(partition, PartitionKnowledge())
        if report.owner < known.owner:
            return
        if report.owner > known.owner:
            known.inherit()
            known.owner = report.owner
            known.offered_ms = None
        self.changes += 1
        known.revision = report.revision
        known.reported_ms = now_ms
        for row in report.queues:
            sums = QueueSums.from_row(row.sums)
            if sums is not None and (row.queue in known.current or len(known.current) < MAX_QUEUES):
                known.current[row.queue] = sums
                self.reporters.setdefault(row.queue, set()).add(partition)
        if report.contents:
            known.contents = report.contents[:MAX_REPORTED_CONTENTS]

    def make_offer(
        self, partition: int, queues: Collection[str], now_ms: int
    ) -> DurationsOffer | None:
        """Return the next offer to a partition's owner; None if it is too early.

        It holds what others know of the partition's queues, if there is news.
        """
        known = self.partitions.setdefault(partition, PartitionKnowledge())
        if known.offered_ms is not None and now_ms - known.offered_ms < REPORT_INTERVAL_MS:
            return None
        known.offered_ms = now_ms
        empty = DurationsOffer(relay=self.token, owner=known.owner, since=known.revision)
        if known.rows_changes == self.changes and now_ms - known.rows_ms < REPEAT_MS:
            return empty
        known.rows_ms = now_ms
        known.rows_changes = self.changes
        rows = [row for queue in sorted(queues) if (row := self._make_row(partition, queue))]
        return msgspec.structs.replace(
            empty,
            age_ms=self._find_age_ms(queues, now_ms),
            queues=rows[:MAX_REPORTED],
            contents=self._list_contents(partition, queues),
        )

    def _find_reporters(self, queues: Collection[str]) -> list[int]:
        """Return the partitions that have reported any of these queues."""
        return sorted({number for queue in queues for number in self.reporters.get(queue, ())})

    def _find_age_ms(self, queues: Collection[str], now_ms: int) -> int:
        """Return the time since any of these queues was last reported."""
        reported = [self.partitions[number].reported_ms for number in self._find_reporters(queues)]
        return now_ms - max(reported, default=now_ms)

    def _make_row(self, partition: int, queue: str) -> QueueRow | None:
        """Return what others, and earlier owners of the partition, know of a queue."""
        parts = []
        for number in self._find_reporters([queue]):
            known = self.partitions[number]
            parts.append(known.inherited.get(queue))
            parts.append(known.current.get(queue) if number != partition else None)
        total = add_up(part for part in parts if part is not None)
        return QueueRow(queue=queue, sums=total.to_row()) if total.steps else None

    def _list_contents(self, partition: int, queues: Collection[str]) -> list[ContentRow]:
        """Return the contents that other partitions with some of the same queues have reported."""
        rows = {
            row.key: row
            for number in self._find_reporters(queues)
            if number != partition
            for row in self.partitions[number].contents
        }
        return list(rows.values())[-MAX_REPORTED_CONTENTS:]


def group_queues(queues: Mapping[str, Queue], layout: Layout) -> dict[int, list[str]]:
    """Return the queues whose jobs each partition may have."""
    grouped: dict[int, list[str]] = {}
    for name, queue in queues.items():
        for partition in layout.partitions_of(queue.service):
            grouped.setdefault(partition, []).append(name)
    return grouped
