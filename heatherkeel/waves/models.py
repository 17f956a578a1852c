"""Records about drains and waves, and their folded state."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from heatherkeel.catalogue.models import Name
from heatherkeel.core.models import Effect, RecordBody
from heatherkeel.membership.models import EntryInstanceId
from heatherkeel.pools.models import InstanceId

DrainId = Annotated[str, Meta(min_length=1, max_length=128)]
Version = Annotated[int, Meta(ge=1)]


class Purpose(StrEnum):
    """Why an instance is drained."""

    MAINTENANCE = "maintenance"
    MOVE = "move"
    REPAIR = "repair"


class ReturnFailure(StrEnum):
    """Why a stopped instance is considered failed."""

    TIMED_OUT = "timed_out"
    """It didn't return within `return_timeout_s`; the fold checks the time."""
    START_FAILED = "start_failed"
    """The platform reported that its start failed."""


class DrainStart(RecordBody, frozen=True, kw_only=True):
    """Take an instance out of service; the id of this record becomes the drain's id.

    `wave` is the number of the pool's wave that a maintenance drain belongs to. `to_pool` is the
    destination of a move.
    """

    instance: InstanceId
    expected_version: Version
    coordinator: EntryInstanceId
    purpose: Purpose
    to_pool: Name | None = None
    wave: Annotated[int, Meta(ge=0)] = 0


class AckedDrain(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One drain that an entry instance acknowledges."""

    instance: InstanceId
    drain: DrainId


class DrainAck(RecordBody, frozen=True, kw_only=True):
    """An entry instance sends no more requests to these instances and has none in progress."""

    entry: EntryInstanceId
    incarnation: str
    instances: Annotated[tuple[AckedDrain, ...], Meta(min_length=1, max_length=1024)]


class StopIssued(RecordBody, frozen=True, kw_only=True):
    """A coordinator announces the stop of a quiesced instance, and stops it once this is settled.

    `boot_id` is the boot that the coordinator found running, empty if it equals the one in the
    state.
    """

    instance: InstanceId
    expected_version: Version
    coordinator: EntryInstanceId
    boot_id: str = ""


class Returned(RecordBody, frozen=True, kw_only=True):
    """The platform lists the instance as running with a new boot id."""

    instance: InstanceId
    expected_version: Version
    boot_id: Annotated[str, Meta(min_length=1, max_length=64)]


class ReturnFailed(RecordBody, frozen=True, kw_only=True):
    """A stopped instance did not come back."""

    instance: InstanceId
    expected_version: Version
    cause: ReturnFailure


class DrainCancel(RecordBody, frozen=True, kw_only=True):
    """Restore the status from before the drain of an instance that isn't stopped yet."""

    instance: InstanceId
    expected_version: Version
    coordinator: EntryInstanceId
    reason: Annotated[str, Meta(max_length=256)]


class MoveJoin(RecordBody, frozen=True, kw_only=True):
    """Assign a quiesced instance to the destination pool of its move."""

    instance: InstanceId
    expected_version: Version
    coordinator: EntryInstanceId


@dataclass(kw_only=True)
class Drain:
    """A planned stop or move in progress; times in log milliseconds.

    `waiting` maps each incarnation that has yet to acknowledge to its entry instance id.
    """

    id: str
    purpose: Purpose
    coordinator: str
    started_ms: int
    lapse_grace_ms: int
    """How long a request that was sent under a lease may be in progress after its expiry."""
    was_failed: bool = False
    to_pool: str = ""
    waiting: dict[str, str] = field(default_factory=dict)
    stopped_boot_id: str = ""
    return_by_ms: int = 0


@dataclass(kw_only=True)
class Wave:
    """The newest maintenance wave of one pool; times in log milliseconds.

    It covers each instance that was last maintained before `started_offset`. A halted wave resumes
    when an operator edits the pool's MaintenanceEntry after `halted_offset`.
    """

    number: int
    started_ms: int
    started_offset: int
    request: int = 0
    """`MaintenanceEntry.wave_request` when the wave started; a higher value requests a new one."""
    drained: int = 0
    returned: int = 0
    failed: int = 0
    finished_ms: int = 0
    failed_since_offset: int = -1
    """Offset of the MaintenanceEntry edit after which `failed` is counted."""
    halted_offset: int = -1
    halted_reason: str = ""


@dataclass(kw_only=True)
class WavesState:
    """Drains by instance id, and the newest wave of each pool."""

    drains: dict[str, Drain] = field(default_factory=dict)
    waves: dict[str, Wave] = field(default_factory=dict)
    recheck_ms: int = 0
    """Next log time at which an expired lease may end a wait; 0 if none can."""
    checked_departure: int = -1
    """`MembershipState.departed_offset` when the waits were last checked."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainAcknowledged(Effect):
    """One incarnation has acknowledged a drain."""

    instance: str
    drain: str
    incarnation: str
    offset: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StopPermitted(Effect):
    """No requests can reach the instance: it may be stopped, or moved to `to_pool`."""

    instance: str
    drain: str
    version: int
    purpose: Purpose
    to_pool: str
    coordinator: str
    offset: int


@dataclass(frozen=True, kw_only=True, slots=True)
class WaveHalted(Effect):
    """A wave was halted because too many instances did not come back."""

    pool: str
    wave: int
    reason: str
    offset: int


@dataclass(frozen=True, kw_only=True, slots=True)
class WaveFinished(Effect):
    """Every instance that the wave covers is maintained or has failed; times in log ms."""

    pool: str
    wave: int
    started_ms: int
    finished_ms: int
    offset: int
