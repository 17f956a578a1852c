"""Border models and data classes of the fold."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec


class RejectReason(StrEnum):
    """Why the fold refused a record; every reader reaches the same reason."""

    MALFORMED = "malformed"
    UNKNOWN_KIND = "unknown_kind"
    EXPIRED = "expired"
    STALE_VERSION = "stale_version"
    NOT_FOUND = "not_found"
    ALREADY_EXISTS = "already_exists"
    NOT_OWNER = "not_owner"
    NO_BUDGET = "no_budget"
    WRONG_STATE = "wrong_state"
    WAVE_HALTED = "wave_halted"
    OUTSIDE_HOURS = "outside_hours"
    NOT_ACKNOWLEDGED = "not_acknowledged"
    CONFLICT = "conflict"
    QUOTA = "quota"
    IN_USE = "in_use"
    INVALID = "invalid"
    """The body is well formed, but breaks a rule that concerns other parts of the state."""


class Envelope(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What an author appends: a record of one kind, under a unique id.

    `not_after_ms` is in log time. A copy that is appended later is refused, so the fold has to
    remember ids only until then.
    """

    id: str
    kind: str
    author: str
    not_after_ms: int
    body: msgspec.Raw


class RecordBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all record bodies; a subject registers its own with `register_record`."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LogRecord:
    """One record as read from the platform's log.

    `offset` counts records of the stream from 0; `at_ms` is the log's own append time in
    milliseconds, which never decreases along the stream.
    """

    offset: int
    at_ms: int
    data: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordMeta:
    """What a handler may know about the record besides its body; times in log milliseconds."""

    id: str
    kind: str
    author: str
    offset: int
    now_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Effect:
    """Base of all effects: something for the world outside of the reducer to do or to tell."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The fold took the record; `version` is the new version of what it changed, 0 if none."""

    version: int = 0
    effects: tuple[Effect, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejected:
    """The fold refused the record and changed nothing; `version` is the one in force."""

    reason: RejectReason
    detail: str = ""
    version: int = 0


@dataclass(kw_only=True, slots=True)
class RecordOutcome:
    """How the fold decided a record; kept as long as the record could be appended again.

    `reason` is empty if the record was accepted. `body_sha256` tells a repeat of the record
    from another one under the same id.
    """

    offset: int
    body_sha256: str
    version: int
    reason: str = ""
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Settled(Effect):
    """Tells the author of a record how the fold decided it; `offset` is the record's."""

    record_id: str
    kind: str
    author: str
    offset: int
    outcome: Accepted | Rejected


@dataclass(frozen=True, kw_only=True, slots=True)
class Duplicate(Effect):
    """A second copy of a record was ignored."""

    record_id: str
    offset: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Skipped(Effect):
    """A record that nobody can read was passed over, the same at every reader."""

    offset: int
    reason: RejectReason
    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Violation:
    """A promise that does not hold at an offset; `where` names the entry, instance or job."""

    promise: str
    offset: int
    where: str
    detail: str


def to_jsonable(value: Any) -> Any:
    """Return plain JSON types for a model or data class."""
    return msgspec.to_builtins(value, order="sorted")
