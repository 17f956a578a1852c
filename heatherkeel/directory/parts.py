"""Hands large records over to other processes, part by part and compressed.

A part has its own timeout, so that a transfer which makes progress goes on, however long all of it
takes; what has arrived is kept, and another process may send the rest.
"""

from __future__ import annotations

import logging
import zlib
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import trio

from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.questions.messages import (
    Answer,
    OperatorPartAnswer,
    OperatorPartQuestion,
    OperatorQuestion,
    OperatorRecord,
)

from .const import COMPRESSION_LEVEL, PART_BYTES, PART_TIMEOUT_S

_LOGGER = logging.getLogger(__name__)

AsyncAsk = Callable[[str, OperatorQuestion | OperatorPartQuestion, float], Awaitable[Answer | None]]
"""Asks the process at an address, with a timeout in seconds."""


@dataclass(kw_only=True, slots=True)
class CompressedValue:
    """The parts of a record's value that were asked for, by where they begin."""

    offset: int
    parts: dict[int, bytes] = field(default_factory=dict)


class PartServer:
    """Compresses each part of the newest records once."""

    def __init__(self) -> None:
        self.values: dict[str, CompressedValue] = {}

    def answer(
        self, question: OperatorPartQuestion, record: KeyedRecord | None
    ) -> OperatorPartAnswer:
        """Return a part of a record, if it is still the newest of its key."""
        if record is None or record.offset != question.offset:
            return OperatorPartAnswer()
        if not 0 <= question.start < len(record.value):
            return OperatorPartAnswer()
        if question.start % PART_BYTES:
            return OperatorPartAnswer(data=_pack(record, question.start))
        kept = self.values.get(record.key)
        if kept is None or kept.offset != record.offset:
            kept = self.values[record.key] = CompressedValue(offset=record.offset)
        if question.start not in kept.parts:
            kept.parts[question.start] = _pack(record, question.start)
        return OperatorPartAnswer(data=kept.parts[question.start])


@dataclass(kw_only=True, slots=True)
class PartialValue:
    """What has arrived of a record's value."""

    offset: int
    began_ms: int
    data: bytearray = field(default_factory=bytearray)
    received_bytes: int = 0
    """What was sent for it, compressed."""
    addresses: set[str] = field(default_factory=set)
    """Processes that have sent parts."""


class PartFetcher:
    """Fetches large values, one at a time: two would share the link."""

    def __init__(self, *, async_ask: AsyncAsk) -> None:
        self.async_ask = async_ask
        self.lock = trio.Lock()
        self.partial: dict[str, PartialValue] = {}
        """The newest value of each key that is fetched, or was last."""

    def is_fetching(self) -> bool:
        """Return whether a value is being fetched."""
        return self.lock.locked()

    async def async_fill(
        self,
        address: str,
        records: Sequence[OperatorRecord],
        is_known: Callable[[OperatorRecord], bool],
    ) -> list[KeyedRecord] | None:
        """Return the records that are still unknown, with their values; None without an answer."""
        filled = []
        for record in records:
            value = record.value
            if record.size:
                async with self.lock:
                    if is_known(record):
                        continue
                    fetched = await self._async_fetch(address, record)
                if fetched is None:
                    return None
                value = fetched
            filled.append(KeyedRecord(key=record.key, value=value, offset=record.offset))
        return filled

    async def _async_fetch(self, address: str, record: OperatorRecord) -> bytes | None:
        partial = self.partial.get(record.key)
        if partial is None or partial.offset != record.offset:
            partial = PartialValue(offset=record.offset, began_ms=monotonic_ms())
            self.partial[record.key] = partial
        while len(partial.data) < record.size:
            question = OperatorPartQuestion(
                key=record.key, offset=record.offset, start=len(partial.data)
            )
            answer = await self.async_ask(address, question, PART_TIMEOUT_S)
            part = _unpack(answer)
            if not part:
                return None
            assert isinstance(answer, OperatorPartAnswer)
            partial.data += part
            partial.received_bytes += len(answer.data)
            partial.addresses.add(address)
        del self.partial[record.key]
        _LOGGER.info(
            "a large record was handed over",
            extra={
                "event": "record_fetched",
                "key": record.key,
                "offset": record.offset,
                "addresses": sorted(partial.addresses),
                "size": record.size,
                "bytes": partial.received_bytes,
                "took_ms": monotonic_ms() - partial.began_ms,
            },
        )
        return bytes(partial.data)


def _pack(record: KeyedRecord, start: int) -> bytes:
    return zlib.compress(record.value[start : start + PART_BYTES], COMPRESSION_LEVEL)


def _unpack(answer: Answer | None) -> bytes:
    """Return a part; empty if there is none, or it isn't sound."""
    if not isinstance(answer, OperatorPartAnswer) or not answer.data:
        return b""
    try:
        return zlib.decompressobj().decompress(answer.data, PART_BYTES)
    except zlib.error as err:
        _LOGGER.error(
            "cannot decompress a part of a record",
            extra={"event": "part_unreadable", "detail": str(err)},
        )
        return b""
