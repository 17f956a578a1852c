"""Models of catalogue entries and records, and the folded state of the catalogue."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated, Final

import msgspec
from msgspec import Meta

from heatherkeel.core.models import Effect, RecordBody

from .const import MAX_NAME_CHARS, NAME_PATTERN, PATH_PREFIX_PATTERN

Name = Annotated[str, Meta(pattern=NAME_PATTERN, max_length=MAX_NAME_CHARS)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
PositiveCount = Annotated[int, Meta(ge=1, le=1_000_000)]
DurationMs = Annotated[int, Meta(ge=1, le=86_400_000)]
MemoryMib = Annotated[int, Meta(ge=0, le=1 << 40)]


class ServiceClass(StrEnum):
    """Priority class of an entry's work."""

    URGENT = "urgent"
    INTERACTIVE = "interactive"
    BATCH = "batch"


CLASS_ORDER: Final = (ServiceClass.URGENT, ServiceClass.INTERACTIVE, ServiceClass.BATCH)
"""Service classes, highest priority first."""


class Reserve(StrEnum):
    """The largest single failure that a budget must tolerate on top of all planned stops."""

    NONE = "none"
    RACK = "rack"
    ZONE = "zone"


class Budget(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The availability budget: the minimum number of instances that must keep serving."""

    min_serving: Count
    reserve: Reserve = Reserve.RACK


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Request limits of one service; times in milliseconds."""

    slots_per_worker: PositiveCount = 8
    connections_per_worker: PositiveCount = 64
    max_queued: Count = 64
    deadline_ms: DurationMs = 5_000
    max_body_bytes: PositiveCount = 1_000_000


class EntryBase(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, tag_field="kind"
):
    """Fields common to all entries: the owning team and the priority class."""

    owner: Name
    service_class: ServiceClass = ServiceClass.INTERACTIVE


class ServiceEntry(EntryBase, frozen=True, kw_only=True, tag="service"):
    """A customer-facing service: requests under `path_prefix` go to the instances of `pool`."""

    pool: Name
    path_prefix: Annotated[str, Meta(pattern=PATH_PREFIX_PATTERN, max_length=256)]
    budget: Budget
    limits: RequestLimits = RequestLimits()


class PoolEntry(EntryBase, frozen=True, kw_only=True, tag="pool"):
    """A pool that requests `size` instances; the fold assigns admitted instances to pools."""

    size: Count


class TeamEntry(EntryBase, frozen=True, kw_only=True, tag="team"):
    """A team and its quota across all pools; memory in MiB."""

    cpu_quota: Count = 0
    memory_quota_mib: MemoryMib = 0
    accelerator_quota: Count = 0


class MaintenanceEntry(EntryBase, frozen=True, kw_only=True, tag="maintenance"):
    """Maintenance policy of one pool: each instance is maintained once every `period_h` hours.

    No planned stop starts between `closed_from_minute` and `closed_to_minute` (minutes of the
    UTC day); equal values disable this. A wave halts at `max_failed_returns` failures. Raising
    `wave_request` requests a wave before the period is over. The weights state how much the
    owner wants each measure minimized.
    """

    pool: Name
    period_h: PositiveCount = 672
    max_concurrent: PositiveCount = 1
    max_failed_returns: PositiveCount = 2
    return_timeout_s: PositiveCount = 900
    closed_from_minute: Annotated[int, Meta(ge=0, le=1440)] = 0
    closed_to_minute: Annotated[int, Meta(ge=0, le=1440)] = 0
    wave_request: Count = 0
    weight_buffer: Count = 1
    weight_roll_out: Count = 1
    weight_moves: Count = 1


CatalogueEntry = ServiceEntry | PoolEntry | TeamEntry | MaintenanceEntry


class EntryPut(RecordBody, frozen=True, kw_only=True):
    """Create or replace an entry; `expected_version` 0 requires that it doesn't exist."""

    name: Name
    expected_version: Count
    team: Name
    entry: CatalogueEntry


class EntryDelete(RecordBody, frozen=True, kw_only=True):
    """Remove an entry if its version is `expected_version`."""

    name: Name
    expected_version: PositiveCount
    team: Name


@dataclass(kw_only=True)
class StoredEntry:
    """A current entry, with the version and offset of its last edit."""

    entry: CatalogueEntry
    version: int
    offset: int


@dataclass(kw_only=True)
class CatalogueState:
    """Entries by name; `versions` is kept after a deletion, so that no version is reused."""

    entries: dict[str, StoredEntry] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    changed_offset: int = -1


@dataclass(frozen=True, kw_only=True, slots=True)
class CatalogueChanged(Effect):
    """An edit was accepted; `deleted` is true if it removed the entry."""

    name: str
    version: int
    offset: int
    deleted: bool
