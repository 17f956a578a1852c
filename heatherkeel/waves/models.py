"""Records about drains and waves, and the subject's folded state."""

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
    """How it is known that a stopped instance doesn't come back."""

    TIMED_OUT = "timed_out"
    """It had `return_timeout_s` and did not appear; the fold checks the time."""
    START_FAILED = "start_failed"
    """The platform says that its start failed."""


class DrainStart(RecordBody, frozen=True, kw_only=True):
    """Take an instance out of service; the id of this record becomes the drain's id.

    `wave` is the number of the pool's wave that this drain belongs to, for maintenance only.
    `to_pool` is where a move ends.
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
    """An entry instance has stopped sending to these, and nothing of its own is in progress."""

    entry: EntryInstanceId
    incarnation: str
    instances: Annotated[tuple[AckedDrain, ...], Meta(min_length=1, max_length=1024)]


class StopIssued(RecordBody, frozen=True, kw_only=True):
    """A coordinator claims the stop of a quiesced instance; it stops it after the read-back.

    `boot_id` is the boot that it found running, empty if that is the one in the state.
    """

    instance: InstanceId
    expected_version: Version
    coordinator: EntryInstanceId
    boot_id: str = ""


class Returned(RecordBody, frozen=True, kw_only=True):
    """The platform shows the instance running with a boot that it didn't have before."""

    instance: InstanceId
    expected_version: Version
    boot_id: Annotated[str, Meta(min_length=1, max_length=64)]


class ReturnFailed(RecordBody, frozen=True, kw_only=True):
    """A stopped instance did not come back."""

    instance: InstanceId
    expected_version: Version
    cause: ReturnFailure


class DrainCancel(RecordBody, frozen=True, kw_only=True):
    """Put an instance that was not stopped yet back to what it was before its drain."""

    instance: InstanceId
    expected_version: Version
    coordinator: EntryInstanceId
    reason: Annotated[str, Meta(max_length=256)]


class MoveJoin(RecordBody, frozen=True, kw_only=True):
    """Put a quiesced instance into the pool that its move names."""

    instance: InstanceId
    expected_version: Version
    coordinator: EntryInstanceId


@dataclass(kw_only=True)
class Drain:
    """A planned stop or move under way; times in log milliseconds.

    `waiting` are the incarnations that have yet to acknowledge, with their entry instance ids.
    """

    id: str
    purpose: Purpose
    coordinator: str
    started_ms: int
    lapse_grace_ms: int
    """How long after a lapsed lease a request that was sent before may be in progress."""
    was_failed: bool = False
    to_pool: str = ""
    waiting: dict[str, str] = field(default_factory=dict)
    stopped_boot_id: str = ""
    return_by_ms: int = 0


@dataclass(kw_only=True)
class Wave:
    """The newest maintenance wave of one pool; times in log milliseconds.

    It covers each instance that was last maintained before `started_offset`. A halted wave goes on
    when an operator has edited the pool's MaintenanceEntry after `halted_offset`.
    """

    number: int
    started_ms: int
    started_offset: int
    request: int = 0
    """`MaintenanceEntry.wave_request` when the wave opened: up to it, requests are met."""
    drained: int = 0
    returned: int = 0
    failed: int = 0
    finished_ms: int = 0
    failed_since_offset: int = -1
    """Offset of the MaintenanceEntry edit that `failed` is counted from."""
    halted_offset: int = -1
    halted_reason: str = ""


@dataclass(kw_only=True)
class WavesState:
    """Drains by instance id, and the newest wave of each pool."""

    drains: dict[str, Drain] = field(default_factory=dict)
    waves: dict[str, Wave] = field(default_factory=dict)
    recheck_ms: int = 0
    """Next log time at which a lapsed lease may end a wait; 0 if none can."""
    checked_departure: int = -1
    """`MembershipState.departed_offset` when the waits were last looked at."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainAcknowledged(Effect):
    """One incarnation has acknowledged a drain."""

    instance: str
    drain: str
    incarnation: str
    offset: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StopPermitted(Effect):
    """Nobody can send to the instance any more: it may be stopped, or joined to `to_pool`."""

    instance: str
    drain: str
    version: int
    purpose: Purpose
    to_pool: str
    coordinator: str
    offset: int


@dataclass(frozen=True, kw_only=True, slots=True)
class WaveHalted(Effect):
    """A wave stopped because too many instances did not come back."""

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
