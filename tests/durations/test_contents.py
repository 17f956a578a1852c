"""Tests of durations by content, in bounded memory."""

from __future__ import annotations

import tracemalloc

from heatherkeel.durations.const import MAX_CONTENTS
from heatherkeel.durations.contents import ContentTimes, make_content_key
from heatherkeel.durations.models import Ended
from heatherkeel.platform.callers import JobRequest, StepRequest

MAX_BYTES_PER_CONTENT = 400


def test_memory_at_100_000_contents() -> None:
    """Guards against memory that grows with the number of different contents."""
    contents = ContentTimes()
    tracemalloc.start()
    for number in range(100_000):
        contents.record(number << 40, Ended(tasks=4, mean_log=6.0 + number / 1e6))
        if number % 50 == 0:
            contents.record(-1 - number % 1000, Ended(tasks=4, mean_log=5.0))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(contents) <= MAX_CONTENTS
    assert used <= MAX_CONTENTS * MAX_BYTES_PER_CONTENT
    # All contents that repeat are still known.
    assert all(contents.find(-1 - number) is not None for number in range(0, 1000, 50))


def test_the_longest_unused_repeated_content_is_dropped() -> None:
    contents = ContentTimes(limit=8)
    for key in range(6):
        for _ in range(2):
            contents.record(key, Ended(tasks=1, mean_log=6.0))
    contents.record(2, Ended(tasks=1, mean_log=6.0))
    contents.record(99, Ended(tasks=1, mean_log=6.0))
    contents.record(99, Ended(tasks=1, mean_log=6.0))
    assert sorted(contents.repeated) == [2, 4, 5, 99]


def test_later_durations_of_a_content_replace_earlier_ones() -> None:
    contents = ContentTimes()
    for _ in range(50):
        contents.record(1, Ended(tasks=8, mean_log=5.0))
    for _ in range(50):
        contents.record(1, Ended(tasks=8, mean_log=8.0))
    known = contents.find(1)
    assert known is not None
    assert known.mean_log > 7.9


def test_contents_differ_by_queue_spec_and_size() -> None:
    def key(queue: str = "a", spec: str = "s", number: int = 0, **size: int) -> int:
        fields = {"count": 2, "cpu": 500, "estimated_ms": 90} | size
        steps = (StepRequest(**fields), StepRequest(**fields))  # type: ignore[arg-type]
        return make_content_key(queue, JobRequest(spec=spec, steps=steps), number)

    assert key() == key()
    others = {key(queue="b"), key(spec="t"), key(number=1), key(count=3), key(estimated_ms=91)}
    assert len(others | {key()}) == 6
    assert all(0 <= other < 1 << 63 for other in others)
