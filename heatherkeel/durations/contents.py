"""Durations by content, in bounded memory."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from hashlib import blake2b
from itertools import islice
from typing import Final

from heatherkeel.platform.callers import JobRequest

from .const import MAX_CONTENT_TASKS, MAX_CONTENTS
from .models import Ended

KEY_BYTES: Final = 8


def make_content_key(queue: str, request: JobRequest, number: int) -> int:
    """Return a key for the content of a step: what its tasks run, and with how much."""
    step = request.steps[number]
    size = (number, step.count, step.cpu, step.memory_mb, step.gpu, step.estimated_ms)
    content = blake2b(request.spec.encode(), digest_size=KEY_BYTES)
    content.update(f"{queue}{size}{step.image}".encode())
    # The highest bit stays free, so that every JSON reader takes the key as an integer.
    return int.from_bytes(content.digest()) >> 1


class ContentTimes:
    """Durations of the contents used most.

    Contents seen once are dropped first, the oldest before the others; so however many pass by only
    once, they displace none that repeats.
    """

    def __init__(self, *, limit: int = MAX_CONTENTS) -> None:
        self.limit = limit
        self.once: OrderedDict[int, Ended] = OrderedDict()
        self.repeated: OrderedDict[int, Ended] = OrderedDict()
        """In the order of their last use."""

    def __len__(self) -> int:
        return len(self.once) + len(self.repeated)

    def find(self, key: int) -> Ended | None:
        """Return what is known of a content."""
        return self.repeated.get(key) or self.once.get(key)

    def record(self, key: int, ended: Ended) -> None:
        """Add an ended step of a content."""
        known = self.repeated.pop(key, None) or self.once.pop(key, None)
        if known is None:
            self.once[key] = ended
        else:
            self.repeated[key] = _combine(known, ended)
        self._drop()

    def replace(self, rows: Iterable[tuple[int, Ended]]) -> None:
        """Replace what is known of contents by what another process knows."""
        for key, ended in rows:
            self.repeated.pop(key, None)
            self.repeated[key] = ended
        self._drop()

    def newest_repeated(self, count: int) -> Iterator[tuple[int, Ended]]:
        """Return the contents that were repeated last."""
        return islice(reversed(self.repeated.items()), count)

    def _drop(self) -> None:
        while len(self.once) > self.limit // 2:
            self.once.popitem(last=False)
        while len(self.repeated) > self.limit // 2:
            self.repeated.popitem(last=False)


def _combine(known: Ended, ended: Ended) -> Ended:
    earlier = min(known.tasks, MAX_CONTENT_TASKS)
    tasks = earlier + ended.tasks
    mean_log = (earlier * known.mean_log + ended.tasks * ended.mean_log) / tasks
    return Ended(tasks=min(tasks, MAX_CONTENT_TASKS), mean_log=mean_log)
