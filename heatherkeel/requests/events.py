"""Local events of this subject: what happens to requests and targets at one entry instance."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from heatherkeel.core.models import RejectReason
from heatherkeel.core.node import LocalEvent

from .models import RecordedAnswer
from .reasons import RefusalReason


class AttemptResult(StrEnum):
    """How one send to a target ended."""

    WHOLE_ANSWER = "whole_answer"
    REFUSED_BEFORE_START = "refused_before_start"
    """The target answered that it did not start: `heatherkeel-outcome: not_run`."""
    CONNECT_FAILED = "connect_failed"
    """No connection, so no byte of the request was sent."""
    BROKEN_AFTER_SEND = "broken_after_send"
    """Some of the request may have been sent; nothing of an answer went to the caller."""
    BROKEN_IN_ANSWER = "broken_in_answer"
    """A part of the answer already went to the caller."""
    TIMED_OUT = "timed_out"
    """`Send.timeout_ms` passed without a whole answer, and nothing of it went to the caller."""
    CALLER_GONE = "caller_gone"


class LeavingSource(StrEnum):
    """Who said that a target is leaving."""

    PLATFORM_LIST = "platform_list"
    TARGET = "target"


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestArrived(LocalEvent):
    """A caller's request is wholly read; `deadline_ms` is the time the caller gives it.

    A request with a `key` is sent only after its claim was read back. `fingerprint` is a digest
    of method, path and body; empty without a key.
    """

    request_id: str
    path: str
    idempotent: bool
    key: str = ""
    fingerprint: str = ""
    deadline_ms: int = 0
    """0 takes the service's `deadline_ms`; a longer one than the service's is cut to it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded(LocalEvent):
    """The send to a target is over, and its connection is idle again or closed.

    `server_error` tells a whole answer with a 5xx status, which counts against the target.
    """

    request_id: str
    target: str
    result: AttemptResult
    latency_ms: int
    server_error: bool = False
    answer: RecordedAnswer | None = None
    """What to record of a whole answer; needed for requests with a key."""


@dataclass(frozen=True, kw_only=True, slots=True)
class InputRefused(LocalEvent):
    """A caller's request is not well formed; `detail` says in words what is wrong with it."""

    request_id: str
    reason: RefusalReason
    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimDecided(LocalEvent):
    """The answer to `ClaimRead`: takes the claim's decision on, at the time that it is now."""

    request_id: str
    refusal: RejectReason | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimWriteFailed(LocalEvent):
    """A claim was not read back in time; it may or may not be in the log."""

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerGone(LocalEvent):
    """The caller hung up before its request was sent; after that it is an `AttemptEnded`.

    A request with a key that was sent goes on without its caller, so that a repeat finds its
    outcome.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueTick(LocalEvent):
    """Time has passed: ends what has outlived its deadline, and ejections that are over."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLeaving(LocalEvent):
    """A target must get no new work: the platform's list or the target itself says so."""

    target: str
    source: LeavingSource


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLive(LocalEvent):
    """The platform's list shows the target as live."""

    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetGone(LocalEvent):
    """The platform's list has lost the target."""

    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetRestored(LocalEvent):
    """The fold was replaced by a snapshot: what was derived from it has to be derived anew."""
