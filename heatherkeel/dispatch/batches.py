"""Splits what is to be stored into batches that one append may hold."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Final, TypeVar

from heatherkeel.platform.framing import KeyedRecord

from .const import MAX_APPEND_BYTES, MAX_APPEND_RECORDS

ItemT = TypeVar("ItemT")
FRAME_BYTES: Final = 5
"""Bytes of a record beside its key and its value: the lengths of both."""


def measure_record(record: KeyedRecord) -> int:
    """Return the size of a record in an append, in bytes."""
    return FRAME_BYTES + len(record.key.encode()) + len(record.value)


def split_batches(
    items: Iterable[ItemT],
    *,
    size_of: Callable[[ItemT], int],
    count_of: Callable[[ItemT], int] = lambda item: 1,
    max_bytes: int = MAX_APPEND_BYTES,
) -> Iterator[list[ItemT]]:
    """Yield the items in order, in batches within the limits of an append.

    The store refuses an append that is too large however often it is repeated. An item that is
    larger than an append has a batch of its own.
    """
    most = min(max_bytes, MAX_APPEND_BYTES)
    batch: list[ItemT] = []
    size = count = 0
    for item in items:
        added = size_of(item)
        if batch and (count + count_of(item) > MAX_APPEND_RECORDS or size + added > most):
            yield batch
            batch, size, count = [], 0, 0
        batch.append(item)
        size += added
        count += count_of(item)
    if batch:
        yield batch
