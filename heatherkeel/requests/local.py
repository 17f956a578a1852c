"""Local state of one entry instance for targets and requests; not shared or persisted."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from heatherkeel.catalogue.models import ServiceClass, ServiceEntry

from .const import INITIAL_LATENCY_MS, RETRY_BUDGET_MAX


@dataclass(kw_only=True)
class TargetView:
    """State of one target at this entry instance; times are in monotonic milliseconds.

    `in_progress` counts only the requests of this entry instance. `cap` is its share of the
    target's slots, computed for the share views of `cap_generation`.
    """

    address: str
    zone: str
    pool: str
    serving: bool = True
    """Whether the target is serving according to the fold."""
    leaving: bool = False
    leaving_reported_ms: int = 0
    """When the target itself last reported that it is leaving; 0 if it never did."""
    gone: bool = False
    in_progress: int = 0
    latency_ms: float = INITIAL_LATENCY_MS
    failures: int = 0
    """Number of failures since the last success."""
    ejections: int = 0
    """Number of ejections since the last success."""
    ejected_until_ms: int = 0
    probing: bool = False
    """Whether it returned from an ejection without a success since."""
    slow_start_from_ms: int = -1
    """Beginning of the slow start; -1 if none is in progress."""
    cap: int = 0
    cap_generation: int = -1


class RequestPhase(StrEnum):
    """Phase of a request before its final answer."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    """The request holds a slot and waits for its claim to be read back."""
    SENT = "sent"


@dataclass(kw_only=True)
class ActiveRequest:
    """A request without a final answer; times are in monotonic milliseconds."""

    service: str
    pool: str
    owner: str
    service_class: ServiceClass
    idempotent: bool
    key: str
    fingerprint: str
    deadline_at_ms: int
    phase: RequestPhase = RequestPhase.QUEUED
    target: str = ""
    tried: tuple[str, ...] = ()
    may_have_run: bool = False
    """An earlier attempt may have run, so the outcome can no longer be *not run*."""
    claim: str = ""
    """Id of the claim record; empty if none is needed or written yet."""
    abandoned: bool = False
    """Whether the caller disconnected while the claim was being written."""


@dataclass(kw_only=True)
class ClassQueue:
    """Waiting requests of one class by owner; owners are served in the order of `rotation`."""

    owners: dict[str, deque[str]] = field(default_factory=dict)
    rotation: deque[str] = field(default_factory=deque)
    waiting: int = 0
    passed_over: int = 0


@dataclass(kw_only=True)
class FullZone:
    """Marks that no target of a pool in one zone has capacity, for a short time.

    It only applies to the shares of `generation`.
    """

    generation: int
    until_ms: int
    freed: dict[str, None] = field(default_factory=dict)
    """Targets on which a slot was freed since then; used as an ordered set."""


@dataclass(kw_only=True)
class PoolView:
    """State of one pool at this entry instance: candidate targets and queued requests."""

    candidates: dict[str, list[str]] = field(default_factory=dict)
    """Targets that may receive new requests, by availability zone, sorted by name."""
    full_zones: dict[str, FullZone] = field(default_factory=dict)
    """Availability zones in which the last search found no capacity."""
    queues: dict[ServiceClass, ClassQueue] = field(default_factory=dict)
    waiting: int = 0
    in_progress: int = 0
    last_end_ms: int = -1
    """When a slot was last freed while requests were waiting; -1 if none were."""
    drain_interval_ms: float = 0.0
    """Moving average of the time between freed slots while requests wait; 0 if unknown."""
    latency_ms: float = INITIAL_LATENCY_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class ShareMember:
    """An entry instance that holds shares in a share view."""

    instance: str
    incarnation: str
    zone: str
    expired: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ShareView:
    """Input for computing the shares at one offset; `slots` is keyed by pool."""

    offset: int
    members: tuple[ShareMember, ...]
    slots: dict[str, int]


@dataclass(kw_only=True)
class SharesState:
    """Share views that another entry instance may still use, oldest first."""

    views: list[ShareView] = field(default_factory=list)
    generation: int = 0
    """Incremented whenever a cap may have changed."""
    next_change_ms: int = 0
    """Log time at which the next lease expires; 0 for never."""
    live_views: int = 0
    """Number of views that every entry instance without an expired lease acknowledged."""


@dataclass(kw_only=True)
class RetryBudget:
    """Remaining retry budget of one service, in hundredths of a retry."""

    remaining: int = RETRY_BUDGET_MAX


@dataclass(kw_only=True)
class RoutingState:
    """Targets, pools and requests at this entry instance."""

    seed: int = 1
    """State of the pseudorandom generator that selects targets and zones."""
    targets: dict[str, TargetView] = field(default_factory=dict)
    pools: dict[str, PoolView] = field(default_factory=dict)
    services: dict[str, ServiceEntry] = field(default_factory=dict)
    prefixes: dict[str, str] = field(default_factory=dict)
    """Service names by path prefix."""
    requests: dict[str, ActiveRequest] = field(default_factory=dict)
    claims: dict[str, str] = field(default_factory=dict)
    """Requests that wait for their claim, by claim record id."""
    waiting: dict[str, int] = field(default_factory=dict)
    """Number of queued requests by service."""
    deadlines: list[tuple[int, str]] = field(default_factory=list)
    """Heap of the deadlines of queued requests; may contain entries of dequeued requests."""
    ejected: dict[str, int] = field(default_factory=dict)
    """Ejected targets and the end time of each ejection."""
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    shares: SharesState = field(default_factory=SharesState)
    leaving: set[str] = field(default_factory=set)
    """Targets that are marked as leaving in the platform's list."""
