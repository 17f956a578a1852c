"""Invariant checks for the catalogue, shared by tests, replay and measurement."""

from __future__ import annotations

from collections.abc import Iterator

from heatherkeel.core.models import Effect, Violation
from heatherkeel.core.registry import checks, checks_step
from heatherkeel.core.state import FleetState

from .rules import find_faults


@checks("catalogue_versions")
def check_versions(state: FleetState) -> Iterator[Violation]:
    """Find entries without an owner, or whose version isn't the newest recorded for their name."""
    for name, stored in state.catalogue.entries.items():
        newest = state.catalogue.versions.get(name, 0)
        if stored.version != newest or not stored.entry.owner:
            yield Violation(
                promise="catalogue_versions",
                offset=stored.offset,
                where=name,
                detail=f"version {stored.version}, newest {newest}, owner {stored.entry.owner!r}",
            )


@checks("catalogue_rules")
def check_rules(state: FleetState) -> Iterator[Violation]:
    """Find entries that break a rule because an edit of another entry was accepted."""
    for name, stored in state.catalogue.entries.items():
        for fault in find_faults(state, name, stored.entry):
            yield Violation(
                promise="catalogue_rules", offset=stored.offset, where=name, detail=str(fault)
            )


@checks_step("catalogue_never_reverts")
def check_never_reverts(
    before: FleetState, effects: list[Effect], after: FleetState
) -> Iterator[Violation]:
    """Find versions that decreased, and entries that changed without a new version."""
    for name, version in before.catalogue.versions.items():
        newest = after.catalogue.versions.get(name, 0)
        unchanged = before.catalogue.entries.get(name) == after.catalogue.entries.get(name)
        if newest < version or (newest == version and not unchanged):
            yield Violation(
                promise="catalogue_never_reverts",
                offset=after.next_offset - 1,
                where=name,
                detail=f"version {version}, then {newest}, entry unchanged: {unchanged}",
            )
    for record_id, outcome in before.outcomes.items():
        if after.outcomes.get(record_id, outcome) != outcome:
            yield Violation(
                promise="catalogue_never_reverts",
                offset=after.next_offset - 1,
                where=record_id,
                detail="the outcome of a decided record changed",
            )
