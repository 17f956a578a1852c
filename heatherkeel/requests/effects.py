"""Effects of requests, which the entry process carries out for callers and targets."""

from __future__ import annotations

from dataclasses import dataclass

from heatherkeel.core.models import Effect, RejectReason

from .models import ClaimOutcome, KeyClaim, RecordedAnswer
from .reasons import NoRetryReason, Outcome, RefusalReason, RetryReason


@dataclass(frozen=True, kw_only=True, slots=True)
class Send(Effect):
    """Send a request to a target, and report `AttemptEnded` after at most `timeout_ms`.

    `address` is IP address and port. With `fresh_connection`, no pooled connection may be used,
    because a network device may have dropped its state.
    """

    request_id: str
    target: str
    address: str
    fresh_connection: bool
    timeout_ms: int
    attempt: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Queued(Effect):
    """The request waits for a slot; `Send` or `Refuse` follows."""

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PassOn(Effect):
    """Pass a complete answer on to the caller, with outcome *ran*."""

    request_id: str
    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Refuse(Effect):
    """Send the caller a final refusal; `retry_after_ms` 0 omits the header."""

    request_id: str
    outcome: Outcome
    reason: RefusalReason
    retry_after_ms: int = 0
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteClaim(Effect):
    """Append a claim under `record_id`; report `ClaimWriteFailed` if it isn't read back in time.

    Its decision is reported as `ClaimRead`.
    """

    request_id: str
    record_id: str
    body: KeyClaim
    timeout_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRead(Effect):
    """A claim was read back from the log; `ClaimDecided` must follow at once.

    That event provides the current time: the process may have been paused since the claim.
    """

    request_id: str
    refusal: RejectReason | None


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteOutcome(Effect):
    """Append the outcome of a claimed request under `record_id`; the caller doesn't wait for it."""

    record_id: str
    body: ClaimOutcome


@dataclass(frozen=True, kw_only=True, slots=True)
class Replay(Effect):
    """Send the caller the recorded answer of the first request with its key, as *ran*."""

    request_id: str
    answer: RecordedAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class AbortAnswer(Effect):
    """Close the caller's connection, because the rest of a partly sent answer is missing."""

    request_id: str
    reason: RefusalReason


@dataclass(frozen=True, kw_only=True, slots=True)
class Retried(Effect):
    """A failed attempt is retried; counted by reason."""

    request_id: str
    reason: RetryReason


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRetried(Effect):
    """A failed attempt is not retried; counted by reason."""

    request_id: str
    reason: NoRetryReason


@dataclass(frozen=True, kw_only=True, slots=True)
class CloseConnections(Effect):
    """Close the idle connections to a target; connections in use stay open."""

    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetEjected(Effect):
    """A target failed repeatedly; it gets no requests before `until_ms` (monotonic)."""

    target: str
    until_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetReturned(Effect):
    """An ejection has ended; the target is probed with one request at a time at first."""

    target: str
