"""A log in memory with the production fold behind it; time moves only when it is told."""

from __future__ import annotations

import time

import heatherkeel.subjects  # noqa: F401
from heatherkeel.core.envelopes import encode, seal
from heatherkeel.core.models import (
    Accepted,
    Effect,
    LogRecord,
    RecordBody,
    Rejected,
    Settled,
)
from heatherkeel.core.reducer import fold
from heatherkeel.core.state import FleetState

from .processes import MeasurementError

START_MS = 1_000_000_000_000


class MeasuredLog:
    """Folds the records that a measurement writes, and notes what each fold took."""

    def __init__(self, *, start_ms: int = START_MS) -> None:
        self.state = FleetState()
        self.now_ms = start_ms
        self.fold_us = 0.0
        """Time of the newest fold, in microseconds."""
        self.record_bytes = 0
        """Bytes of the newest record."""
        self.records = 0

    def append(self, data: bytes) -> list[Effect]:
        """Fold one record."""
        record = LogRecord(offset=self.state.next_offset, at_ms=self.now_ms, data=data)
        start_ns = time.perf_counter_ns()
        effects = fold(self.state, record)
        self.fold_us = (time.perf_counter_ns() - start_ns) / 1000
        self.record_bytes = len(data)
        self.records += 1
        return effects

    def say(self, body: RecordBody, *, author: str = "measure") -> tuple[Settled, list[Effect]]:
        """Fold one body; return how it was decided, and all effects."""
        effects = self.append(encode(seal(body, author=author, now_ms=self.now_ms)))
        [settled] = [effect for effect in effects if isinstance(effect, Settled)]
        return settled, effects

    def must(self, body: RecordBody) -> Accepted:
        """Fold one body that has to be accepted."""
        settled, _ = self.say(body)
        if isinstance(settled.outcome, Rejected):
            raise MeasurementError(f"{settled.kind} was refused: {settled.outcome}")
        return settled.outcome
