"""Border models of trace events, and the report. `docs/TRACES.md` is their reference."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from heatherkeel.core.models import RejectReason, Violation
from heatherkeel.pools.models import InstanceStatus
from heatherkeel.waves.const import DEFAULT_POLICY

from .const import TICK_MS

Expectation = StrEnum(  # type: ignore[misc]
    "Expectation",
    {"ACCEPTED": "accepted", **{reason.name: reason.value for reason in RejectReason}},
)
"""How a trace states the decision on a record."""

Milliseconds = Annotated[int, Meta(ge=0)]


class TraceEvent(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, tag_field="event"
):
    """Base of all events; `at_ms` is log time and never falls from line to line."""

    at_ms: Milliseconds


class Record(TraceEvent, frozen=True, kw_only=True, tag="record"):
    """A record of `kind` is appended, `copies` times under the same id.

    Without `expect` any decision is right. Given as `accepted` or a reason of refusal, another
    decision on the first copy is a violation.
    """

    kind: str
    body: dict[str, Any]
    author: str = "trace"
    id: str = ""
    copies: Annotated[int, Meta(ge=1, le=10)] = 1
    expect: Expectation | None = None


class Garbage(TraceEvent, frozen=True, kw_only=True, tag="garbage"):
    """Text that is no record is appended."""

    text: str


class Fakes(TraceEvent, frozen=True, kw_only=True, tag="fakes"):
    """From now on fakes play the coordinator, the entry instances, and the platform."""

    policy: str = DEFAULT_POLICY
    ack_ms: Milliseconds = 1_000
    reboot_ms: Milliseconds = 60_000
    tick_ms: Annotated[int, Meta(ge=100, le=3_600_000)] = TICK_MS
    """How often the fakes act."""


class InstanceFailed(TraceEvent, frozen=True, kw_only=True, tag="instance_failed"):
    """An instance fails and stays down until `instance_back`."""

    instance: str


class RackFailed(TraceEvent, frozen=True, kw_only=True, tag="rack_failed"):
    """All instances of a rack fail."""

    zone: str
    rack: str


class InstanceBack(TraceEvent, frozen=True, kw_only=True, tag="instance_back"):
    """An instance that failed is up again, under a new boot."""

    instance: str


class NoReturn(TraceEvent, frozen=True, kw_only=True, tag="no_return"):
    """Every n-th instance stopped for maintenance from now on doesn't come back; 0 ends it."""

    every: Annotated[int, Meta(ge=0)]


class ZoneCut(TraceEvent, frozen=True, kw_only=True, tag="zone_cut"):
    """An availability zone is cut off from the platform and from the other zones."""

    zone: str


class ZoneHealed(TraceEvent, frozen=True, kw_only=True, tag="zone_healed"):
    """A cut-off availability zone is back."""

    zone: str


class PlatformDown(TraceEvent, frozen=True, kw_only=True, tag="platform_down"):
    """The log takes no records; those of the trace wait until it is up."""


class PlatformUp(TraceEvent, frozen=True, kw_only=True, tag="platform_up"):
    """The log takes records again, `append_ms` after they are sent.

    The answers to the next `lost_answers` records are lost: each is appended a second time.
    """

    append_ms: Milliseconds = 0
    lost_answers: Annotated[int, Meta(ge=0)] = 0


class CoordinatorPaused(TraceEvent, frozen=True, kw_only=True, tag="coordinator_paused"):
    """The coordinator freezes with its plan in hand; another one takes over."""


class CoordinatorWoke(TraceEvent, frozen=True, kw_only=True, tag="coordinator_woke"):
    """The paused coordinator goes on with its old plan as if no time had passed."""


class ReaderStopped(TraceEvent, frozen=True, kw_only=True, tag="reader_stopped"):
    """A process stops reading the log."""


class ReaderBack(TraceEvent, frozen=True, kw_only=True, tag="reader_back"):
    """It reads on; the log has kept the newest `retained` records only."""

    retained: Annotated[int, Meta(ge=1)]


class ExpectInstance(TraceEvent, frozen=True, kw_only=True, tag="expect_instance"):
    """The instance must have this status and pool now."""

    instance: str
    status: InstanceStatus | None = None
    pool: str | None = None


class ExpectWave(TraceEvent, frozen=True, kw_only=True, tag="expect_wave"):
    """The pool's newest wave must be like this now."""

    pool: str
    number: int | None = None
    halted: bool | None = None
    finished: bool | None = None
    returned: int | None = None


class ExpectEntry(TraceEvent, frozen=True, kw_only=True, tag="expect_entry"):
    """The catalogue entry must have this version now; 0: there is none."""

    name: str
    version: int


class End(TraceEvent, frozen=True, kw_only=True, tag="end"):
    """The fakes act until now."""


Event = (
    Record
    | Garbage
    | Fakes
    | InstanceFailed
    | RackFailed
    | InstanceBack
    | NoReturn
    | ZoneCut
    | ZoneHealed
    | PlatformDown
    | PlatformUp
    | CoordinatorPaused
    | CoordinatorWoke
    | ReaderStopped
    | ReaderBack
    | ExpectInstance
    | ExpectWave
    | ExpectEntry
    | End
)


@dataclass(kw_only=True)
class Measures:
    """What the trace cost; units in `docs/TRACES.md`."""

    buffer_cost: float = 0.0
    """Spare instances, mean over log time."""
    roll_out_time_s: float = 0.0
    """Longest wave, from its first drain to its end, in seconds."""
    edit_in_force_s: float = 0.0
    """Longest time from an accepted edit until every live entry instance had it, in seconds."""
    moves: int = 0
    """Instances that changed their pool."""


@dataclass(kw_only=True)
class ReplayReport:
    """The outcome of a trace; it is clean if `violations` is empty."""

    violations: list[Violation] = field(default_factory=list)
    measures: Measures = field(default_factory=Measures)
    records: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    """Refused records by reason."""
    digest: str = ""
    """SHA-256 of the canonical end state, in hexadecimal."""
