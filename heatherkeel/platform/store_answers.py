"""What the platform's store answers, read into our own types."""

from __future__ import annotations

from base64 import b64decode
from dataclasses import dataclass
from typing import Final, TypeVar

import msgspec
from result import Err, Ok, Result

from .caller import Reply
from .errors import CallError, Failure
from .framing import UNREADABLE_KEY, KeyedRecord

ModelT = TypeVar("ModelT")

_GONE, _CONFLICT, _PRECONDITION = 410, 409, 412
_REFUSED: Final = frozenset({429, 503, 507})


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRecords:
    """Records from an offset on, and where the log ends."""

    end: int
    records: list[KeyedRecord]


@dataclass(frozen=True, kw_only=True, slots=True)
class NewestRecords:
    """One page of the newest records; pages are not a snapshot, so offsets decide."""

    end: int
    records: list[KeyedRecord]
    has_more: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupAssignment:
    """A member's partitions by topic, and the generation of the group, which only rises."""

    generation: int
    partitions: dict[str, set[int]]


@dataclass(frozen=True, kw_only=True, slots=True)
class PartitionHolder:
    """Which member holds a partition."""

    topic: str
    partition: int
    member: str


class _Answer(msgspec.Struct, kw_only=True):
    reason: str = ""
    end: int = msgspec.field(name="endKey", default=0)
    first: int = 0
    sequence: int = 0


class _Item(msgspec.Struct, kw_only=True):
    key: str
    value: str = ""
    offset: int = 0


class NewestPage(msgspec.Struct, kw_only=True):
    """One page of the newest records, each still to be read by itself."""

    items: list[msgspec.Raw] = []
    has_more: bool = msgspec.field(name="hasMore", default=False)
    end: int = msgspec.field(name="endKey", default=0)


class Joined(msgspec.Struct, kw_only=True):
    """What a member of a group holds: rows of topic, partition and committed offset."""

    generation: int = 0
    parts: list[tuple[str, int, int]] = []


def decode_holders(body: bytes) -> Result[list[PartitionHolder], CallError]:
    """Read rows of topic, partition, member and offset, alone or under a name."""
    try:
        document = msgspec.json.decode(body)
        if isinstance(document, dict):
            document = next(rows for rows in document.values() if isinstance(rows, list))
        return Ok(
            [
                PartitionHolder(topic=row[0], partition=row[1], member=row[2] or "")
                for row in document
            ]
        )
    except (ValueError, LookupError, TypeError, StopIteration) as err:
        return Err(CallError(failure=Failure.INVALID, detail=f"list of holders: {err!r}"))


def decode_item(item: msgspec.Raw) -> KeyedRecord:
    """Read one record of a page; one that can't be read must not cost the page's others."""
    try:
        decoded = msgspec.json.decode(item, type=_Item)
        value = b64decode(decoded.value)
    except (ValueError, RecursionError):
        return KeyedRecord(key=UNREADABLE_KEY, value=b"")
    return KeyedRecord(key=decoded.key, value=value, offset=decoded.offset)


def check(reply: Reply) -> Result[Reply, CallError]:
    """Pass an answer on that says yes; else return what was wrong.

    REFUSED if nothing was done, UNKNOWN if it may have been, FENCED or OUT_OF_ORDER for a producer
    that is behind, FORGOTTEN for records that are no longer kept, with the first that is.
    """
    if reply.status == 200:
        return Ok(reply)
    detail = f"status {reply.status}"
    answer = _Answer()
    if reply.status in (_CONFLICT, _GONE, _PRECONDITION):
        try:
            answer = msgspec.json.decode(reply.body, type=_Answer)
        except ValueError:
            detail += ", body not readable"
    if reply.status in _REFUSED:
        failure = Failure.REFUSED
    elif reply.status == _GONE:
        failure = Failure.FORGOTTEN
    elif reply.status == _CONFLICT and answer.reason == "fenced":
        failure = Failure.FENCED
    elif reply.status == _CONFLICT:
        failure = Failure.OUT_OF_ORDER
    elif reply.status >= 500:
        failure = Failure.UNKNOWN
    else:
        failure = Failure.INVALID
    number = answer.first if reply.status == _GONE else answer.sequence
    return Err(
        CallError(
            failure=failure,
            detail=f"{detail} {answer.reason}".strip(),
            status=reply.status,
            number=number,
        )
    )


def decode(checked: Result[Reply, CallError], model: type[ModelT]) -> Result[ModelT, CallError]:
    """Read an answer of a known shape; INVALID if it has another."""
    if isinstance(checked, Err):
        return checked
    try:
        return Ok(msgspec.json.decode(checked.ok_value.body, type=model))
    except (ValueError, RecursionError) as err:
        return Err(CallError(failure=Failure.INVALID, detail=str(err)))
