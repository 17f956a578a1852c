"""The operator's newest records, and up to when they are known to be all."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.platform.framing import KeyedRecord


@dataclass(kw_only=True, slots=True)
class OperatorRecords:
    """The newest record of each key, from the store or from other processes."""

    newest: dict[str, KeyedRecord] = field(default_factory=dict)
    end: int = 0
    """Offset up to which the newest record of each key is known."""
    as_of_ms: int | None = None
    """Monotonic time up to which all records are known; None before the first read."""

    def add(self, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Keep the records that aren't older than known ones of their keys, and return them."""
        added = []
        for record in records:
            known = self.newest.get(record.key)
            # Another process may answer late, with records that have been replaced since.
            if known is None or record.offset >= known.offset:
                self.newest[record.key] = record
                added.append(record)
        return added

    def confirm(self, *, end: int, as_of_ms: int) -> None:
        """Record that all records before `end` are known, and that there were no more at a time."""
        self.end = max(self.end, end)
        self.as_of_ms = as_of_ms if self.as_of_ms is None else max(self.as_of_ms, as_of_ms)

    def list_from(self, offset: int) -> list[KeyedRecord]:
        """Return the newest records from an offset on, in their order."""
        found = [record for record in self.newest.values() if record.offset >= offset]
        return sorted(found, key=lambda record: record.offset)

    def age_ms(self) -> int | None:
        """Return the time since all records were known, in milliseconds."""
        return None if self.as_of_ms is None else monotonic_ms() - self.as_of_ms
