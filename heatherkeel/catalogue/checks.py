"""Checkers of the catalogue's promises, shared by tests, replay and measurement."""

from __future__ import annotations

from collections.abc import Iterator

from heatherkeel.core.models import Violation
from heatherkeel.core.registry import checks
from heatherkeel.core.state import FleetState

from .rules import find_faults


@checks("catalogue_versions")
def check_versions(state: FleetState) -> Iterator[Violation]:
    """Find entries that have no owner, or not the newest version that their name ever had."""
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
    """Find entries that an accepted edit of another one made break a rule."""
    for name, stored in state.catalogue.entries.items():
        for fault in find_faults(state, name, stored.entry):
            yield Violation(
                promise="catalogue_rules", offset=stored.offset, where=name, detail=str(fault)
            )
