"""Record models and data classes of the fold."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec


class RejectReason(StrEnum):
    """Why the fold rejected a record; the same for every reader."""

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
    """The body is well formed, but conflicts with other parts of the state."""


class Envelope(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A record of one kind with a unique id, as an author appends it.

    `not_after_ms` is in log time. Later copies are rejected, so the fold keeps ids only until
    then.
    """

    id: str
    kind: str
    author: str
    not_after_ms: int
    body: msgspec.Raw


class RecordBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of all record bodies; their handlers are registered with `handles`."""


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
    """Metadata of a record that its handler receives; times in log milliseconds."""

    id: str
    kind: str
    author: str
    offset: int
    now_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Effect:
    """Base class of all effects: actions or notifications for the code outside the reducer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The fold accepted the record; `version` is the new version of the changed item, 0 if none."""

    version: int = 0
    effects: tuple[Effect, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejected:
    """The fold rejected the record and changed nothing; `version` is the one in force."""

    reason: RejectReason
    detail: str = ""
    version: int = 0


@dataclass(kw_only=True, slots=True)
class RecordOutcome:
    """The decision on a record; kept as long as the record could be appended again.

    `reason` is empty if the record was accepted. `body_sha256` distinguishes a repetition of the
    record from a different record with the same id.
    """

    offset: int
    body_sha256: str
    version: int
    reason: str = ""
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Settled(Effect):
    """Reports the decision on a record to its author; `offset` is that of the record."""

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
    """An unreadable record was skipped, as it is by every reader."""

    offset: int
    reason: RejectReason
    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Violation:
    """A promise that is violated at an offset; `where` names the entry, instance or job."""

    promise: str
    offset: int
    where: str
    detail: str


def to_jsonable(value: Any) -> Any:
    """Convert a model or data class to plain JSON types."""
    return msgspec.to_builtins(value, order="sorted")
