"""Helpers that fold catalogue edits in memory."""

from __future__ import annotations

import heatherkeel.subjects  # noqa: F401
from heatherkeel.catalogue.models import CatalogueEntry, EntryDelete, EntryPut
from heatherkeel.core.envelopes import encode, seal
from heatherkeel.core.models import Accepted, LogRecord, RecordBody, Rejected, Settled
from heatherkeel.core.reducer import fold
from heatherkeel.core.registry import find_violations
from heatherkeel.core.state import FleetState

TEAM = "sheetal"


def fold_record(state: FleetState, body: RecordBody) -> Accepted | Rejected:
    """Fold one record, check all invariants, and return the outcome."""
    data = encode(seal(body, author="test", now_ms=state.now_ms))
    effects = fold(state, LogRecord(offset=state.next_offset, at_ms=state.now_ms, data=data))
    assert find_violations(state) == []
    [settled] = [effect for effect in effects if isinstance(effect, Settled)]
    return settled.outcome


def put(
    state: FleetState, name: str, entry: CatalogueEntry, *, team: str = TEAM
) -> Accepted | Rejected:
    """Create or replace an entry at its current version."""
    stored = state.catalogue.entries.get(name)
    expected = stored.version if stored else 0
    return fold_record(
        state, EntryPut(name=name, expected_version=expected, team=team, entry=entry)
    )


def delete(state: FleetState, name: str, *, team: str = TEAM) -> Accepted | Rejected:
    """Delete an entry at its current version."""
    version = state.catalogue.entries[name].version
    return fold_record(state, EntryDelete(name=name, expected_version=version, team=team))


def rejection(outcome: Accepted | Rejected) -> tuple[str, list[str]]:
    """Return the reason and the detail lines of a rejection."""
    assert isinstance(outcome, Rejected), outcome
    return outcome.reason.value, outcome.detail.splitlines()
