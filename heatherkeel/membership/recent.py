"""The newest records of the log, kept for peers that don't reach the platform."""

from __future__ import annotations

from collections import deque

from heatherkeel.core.models import LogRecord

from .const import KEPT_BYTES, KEPT_RECORDS, RELAY_BYTES, RELAY_RECORDS
from .messages import RelayedRecord


class RecentRecords:
    """A run of records without a gap, bounded in number and bytes."""

    def __init__(self) -> None:
        self.records: deque[LogRecord] = deque()
        self.size = 0

    def add(self, record: LogRecord) -> None:
        """Keep a record that was just folded."""
        if self.records and record.offset != self.records[-1].offset + 1:
            self.records.clear()
            self.size = 0
        self.records.append(record)
        self.size += len(record.data)
        while len(self.records) > KEPT_RECORDS or self.size > KEPT_BYTES:
            self.size -= len(self.records.popleft().data)

    def since(self, offset: int) -> list[RelayedRecord]:
        """Return records from exactly this offset on; none if it isn't kept."""
        if not self.records or offset < self.records[0].offset:
            return []
        found: list[RelayedRecord] = []
        size = 0
        start = offset - self.records[0].offset
        for index in range(start, min(len(self.records), start + RELAY_RECORDS)):
            record = self.records[index]
            size += len(record.data)
            if found and size > RELAY_BYTES:
                break
            found.append(RelayedRecord(offset=record.offset, at_ms=record.at_ms, data=record.data))
        return found
