"""Border models of catalogue entries and records, and the subject's folded state."""

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
    """How soon an entry's work has to be done; urgent work goes first."""

    URGENT = "urgent"
    INTERACTIVE = "interactive"
    BATCH = "batch"


CLASS_ORDER: Final = (ServiceClass.URGENT, ServiceClass.INTERACTIVE, ServiceClass.BATCH)
"""Classes in the order in which requests and jobs are served."""


class Reserve(StrEnum):
    """The largest single loss that a budget must survive on top of every planned stop."""

    NONE = "none"
    RACK = "rack"
    ZONE = "zone"


class Budget(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The availability budget: instances that must go on serving, whatever is planned."""

    min_serving: Count
    reserve: Reserve = Reserve.RACK


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits on the requests of one service; times in milliseconds."""

    slots_per_worker: PositiveCount = 8
    connections_per_worker: PositiveCount = 64
    max_queued: Count = 64
    deadline_ms: DurationMs = 5_000
    max_body_bytes: PositiveCount = 1_000_000


class EntryBase(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, tag_field="kind"
):
    """What every entry has: who may change it, and how soon its work has to be done."""

    owner: Name
    service_class: ServiceClass = ServiceClass.INTERACTIVE


class ServiceEntry(EntryBase, frozen=True, kw_only=True, tag="service"):
    """A customer-facing service: requests under `path_prefix` go to the instances of `pool`."""

    pool: Name
    path_prefix: Annotated[str, Meta(pattern=PATH_PREFIX_PATTERN, max_length=256)]
    budget: Budget
    limits: RequestLimits = RequestLimits()


class PoolEntry(EntryBase, frozen=True, kw_only=True, tag="pool"):
    """A pool that asks for `size` instances; the fold assigns admitted instances to pools."""

    size: Count


class TeamEntry(EntryBase, frozen=True, kw_only=True, tag="team"):
    """A team and its quota over all pools; memory in MiB."""

    cpu_quota: Count = 0
    memory_quota_mib: MemoryMib = 0
    accelerator_quota: Count = 0


class MaintenanceEntry(EntryBase, frozen=True, kw_only=True, tag="maintenance"):
    """How one pool is maintained: every instance once in `period_h`, outside counter hours.

    `closed_from_minute` to `closed_to_minute` are minutes of the UTC day in which no planned
    stop starts; equal values close no time. `max_failed_returns` halts a wave. Raising
    `wave_request` asks for a wave now, before the period is over. The weights say which
    measure the owner wants low.
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
    """Create or replace an entry; `expected_version` 0 means that it must not exist."""

    name: Name
    expected_version: Count
    team: Name
    entry: CatalogueEntry


class EntryDelete(RecordBody, frozen=True, kw_only=True):
    """Remove the entry at exactly `expected_version`."""

    name: Name
    expected_version: PositiveCount
    team: Name


@dataclass(kw_only=True)
class StoredEntry:
    """An entry in force, with the version and offset of the edit that made it so."""

    entry: CatalogueEntry
    version: int
    offset: int


@dataclass(kw_only=True)
class CatalogueState:
    """Entries by name; `versions` outlives a deletion, so that a version never comes twice."""

    entries: dict[str, StoredEntry] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    changed_offset: int = -1


@dataclass(frozen=True, kw_only=True, slots=True)
class CatalogueChanged(Effect):
    """An edit came into force; `deleted` says whether the entry is gone."""

    name: str
    version: int
    offset: int
    deleted: bool
