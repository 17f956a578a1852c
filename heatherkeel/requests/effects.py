"""Effects of this subject: what the entry instance has to do for its callers and targets."""

from __future__ import annotations

from dataclasses import dataclass

from heatherkeel.core.models import Effect, RejectReason

from .models import ClaimOutcome, KeyClaim, RecordedAnswer
from .reasons import NoRetryReason, Outcome, RefusalReason, RetryReason


@dataclass(frozen=True, kw_only=True, slots=True)
class Send(Effect):
    """Send a request to a target, and report `AttemptEnded` after at most `timeout_ms`.

    `address` is IP number and port. With `fresh_connection` no pooled connection may be used:
    something between the two ends may have lost track of it.
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
    """The answer is whole: the caller gets it, with outcome *ran*."""

    request_id: str
    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Refuse(Effect):
    """Give the caller its final answer, at once; `retry_after_ms` 0 leaves the header out."""

    request_id: str
    outcome: Outcome
    reason: RefusalReason
    retry_after_ms: int = 0
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteClaim(Effect):
    """Append a claim under `record_id`; report `ClaimWriteFailed` if it isn't read back in time.

    Its decision comes as `ClaimRead`.
    """

    request_id: str
    record_id: str
    body: KeyClaim
    timeout_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRead(Effect):
    """A claim was read back from the log; `ClaimDecided` has to follow at once.

    The detour brings in the clock: the process may have been paused since it wrote the claim.
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
    """Give the caller the recorded answer of the first request with its key, as *ran*."""

    request_id: str
    answer: RecordedAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class AbortAnswer(Effect):
    """Break the caller's connection: a part of the answer went out and the rest won't come."""

    request_id: str
    reason: RefusalReason


@dataclass(frozen=True, kw_only=True, slots=True)
class Retried(Effect):
    """A failed attempt is followed by another one; counted by reason."""

    request_id: str
    reason: RetryReason


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRetried(Effect):
    """A failed attempt is the last one; counted by reason."""

    request_id: str
    reason: NoRetryReason


@dataclass(frozen=True, kw_only=True, slots=True)
class CloseConnections(Effect):
    """Close the idle connections to a target; those in use go on."""

    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetEjected(Effect):
    """A target fails everything; it gets nothing before `until_ms` (monotonic)."""

    target: str
    until_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetReturned(Effect):
    """An ejection is over; the target is tried again, one request at a time at first."""

    target: str
