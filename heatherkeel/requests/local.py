"""What one entry instance knows of targets and of its own requests; never shared or kept."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from heatherkeel.catalogue.models import ServiceClass, ServiceEntry

from .const import INITIAL_LATENCY_MS, RETRY_BUDGET_MAX


@dataclass(kw_only=True)
class TargetView:
    """One target as this entry instance sees it; times in monotonic milliseconds.

    `in_progress` counts this entry instance's own requests. `cap` is its share of the target's
    slots, and holds for the share views numbered `cap_generation`.
    """

    address: str
    zone: str
    pool: str
    serving: bool = True
    """The fold says that it serves."""
    leaving: bool = False
    leaving_heard_ms: int = 0
    """When the target itself last said that it leaves; 0 if it never did."""
    gone: bool = False
    in_progress: int = 0
    latency_ms: float = INITIAL_LATENCY_MS
    failures: int = 0
    """Failures since the last success."""
    ejections: int = 0
    """Ejections since the last success."""
    ejected_until_ms: int = 0
    probing: bool = False
    """Back from an ejection, with no success yet."""
    ramp_from_ms: int = -1
    """Start of the slow start; -1 outside of one."""
    cap: int = 0
    cap_generation: int = -1


class RequestPhase(StrEnum):
    """Where a request stands."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    """It holds a slot and waits for its claim to be read back."""
    SENT = "sent"


@dataclass(kw_only=True)
class ActiveRequest:
    """A request that has no final answer yet; times in monotonic milliseconds."""

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
    """An attempt ended after something was sent, so *not run* can't be said any more."""
    claim: str = ""
    """Id of its claim record; empty if it needs none or has none yet."""
    abandoned: bool = False
    """Its caller hung up while its claim was on the way."""


@dataclass(kw_only=True)
class ClassQueue:
    """Waiting requests of one class by owner; owners take turns in the order of `turns`."""

    owners: dict[str, deque[str]] = field(default_factory=dict)
    turns: deque[str] = field(default_factory=deque)
    waiting: int = 0
    passed_over: int = 0


@dataclass(kw_only=True)
class FullZone:
    """No target of a pool in one zone had room; holds for these shares, and for a moment only."""

    generation: int
    until_ms: int
    freed: dict[str, None] = field(default_factory=dict)
    """Targets on which a slot was freed since, each once."""


@dataclass(kw_only=True)
class PoolView:
    """One pool as this entry instance sees it: who may be picked, and who waits."""

    candidates: dict[str, list[str]] = field(default_factory=dict)
    """Targets that may get new work, by availability zone, in order of name."""
    full: dict[str, FullZone] = field(default_factory=dict)
    """Availability zones in which the last look found no room."""
    queues: dict[ServiceClass, ClassQueue] = field(default_factory=dict)
    waiting: int = 0
    in_progress: int = 0
    last_end_ms: int = -1
    """When a slot was last freed while requests waited; -1 if none waited then."""
    drain_interval_ms: float = 0.0
    """Moving average of the time between two freed slots while requests wait; 0 if unknown."""
    latency_ms: float = INITIAL_LATENCY_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class ShareMember:
    """An entry instance that holds shares, as of one share view."""

    instance: str
    incarnation: str
    zone: str
    lapsed: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ShareView:
    """What shares are worked out from, as of one offset; `slots` by pool."""

    offset: int
    members: tuple[ShareMember, ...]
    slots: dict[str, int]


@dataclass(kw_only=True)
class SharesState:
    """Share views that another entry instance may still hold, oldest first."""

    views: list[ShareView] = field(default_factory=list)
    generation: int = 0
    """Rises whenever a cap may have changed."""
    next_change_ms: int = 0
    """Log time at which the next lease lapses, so that most records need no look; 0 for never."""
    live_views: int = 0
    """How many of the views all but the lapsed have acknowledged."""


@dataclass(kw_only=True)
class RetryBudget:
    """Retries that one service may still send, in hundredths."""

    left: int = RETRY_BUDGET_MAX


@dataclass(kw_only=True)
class RoutingState:
    """Targets, pools and requests of this entry instance."""

    seed: int = 1
    """State of the generator that breaks ties."""
    targets: dict[str, TargetView] = field(default_factory=dict)
    pools: dict[str, PoolView] = field(default_factory=dict)
    services: dict[str, ServiceEntry] = field(default_factory=dict)
    prefixes: dict[str, str] = field(default_factory=dict)
    """Service names by path prefix."""
    requests: dict[str, ActiveRequest] = field(default_factory=dict)
    claims: dict[str, str] = field(default_factory=dict)
    """Requests that wait for their claim, by the id of the claim record."""
    waiting: dict[str, int] = field(default_factory=dict)
    """Queued requests by service."""
    deadlines: list[tuple[int, str]] = field(default_factory=list)
    """Heap of deadlines of queued requests; entries of requests that moved on are stale."""
    ejected: dict[str, int] = field(default_factory=dict)
    """Ejected targets, with the end of their ejection."""
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    shares: SharesState = field(default_factory=SharesState)
    leaving: set[str] = field(default_factory=set)
    """Targets that the platform's list shows as leaving."""
