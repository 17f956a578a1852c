"""Records about instances and pools, and their state in the fold."""

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
    """Status of an instance."""

    SERVING = "serving"
    DRAINING = "draining"
    QUIESCED = "quiesced"
    """All entry instances that could route to it have acknowledged the drain; it may be stopped."""
    STOPPED = "stopped"
    FAILED = "failed"


class Health(StrEnum):
    """Health of an instance as seen by an observer."""

    HEALTHY = "healthy"
    FAILED = "failed"


class Source(StrEnum):
    """Source of an observation: an entry instance's own requests, or the platform."""

    PEER = "peer"
    PLATFORM = "platform"


class InstanceAdmit(RecordBody, frozen=True, kw_only=True):
    """The platform's list shows an unknown instance.

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
    """The pool that the platform created it for; if empty, the fold chooses one."""


class InstanceObserved(RecordBody, frozen=True, kw_only=True):
    """An observer reports the health of an instance.

    `observer` is the id of an entry instance; for source `platform`, of the one that read the
    platform's list.
    """

    instance: InstanceId
    health: Health
    observer: EntryInstanceId
    source: Source = Source.PEER


class InstanceGone(RecordBody, frozen=True, kw_only=True):
    """The platform reports that an instance is permanently terminated."""

    instance: InstanceId
    boot_id: str


@dataclass(kw_only=True)
class Observation:
    """The latest observation of one observer; time in log milliseconds."""

    health: Health
    at_ms: int


@dataclass(kw_only=True)
class Instance:
    """A worker in exactly one pool; `pool` is empty while it is spare.

    `version` rises with every change, so that records of a stale coordinator are rejected.
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
    """Orders maintenance and the start of a wave within the same millisecond."""
    failed_repairs: int = 0
    """Number of consecutive failed repairs."""
    observations: dict[str, Observation] = field(default_factory=dict)
    """Unexpired observations by observer; a change of status drops them."""
    stopped_boot_id: str = ""
    """Boot for which a stop was issued but not confirmed; the stop may still happen."""
    failure: str = ""
    """Reason for the status FAILED, for operators."""


@dataclass(kw_only=True)
class PoolsState:
    """Instances by id.

    `version_floor` is at least the last version of every removed instance. An id that is admitted
    again starts above it, so that no version is used twice.
    """

    instances: dict[str, Instance] = field(default_factory=dict)
    version_floor: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceChanged(Effect):
    """An instance was admitted, moved, or changed its status."""

    instance: str
    offset: int
