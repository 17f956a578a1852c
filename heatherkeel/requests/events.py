"""Local events for requests and targets at one entry instance."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from heatherkeel.core.models import RejectReason
from heatherkeel.core.node import LocalEvent

from .models import RecordedAnswer
from .reasons import RefusalReason


class AttemptResult(StrEnum):
    """How one attempt ended."""

    WHOLE_ANSWER = "whole_answer"
    REFUSED_BEFORE_START = "refused_before_start"
    """The target answered that it did not start, with `heatherkeel-outcome: not_run`."""
    CONNECT_FAILED = "connect_failed"
    """No connection was made, so no byte of the request was sent."""
    BROKEN_AFTER_SEND = "broken_after_send"
    """Part of the request may have been sent; no part of an answer went to the caller."""
    BROKEN_IN_ANSWER = "broken_in_answer"
    """Part of the answer had already been sent to the caller."""
    TIMED_OUT = "timed_out"
    """`Send.timeout_ms` passed without a complete answer; no part of it went to the caller."""
    CALLER_GONE = "caller_gone"


class LeavingSource(StrEnum):
    """Source of a report that a target is leaving."""

    PLATFORM_LIST = "platform_list"
    TARGET = "target"


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestArrived(LocalEvent):
    """A caller's request was read completely; `deadline_ms` is the time allowed by the caller.

    A request with a `key` is sent only after its claim was read back. `fingerprint` is a digest
    of method, path and body, or empty without a key.
    """

    request_id: str
    path: str
    idempotent: bool
    key: str = ""
    fingerprint: str = ""
    deadline_ms: int = 0
    """0 means the service's `deadline_ms`, which is also the maximum."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded(LocalEvent):
    """An attempt has ended, and its connection is idle again or closed.

    `server_error` marks a complete answer with a 5xx status, which counts as a failure.
    """

    request_id: str
    target: str
    result: AttemptResult
    latency_ms: int
    server_error: bool = False
    answer: RecordedAnswer | None = None
    """Answer to record; required for complete answers to requests with a key."""


@dataclass(frozen=True, kw_only=True, slots=True)
class InputRefused(LocalEvent):
    """A caller's request is malformed; `detail` describes the error."""

    request_id: str
    reason: RefusalReason
    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimDecided(LocalEvent):
    """Follows `ClaimRead` with the decision on the claim and the current time."""

    request_id: str
    refusal: RejectReason | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimWriteFailed(LocalEvent):
    """A claim was not read back in time; it may or may not be in the log."""

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerGone(LocalEvent):
    """The caller disconnected before its request was sent; after that, see `AttemptEnded`.

    A sent request with a key continues without its caller, so that a repeated request finds its
    outcome.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueTick(LocalEvent):
    """Triggers the handling of passed deadlines and ended ejections."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLeaving(LocalEvent):
    """A target must get no new requests, according to the platform's list or the target."""

    target: str
    source: LeavingSource


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLive(LocalEvent):
    """The platform's list shows the target as live."""

    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetGone(LocalEvent):
    """The platform's list no longer contains the target."""

    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetRestored(LocalEvent):
    """The fold was replaced by a snapshot, so state derived from it must be rebuilt."""
