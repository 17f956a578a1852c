"""Validation rules across catalogue entries; the fold applies them to every edit.

See `docs/design/catalogue.md` for the reasons behind each rule.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Final, TypeVar

from heatherkeel.core.errors import RegistrationError
from heatherkeel.core.models import Rejected, RejectReason
from heatherkeel.core.state import FleetState

from .const import MAX_NAMES_IN_FAULT
from .models import CatalogueEntry, EntryBase, MaintenanceEntry, PoolEntry, ServiceEntry


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryFault:
    """A rule violation by an edit; `field` is the path of the invalid value."""

    field: str
    reason: RejectReason
    detail: str

    def __str__(self) -> str:
        """Return `field: detail` on one line."""
        return f"{self.field}: {self.detail}"


EntryT = TypeVar("EntryT", bound=EntryBase)
Rule = Callable[[FleetState, str, EntryT], Iterator[EntryFault]]
RULES: Final[dict[type[EntryBase], list[Rule[Any]]]] = {}


def rule_for(entry_type: type[EntryT]) -> Callable[[Rule[EntryT]], Rule[EntryT]]:
    """Register a rule for one entry type; it receives the state, the name and the new entry."""

    def register(rule: Rule[EntryT]) -> Rule[EntryT]:
        rules = RULES.setdefault(entry_type, [])
        if rule in rules:
            raise RegistrationError(f"{rule.__name__} is registered twice")
        rules.append(rule)
        return rule

    return register


def find_faults(state: FleetState, name: str, entry: CatalogueEntry) -> list[EntryFault]:
    """Return the faults of every rule that the entry would break in the current state."""
    faults = list(_check_kind_unchanged(state, name, entry))
    for rule in RULES.get(type(entry), ()):
        faults += rule(state, name, entry)
    return faults


def find_deletion_faults(state: FleetState, name: str) -> list[EntryFault]:
    """Return the faults that prevent the deletion of an entry.

    A pool in use can't be deleted: its services would lose their targets.
    """
    users = _names_using_pool(state, name)
    if not users:
        return []
    detail = f"in use by {_list_names(users)}"
    return [EntryFault(field="name", reason=RejectReason.IN_USE, detail=detail)]


def reject_faults(faults: list[EntryFault]) -> Rejected | None:
    """Return a rejection that lists every fault, one per line, or None without faults."""
    if not faults:
        return None
    detail = "\n".join(str(fault) for fault in faults)
    return Rejected(reason=faults[0].reason, detail=detail)


def comparable_prefix(path_prefix: str) -> str:
    """Normalize a prefix for comparison: `/stock` and `/stock/` are the same."""
    return path_prefix.rstrip("/")


def _check_kind_unchanged(
    state: FleetState, name: str, entry: CatalogueEntry
) -> Iterator[EntryFault]:
    """Reject a change of kind, since other entries may refer to a pool by this name."""
    stored = state.catalogue.entries.get(name)
    if stored is not None and type(stored.entry) is not type(entry):
        detail = "an entry keeps its kind; delete it and create another"
        yield EntryFault(field="entry.kind", reason=RejectReason.INVALID, detail=detail)


def _find_pool(state: FleetState, name: str) -> PoolEntry | None:
    stored = state.catalogue.entries.get(name)
    return stored.entry if stored is not None and isinstance(stored.entry, PoolEntry) else None


@rule_for(ServiceEntry)
def check_service_pool(state: FleetState, name: str, entry: ServiceEntry) -> Iterator[EntryFault]:
    """Require that the pool exists and is large enough for the budget."""
    pool = _find_pool(state, entry.pool)
    if pool is None:
        yield _missing_pool(entry.pool)
    elif entry.budget.min_serving > pool.size:
        yield EntryFault(
            field="entry.budget.min_serving",
            reason=RejectReason.INVALID,
            detail=f"{entry.budget.min_serving} is more than the size {pool.size} of {entry.pool}",
        )


@rule_for(ServiceEntry)
def check_path_prefix(state: FleetState, name: str, entry: ServiceEntry) -> Iterator[EntryFault]:
    """Reject a duplicate prefix: the services would receive each other's requests."""
    prefix = comparable_prefix(entry.path_prefix)
    for other_name, stored in sorted(state.catalogue.entries.items()):
        other = stored.entry
        if other_name == name or not isinstance(other, ServiceEntry):
            continue
        if comparable_prefix(other.path_prefix) == prefix:
            yield EntryFault(
                field="entry.path_prefix",
                reason=RejectReason.CONFLICT,
                detail=f"{entry.path_prefix} is the prefix of {other_name}",
            )


@rule_for(PoolEntry)
def check_pool_size(state: FleetState, name: str, entry: PoolEntry) -> Iterator[EntryFault]:
    """Require a pool at least as large as the budget of each of its services."""
    unsatisfied = [
        service_name
        for service_name, stored in sorted(state.catalogue.entries.items())
        if isinstance(stored.entry, ServiceEntry)
        and stored.entry.pool == name
        and stored.entry.budget.min_serving > entry.size
    ]
    if unsatisfied:
        yield EntryFault(
            field="entry.size",
            reason=RejectReason.INVALID,
            detail=f"{entry.size} is less than budget.min_serving of {_list_names(unsatisfied)}",
        )


@rule_for(MaintenanceEntry)
def check_maintenance_pool(
    state: FleetState, name: str, entry: MaintenanceEntry
) -> Iterator[EntryFault]:
    """Allow one maintenance entry per pool, to prevent conflicting waves."""
    if _find_pool(state, entry.pool) is None:
        yield _missing_pool(entry.pool)
    for other_name, stored in sorted(state.catalogue.entries.items()):
        other = stored.entry
        if other_name == name or not isinstance(other, MaintenanceEntry):
            continue
        if other.pool == entry.pool:
            yield EntryFault(
                field="entry.pool",
                reason=RejectReason.CONFLICT,
                detail=f"{entry.pool} is maintained by {other_name}",
            )


def _missing_pool(pool: str) -> EntryFault:
    return EntryFault(
        field="entry.pool", reason=RejectReason.INVALID, detail=f"there is no pool {pool}"
    )


def _names_using_pool(state: FleetState, pool: str) -> list[str]:
    return [
        name
        for name, stored in sorted(state.catalogue.entries.items())
        if isinstance(stored.entry, ServiceEntry | MaintenanceEntry) and stored.entry.pool == pool
    ]


def _list_names(names: list[str]) -> str:
    """List the first names and count the rest, to limit the size of the stored outcome."""
    shown = ", ".join(names[:MAX_NAMES_IN_FAULT])
    more = len(names) - MAX_NAMES_IN_FAULT
    return f"{shown} and {more} more" if more > 0 else shown
