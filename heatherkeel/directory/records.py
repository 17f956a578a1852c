"""The operator's newest records, and up to when they are known to be all."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from heatherkeel.platform.framing import KeyedRecord

from .coverage import Coverage


@dataclass(kw_only=True, slots=True)
class OperatorRecords(Coverage):
    """The newest record of each key, from the store or from other processes."""

    newest: dict[str, KeyedRecord] = field(default_factory=dict)

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

    def list_from(self, offset: int) -> list[KeyedRecord]:
        """Return the newest records from an offset on, in their order."""
        found = [record for record in self.newest.values() if record.offset >= offset]
        return sorted(found, key=lambda record: record.offset)
