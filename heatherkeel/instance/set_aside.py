"""Keeps account of the jobs and workers that this process could not handle."""

from __future__ import annotations

from collections import deque
from typing import Final

from heatherkeel.dispatch.items import Item, ItemKind
from heatherkeel.helpers.clock import monotonic_ms

WORKER_MS: Final = 30_000
"""How long a worker that couldn't be handled is left out, in milliseconds."""
WINDOW_MS: Final = 60_000
MAX_IN_WINDOW: Final = 20
"""Number of items set aside within the window above from which on the fault is this process's own:
it ends, as after a broken invariant, instead of failing one sound job after the other."""


class SetAsideItems:
    """The items that were set aside lately, over all partitions of this process."""

    def __init__(self) -> None:
        self.times_ms: deque[int] = deque(maxlen=MAX_IN_WINDOW)
        self.workers: dict[str, int] = {}
        """Until when each worker is left out."""

    def add(self, item: Item) -> None:
        """Record an item; raises `RuntimeError` if there are too many."""
        now_ms = monotonic_ms()
        if len(self.times_ms) == MAX_IN_WINDOW and now_ms - self.times_ms[0] < WINDOW_MS:
            raise RuntimeError(f"{MAX_IN_WINDOW} jobs and workers could not be handled lately")
        self.times_ms.append(now_ms)
        if item.kind is ItemKind.WORKER:
            self.workers = {
                worker_id: until_ms
                for worker_id, until_ms in self.workers.items()
                if until_ms > now_ms
            }
            self.workers[item.id] = now_ms + WORKER_MS

    def is_left_out(self, worker_id: str) -> bool:
        """Return whether a worker is left out."""
        until_ms = self.workers.get(worker_id)
        return until_ms is not None and monotonic_ms() < until_ms
