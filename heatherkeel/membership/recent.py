"""The newest records of the log, kept for peers that can't reach the platform."""

from __future__ import annotations

from collections import deque

from heatherkeel.core.models import LogRecord

from .const import MAX_RECENT_BYTES, MAX_RECENT_RECORDS, MAX_RELAYED_BYTES, MAX_RELAYED_RECORDS
from .messages import RelayedRecord


class RecentRecords:
    """Consecutive records, bounded in number and bytes."""

    def __init__(self) -> None:
        self.records: deque[LogRecord] = deque()
        self.size = 0

    def add(self, record: LogRecord) -> None:
        """Add a record that was just folded, and remove the oldest ones above the bounds."""
        if self.records and record.offset != self.records[-1].offset + 1:
            self.records.clear()
            self.size = 0
        self.records.append(record)
        self.size += len(record.data)
        while len(self.records) > MAX_RECENT_RECORDS or self.size > MAX_RECENT_BYTES:
            self.size -= len(self.records.popleft().data)

    def since(self, offset: int) -> list[RelayedRecord]:
        """Return records from this offset on; empty if that one isn't kept."""
        if not self.records or offset < self.records[0].offset:
            return []
        found: list[RelayedRecord] = []
        size = 0
        start = offset - self.records[0].offset
        for index in range(start, min(len(self.records), start + MAX_RELAYED_RECORDS)):
            record = self.records[index]
            size += len(record.data)
            if found and size > MAX_RELAYED_BYTES:
                break
            found.append(RelayedRecord(offset=record.offset, at_ms=record.at_ms, data=record.data))
        return found
