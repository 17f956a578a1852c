"""Encodes and decodes records in the bodies of the store's calls."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final

_LENGTH_BYTES: Final = 4
_OFFSET_BYTES: Final = 8
UNREADABLE_KEY: Final = ""


class FramingError(ValueError):
    """A body ends in the middle of a record."""


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyedRecord:
    """The newest value of a key; an empty value means that the key was deleted.

    An empty key marks a record whose key cannot be decoded. The record is kept because the
    offsets of the following records depend on it.
    """

    key: str
    value: bytes
    offset: int = 0


def encode_records(records: Iterable[KeyedRecord]) -> bytes:
    """Return the body of an append to a keyed topic."""
    parts: list[bytes] = []
    for record in records:
        key = record.key.encode()
        parts.append((1 + len(key) + len(record.value)).to_bytes(_LENGTH_BYTES, "big"))
        parts.append(len(key).to_bytes(1, "big"))
        parts.append(key)
        parts.append(record.value)
    return b"".join(parts)


def decode_read(body: bytes, *, start: int) -> tuple[int, int, list[KeyedRecord]]:
    """Return the log's end, its first retained offset and the records; raises `FramingError`."""
    if len(body) < 2 * _OFFSET_BYTES:
        raise FramingError(f"{len(body)} bytes are too few for a header")
    end = int.from_bytes(body[:_OFFSET_BYTES], "big")
    first = int.from_bytes(body[_OFFSET_BYTES : 2 * _OFFSET_BYTES], "big")
    records = [
        _decode_record(content, start + number)
        for number, content in enumerate(_split(body, 2 * _OFFSET_BYTES))
    ]
    return end, first, records


def _split(body: bytes, place: int) -> Iterator[bytes]:
    while place < len(body):
        head = place + _LENGTH_BYTES
        stop = head + int.from_bytes(body[place:head], "big")
        if stop > len(body):
            raise FramingError(f"a record ends {stop - len(body)} bytes after the end of the body")
        yield body[head:stop]
        place = stop


def _decode_record(content: bytes, offset: int) -> KeyedRecord:
    """Decode a record; one that is too short for its key gets `UNREADABLE_KEY`.

    An exception would fail the whole read and each later one, so that a single malformed record
    would hide all others.
    """
    if not content or len(content) < 1 + content[0]:
        return KeyedRecord(key=UNREADABLE_KEY, value=b"", offset=offset)
    stop = 1 + content[0]
    return KeyedRecord(key=_decode_key(content[1:stop]), value=content[stop:], offset=offset)


def _decode_key(key: bytes) -> str:
    """Decode a key; replacing invalid bytes could turn it into another worker's key."""
    try:
        return key.decode()
    except UnicodeDecodeError:
        return UNREADABLE_KEY
