"""The log of a replay: appends, folds, checks every promise, and measures."""

from __future__ import annotations

from dataclasses import dataclass, field

from heatherkeel.catalogue.models import CatalogueChanged, ServiceEntry
from heatherkeel.core.envelopes import seal
from heatherkeel.core.errors import OffsetGapError
from heatherkeel.core.models import (
    Accepted,
    Effect,
    Envelope,
    LogRecord,
    RecordBody,
    Rejected,
    Settled,
    Violation,
)
from heatherkeel.core.reducer import fold
from heatherkeel.core.registry import find_step_violations, find_violations
from heatherkeel.core.state import FleetState, canonical_bytes, digest, from_canonical_bytes

from .models import ReplayReport


@dataclass(kw_only=True)
class FoldingLog:
    """One log and the state folded from it; each step is checked by every checker."""

    state: FleetState = field(default_factory=FleetState)
    report: ReplayReport = field(default_factory=ReplayReport)
    records: list[LogRecord] = field(default_factory=list)
    now_ms: int = 0
    start_ms: int = 0
    buffer_ms: int = 0
    """Spare instances times log milliseconds, so far."""
    edits: dict[int, int] = field(default_factory=dict)
    """Log time of the edits that some entry instance doesn't have yet, by offset."""
    reader: FleetState | None = None

    def advance(self, now_ms: int) -> None:
        """Let log time pass, counting what the fleet holds in it."""
        self.buffer_ms += _spare_instances(self.state) * (now_ms - self.now_ms)
        self.now_ms = now_ms

    def seal(self, body: RecordBody, *, author: str, record_id: str = "") -> Envelope:
        """Wrap a body; ids are made from the order of records, so that a replay repeats."""
        record_id = record_id or f"replay-{len(self.records)}-{self.now_ms}"
        return seal(body, author=author, now_ms=self.now_ms, record_id=record_id)

    def append(self, data: bytes) -> Accepted | Rejected | None:
        """Append and fold; returns the decision, none if there was none to take."""
        record = LogRecord(offset=len(self.records), at_ms=self.now_ms, data=data)
        self.records.append(record)
        before = from_canonical_bytes(canonical_bytes(self.state))
        effects = fold(self.state, record)
        self.report.violations += find_violations(self.state)
        self.report.violations += find_step_violations(before, effects, self.state)
        self._measure(effects)
        for effect in effects:
            if isinstance(effect, Settled):
                return self._count(effect)
        return None

    def _count(self, settled: Settled) -> Accepted | Rejected:
        outcome = settled.outcome
        if isinstance(outcome, Rejected):
            reason = outcome.reason.value
            self.report.refused[reason] = self.report.refused.get(reason, 0) + 1
        elif settled.kind == "waves.move_join":
            self.report.measures.moves += 1
        return outcome

    def _measure(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, CatalogueChanged):
                self.edits[effect.offset] = self.now_ms
        self._note_edits_in_force()

    def _note_edits_in_force(self) -> None:
        entries = self.state.membership.entries.values()
        in_force = [
            entry.offset_in_force for entry in entries if entry.lease_until_ms > self.now_ms
        ]
        if not self.edits or not in_force:
            return
        measures = self.report.measures
        for offset in [offset for offset in self.edits if offset <= min(in_force)]:
            time_s = (self.now_ms - self.edits.pop(offset)) / 1000
            measures.edit_in_force_s = max(measures.edit_in_force_s, time_s)

    def note_waves(self) -> None:
        """Measure the waves; one that hasn't ended counts up to now."""
        for wave in self.state.waves.waves.values():
            time_s = ((wave.finished_ms or self.now_ms) - wave.started_ms) / 1000
            measures = self.report.measures
            measures.roll_out_time_s = max(measures.roll_out_time_s, time_s)

    def violate(self, promise: str, where: str, detail: str) -> None:
        """Note a promise that did not hold."""
        offset = self.state.next_offset - 1
        violation = Violation(promise=promise, offset=offset, where=where, detail=detail)
        self.report.violations.append(violation)

    def stop_reader(self) -> None:
        """Let a process stop at the present state."""
        self.reader = from_canonical_bytes(canonical_bytes(self.state))

    def resume_reader(self, retained: int) -> None:
        """Let it read what the log has kept.

        If a record that it never folded is gone, it must notice; it then starts from a
        snapshot. Reading on as if nothing were missing would revert accepted changes.
        """
        reader = self.reader or FleetState()
        kept = self.records[max(0, len(self.records) - retained) :]
        has_missed = bool(kept) and kept[0].offset > reader.next_offset
        try:
            for record in kept:
                if record.offset >= reader.next_offset:
                    fold(reader, record)
        except OffsetGapError:
            reader = from_canonical_bytes(canonical_bytes(self.state))
        else:
            if has_missed:
                self.violate("offset_gap_noticed", "reader", "read on over lost records")
        if canonical_bytes(reader) != canonical_bytes(self.state):
            self.violate("replicas_equal", "reader", "differs from the state at its offset")
        self.reader = None

    def finish(self) -> ReplayReport:
        """Close the measures and return the report."""
        self.note_waves()
        duration_ms = self.now_ms - self.start_ms
        if duration_ms:
            self.report.measures.buffer_cost = round(self.buffer_ms / duration_ms, 3)
        self.report.records = len(self.records)
        self.report.digest = digest(self.state)
        return self.report


def _spare_instances(state: FleetState) -> int:
    """Count the instances in excess of what the budgets of their pools ask for.

    A pool without a service holds nothing back for a budget, and isn't counted.
    """
    needed: dict[str, int] = {}
    for stored in state.catalogue.entries.values():
        if isinstance(stored.entry, ServiceEntry):
            pool = stored.entry.pool
            needed[pool] = max(needed.get(pool, 0), stored.entry.budget.min_serving)
    members = [instance.pool for instance in state.pools.instances.values()]
    return sum(members.count(pool) - count for pool, count in needed.items())
