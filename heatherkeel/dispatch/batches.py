"""Splits what is to be stored into batches that one append may hold."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

from .const import MAX_APPEND_BYTES, MAX_APPEND_RECORDS

ItemT = TypeVar("ItemT")


def split_batches(
    items: Iterable[ItemT], *, size_of: Callable[[ItemT], int]
) -> Iterator[list[ItemT]]:
    """Yield the items in order, in batches within the limits of an append.

    The store refuses an append that is too large however often it is repeated.
    """
    batch: list[ItemT] = []
    size = 0
    for item in items:
        added = size_of(item)
        if batch and (len(batch) >= MAX_APPEND_RECORDS or size + added > MAX_APPEND_BYTES):
            yield batch
            batch, size = [], 0
        batch.append(item)
        size += added
    if batch:
        yield batch
