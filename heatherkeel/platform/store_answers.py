"""Decodes the responses of the platform's store."""

from __future__ import annotations

from base64 import b64decode
from dataclasses import dataclass
from typing import Final, TypeVar

import msgspec
from result import Err, Ok, Result

from .caller import Reply
from .errors import CallError, Failure
from .framing import UNREADABLE_KEY, KeyedRecord
from .ranges import Int64

ModelT = TypeVar("ModelT")

_GONE, _CONFLICT, _PRECONDITION = 410, 409, 412
_REFUSED: Final = frozenset({429, 503, 507})


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRecords:
    """Records from an offset on, and the end of the log.

    The store cuts its answers at a size, so that there may be more records before the end.
    """

    start: int
    end: int
    records: list[KeyedRecord]
    size: int = 0
    """Size of the answer, in bytes."""

    def next_offset(self) -> int:
        """Return the offset behind the last record."""
        return self.start + len(self.records)

    def count_missing(self) -> int:
        """Return how many further records the log held when the store answered."""
        return max(0, self.end - self.next_offset())

    def is_whole(self) -> bool:
        """Return whether it held none."""
        return not self.count_missing()


@dataclass(frozen=True, kw_only=True, slots=True)
class NewestRecords:
    """One page of the newest records; pages are no snapshot, so compare records by offset."""

    end: int
    records: list[KeyedRecord]
    has_more: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupAssignment:
    """A member's partitions by topic, and the generation of the group, which never decreases."""

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
    end: Int64 = msgspec.field(name="endKey", default=0)
    first: Int64 = 0
    sequence: Int64 = 0


class Appended(msgspec.Struct, frozen=True, kw_only=True):
    """Where the records of an append lie: the offset of the first, and the one behind the last.

    A repeated append gets the answer to the first, whatever its records are.
    """

    offset: Int64
    end: Int64 = msgspec.field(name="endKey")


class _Item(msgspec.Struct, kw_only=True):
    key: str
    value: str = ""
    offset: Int64 = 0


class NewestPage(msgspec.Struct, kw_only=True):
    """One page of the newest records, whose items are decoded one by one."""

    items: list[msgspec.Raw] = []
    has_more: bool = msgspec.field(name="hasMore", default=False)
    end: Int64 = msgspec.field(name="endKey", default=0)


class Joined(msgspec.Struct, kw_only=True):
    """Partitions of a group member: rows of topic, partition and committed offset."""

    generation: Int64 = 0
    parts: list[tuple[str, Int64, Int64]] = []


def decode_holders(body: bytes) -> Result[list[PartitionHolder], CallError]:
    """Decode rows of topic, partition, member and offset: a list, or an object that holds one."""
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
    except (ValueError, LookupError, TypeError, StopIteration, RecursionError) as err:
        return Err(CallError(failure=Failure.INVALID, detail=f"list of holders: {err!r}"))


def decode_item(item: msgspec.Raw) -> KeyedRecord:
    """Decode one record of a page; an unreadable one must not fail the whole page."""
    try:
        decoded = msgspec.json.decode(item, type=_Item)
        value = b64decode(decoded.value)
    except (ValueError, RecursionError):
        return KeyedRecord(key=UNREADABLE_KEY, value=b"")
    return KeyedRecord(key=decoded.key, value=value, offset=decoded.offset)


def check(reply: Reply) -> Result[Reply, CallError]:
    """Return a successful reply, or the error that its status stands for.

    REFUSED if nothing was done, UNKNOWN if it may have been, FENCED or OUT_OF_ORDER for a producer
    that is behind, FORGOTTEN with the first retained offset for records that are gone.
    """
    if reply.status == 200:
        return Ok(reply)
    detail = f"status {reply.status}"
    answer = _Answer()
    if reply.status in (_CONFLICT, _GONE, _PRECONDITION):
        try:
            answer = msgspec.json.decode(reply.body, type=_Answer)
        except (ValueError, RecursionError):
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
    """Decode a response as a model; INVALID if it doesn't match."""
    if isinstance(checked, Err):
        return checked
    try:
        return Ok(msgspec.json.decode(checked.ok_value.body, type=model))
    except (ValueError, RecursionError) as err:
        return Err(CallError(failure=Failure.INVALID, detail=str(err)))
