"""Records about instances and pools, and the subject's folded state."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated

from msgspec import Meta

from heatherkeel.catalogue.models import Count, Name
from heatherkeel.core.models import Effect, RecordBody
from heatherkeel.membership.models import EntryInstanceId

InstanceId = Annotated[str, Meta(min_length=1, max_length=64)]
Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


class InstanceStatus(StrEnum):
    """What an instance may be used for."""

    SERVING = "serving"
    DRAINING = "draining"
    QUIESCED = "quiesced"
    """Every entry instance that could route to it has acknowledged: it may be stopped."""
    STOPPED = "stopped"
    FAILED = "failed"


class Health(StrEnum):
    """What an observer says of an instance."""

    HEALTHY = "healthy"
    FAILED = "failed"


class Source(StrEnum):
    """Where an observation comes from: an entry instance's own requests, or the platform."""

    PEER = "peer"
    PLATFORM = "platform"


class InstanceAdmit(RecordBody, frozen=True, kw_only=True):
    """The platform's list shows an instance that the fold doesn't know.

    `boot_id` changes with every start of the instance; memory in MiB.
    """

    instance: InstanceId
    boot_id: str
    zone: Name
    rack: Name
    address: Address
    cpus: Count = 0
    memory_mib: Annotated[int, Meta(ge=0)] = 0
    accelerators: Count = 0
    pool: str = ""
    """The pool that the platform made it for; empty lets the fold choose."""


class InstanceObserved(RecordBody, frozen=True, kw_only=True):
    """An observer says that an instance answers again, or no longer.

    `observer` is the id of an entry instance; with source `platform`, of the one that read the
    platform's list.
    """

    instance: InstanceId
    health: Health
    observer: EntryInstanceId
    source: Source = Source.PEER


class InstanceGone(RecordBody, frozen=True, kw_only=True):
    """The platform positively says that an instance is terminated for good."""

    instance: InstanceId
    boot_id: str


@dataclass(kw_only=True)
class Observation:
    """The newest word of one observer; time in log milliseconds."""

    health: Health
    at_ms: int


@dataclass(kw_only=True)
class Instance:
    """A worker, in exactly one pool at every offset; `pool` is empty while it is spare.

    `version` rises with every change, so that a stale coordinator's record is refused.
    Times in log milliseconds.
    """

    zone: str
    rack: str
    address: str
    boot_id: str
    pool: str
    cpus: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    status: InstanceStatus = InstanceStatus.SERVING
    version: int = 1
    maintained_ms: int = 0
    maintained_offset: int = -1
    """Orders maintenance against the start of a wave, which may fall into the same millisecond."""
    failed_repairs: int = 0
    """Repairs in a row that it did not come back from."""
    observations: dict[str, Observation] = field(default_factory=dict)
    """Fresh observations by observer; they are dropped when the status changes."""
    stopped_boot_id: str = ""
    """A boot whose stop was issued and that was not seen to end: the stop may still come."""
    failure: str = ""
    """Why it is FAILED, in words for operators."""


@dataclass(kw_only=True)
class PoolsState:
    """Instances by id.

    `version_floor` is at least the last version of every instance that is gone: an id that
    comes again goes on above it, so that no version is ever used twice.
    """

    instances: dict[str, Instance] = field(default_factory=dict)
    version_floor: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceChanged(Effect):
    """An instance was admitted, moved, or changed its status."""

    instance: str
    offset: int
