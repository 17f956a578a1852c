"""What to send, what became of it, and what a run reports."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from .const import MAX_IN_FLIGHT


class Outcome(StrEnum):
    """What the answer to a request said, or what came instead of one."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    UNLABELLED = "unlabelled"
    """A whole answer without the outcome header."""
    NOT_CONNECTED = "not_connected"
    NO_ANSWER = "no_answer"
    """The connection broke, or a body ended before its announced length."""
    TIMED_OUT = "timed_out"
    NOT_SENT = "not_sent"
    """The generator itself had too many requests in progress; the run is not valid open loop."""


class Promise(StrEnum):
    """What no answer may break, whatever fails."""

    OWN_ANSWER = "own_answer"
    """The answer is to this request, not to another."""
    WHOLE_ANSWER = "whole_answer"
    """An answer that says `ran` came in full."""
    NOT_RUN_IS_TRUE = "not_run_is_true"
    """No target ran a request whose caller was told `not_run`."""
    AT_MOST_ONCE = "at_most_once"
    """No target, nor two of them, ran a non-idempotent request twice."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """One service to ask; `weight` is its part of all requests."""

    path: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """One run; rate in requests a second, times as named, shares from 0 to 1.

    `entries` are asked in turn, as a balancer would. `targets` are stand-ins whose counts are
    read after the run, to compare what ran with what callers were told.
    """

    entries: tuple[str, ...]
    services: tuple[Service, ...]
    rate: float
    duration_s: float
    max_requests: int
    arrivals: str = "poisson"
    seed: int = 1
    non_idempotent_share: float = 0.0
    keyed_share: float = 1.0
    """Of the non-idempotent requests, those that carry an Idempotency-Key."""
    deadline_ms: int = 0
    """Deadline that requests carry; 0 sends none."""
    timeout_ms: int = 30_000
    body_bytes: int = 64
    max_in_flight: int = MAX_IN_FLIGHT
    targets: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedRequest:
    """One request, settled before the run starts; `at_s` counts from the run's start."""

    id: str
    at_s: float
    entry: str
    method: str
    path: str
    body: bytes
    body_sha256: str
    idempotent: bool
    headers: tuple[tuple[str, str], ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """What became of one request; the latency in microseconds counts from its intended time.

    `late_us` is how much later than intended the generator itself sent it.
    """

    request: PlannedRequest
    outcome: Outcome
    reason: str
    latency_us: int
    late_us: int = 0
    broken: tuple[Promise, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Breach:
    """A promise that did not hold for one request."""

    promise: Promise
    request_id: str
    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class LatencySummary:
    """Latencies in milliseconds."""

    count: int
    mean: float
    p50: float
    p90: float
    p99: float
    p999: float
    max: float


@dataclass(kw_only=True, slots=True)
class Report:
    """What one run measured."""

    planned: int
    sent: int
    answered: int
    elapsed_s: float
    offered_per_s: float
    ran_per_s: float
    latency_ms: dict[str, LatencySummary] = field(default_factory=dict)
    """By outcome, from the intended send time."""
    generator_late_ms: LatencySummary | None = None
    outcomes: dict[str, int] = field(default_factory=dict)
    reasons: dict[str, int] = field(default_factory=dict)
    breaches: list[Breach] = field(default_factory=list)
    checked_targets: int = 0
    """Target stand-ins whose counts were compared; 0 means that this was not checked."""
