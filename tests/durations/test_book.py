"""Tests of what a partition's owner knows, and of what owners tell each other."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from math import exp, log
from random import Random

import msgspec
import pytest

from heatherkeel.durations.book import DurationBook
from heatherkeel.durations.const import (
    MAX_AGE_MS,
    MAX_REPORTED,
    MAX_REPORTED_CONTENTS,
    REPEAT_MS,
    REPORT_INTERVAL_MS,
)
from heatherkeel.durations.contents import make_content_key
from heatherkeel.durations.messages import DurationsOffer
from heatherkeel.durations.models import StepKind, StepTimes
from heatherkeel.durations.relay import DurationRelay
from heatherkeel.durations.switch import SWITCH_VARIABLE, is_switched_on
from heatherkeel.platform.callers import JobRequest, StepRequest

QUEUE = "checks"
MAX_BYTES_PER_SECOND = 8_000


def teach(
    book: DurationBook, *, steps: int = 60, off: float = 0.9, queue: str = QUEUE, seed: int = 3
) -> None:
    """Let steps end whose declared durations are off by a log-normal factor."""
    random = Random(seed)
    for number in range(steps):
        real = random.gauss(log(800), 0.4)
        times = StepTimes()
        for _ in range(4):
            times.add(exp(random.gauss(real, 0.2)))
        declared_ms = round(exp(real + random.gauss(0, off)))
        kind = StepKind(
            queue=queue, content=seed * 10_000 + number, declared_ms=declared_ms, tasks=4
        )
        book.record(kind, times, now_ms=1000 + 10 * number)


def make_request(declared_ms: int = 5000, *, count: int = 4) -> JobRequest:
    return JobRequest(
        spec="s", steps=(StepRequest(count=count, cpu=500, estimated_ms=declared_ms),)
    )


def list_events(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [vars(record)["event"] for record in caplog.records]


def exchange(
    relay: DurationRelay,
    book: DurationBook,
    partition: int,
    now_ms: int,
    queues: Sequence[str] = (QUEUE,),
) -> int:
    """Pass one offer and its answer; returns their encoded size in bytes."""
    offer = relay.make_offer(partition, queues, now_ms)
    if offer is None:
        return 0
    size = len(msgspec.json.encode(offer))
    book.apply_offer(msgspec.json.decode(msgspec.json.encode(offer), type=DurationsOffer), now_ms)
    report = book.make_report(offer)
    if report is None:
        return size
    relay.record(partition, report, now_ms)
    return size + len(msgspec.json.encode(report))


def test_an_empty_book_uses_what_is_declared_and_says_so_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    book = DurationBook(owner=1)
    for _ in range(3):
        assert book.estimate(QUEUE, make_request(), 0) is None
    assert list_events(caplog) == ["durations_unknown"]


def test_learned_durations_replace_far_off_ones() -> None:
    book = DurationBook(owner=1)
    teach(book)
    estimates = book.estimate(QUEUE, make_request(8000), 2000)
    assert estimates is not None
    assert 500 < estimates[0].task_ms < 3000
    assert estimates[0].longest_ms > estimates[0].task_ms


def test_good_declarations_are_kept() -> None:
    """Guards against a change for queues whose callers declare durations well."""
    book = DurationBook(owner=1)
    teach(book, off=0.2, steps=300)
    assert book.estimate(QUEUE, make_request(8000), 5000) is None


def test_repeated_content_is_estimated_by_its_own_ends() -> None:
    book = DurationBook(owner=1)
    teach(book)
    request = make_request(400)
    before = book.estimate(QUEUE, request, 2000)
    assert before is not None and before[0].task_ms < 3000
    times = StepTimes()
    for _ in range(4):
        times.add(4000)
    kind = StepKind(
        queue=QUEUE, content=make_content_key(QUEUE, request, 0), declared_ms=400, tasks=4
    )
    book.record(kind, times, 2000)
    after = book.estimate(QUEUE, request, 2000)
    assert after is not None
    assert after[0].task_ms == pytest.approx(4000, rel=0.25)


def test_expected_time_by_quantile_follows_ended_tasks_of_the_step() -> None:
    book = DurationBook(owner=1)
    step = make_request(900).steps[0]
    assert book.expected_ms(QUEUE, step, None, quantile=0.95) is None
    teach(book)
    median = book.expected_ms(QUEUE, step, None, quantile=0.5)
    late = book.expected_ms(QUEUE, step, None, quantile=0.95)
    assert median is not None and late is not None and median < late
    times = StepTimes()
    for _ in range(6):
        times.add(3000)
    late_by_others = book.expected_ms(QUEUE, step, times, quantile=0.95)
    assert late_by_others is not None and late_by_others > 3000


def test_log_lines_are_bounded(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    book = DurationBook(owner=1)
    teach(book, steps=2000)
    assert 1 <= list_events(caplog).count("durations") <= 5


def test_a_new_owner_starts_with_what_its_predecessor_knew() -> None:
    relay = DurationRelay(token=50)
    earlier = DurationBook(owner=1)
    teach(earlier)
    exchange(relay, earlier, 3, 2000)
    new = DurationBook(owner=9)
    exchange(relay, new, 3, 2100)
    exchange(relay, new, 3, 2200)
    assert new.estimate(QUEUE, make_request(8000), 2200) is not None
    assert new.queues[QUEUE].total.steps == pytest.approx(earlier.queues[QUEUE].own.steps, abs=1)
    # A late answer of the earlier owner changes nothing.
    late = earlier.make_report(DurationsOffer(relay=50, owner=0, since=0))
    assert late is not None
    relay.record(3, late, 9000)
    assert relay.partitions[3].owner == 9


def test_owners_learn_from_each_other_without_counting_twice() -> None:
    relay = DurationRelay(token=50)
    first, second = DurationBook(owner=1), DurationBook(owner=2)
    teach(first, seed=1, steps=30)
    teach(second, seed=2, steps=20)
    for now_ms in range(0, 20_000, 100):
        exchange(relay, first, 1, now_ms)
        exchange(relay, second, 2, now_ms)
    for book in (first, second):
        total = first.queues[QUEUE].own.steps + second.queues[QUEUE].own.steps
        assert book.queues[QUEUE].total.steps == pytest.approx(total, abs=0.1)


@pytest.mark.parametrize("seed", range(5))
def test_lost_messages_only_delay_what_is_told(seed: int) -> None:
    random = Random(seed)
    relay = DurationRelay(token=50)
    first, second = DurationBook(owner=1), DurationBook(owner=2)
    teach(first, steps=30)
    for now_ms in range(0, 60_000, 100):
        for partition, book in ((1, first), (2, second)):
            offer = relay.make_offer(partition, [QUEUE], now_ms)
            if offer is None or random.random() < 0.5:
                continue
            book.apply_offer(offer, now_ms)
            report = book.make_report(offer)
            if report is not None and random.random() < 0.5:
                relay.record(partition, report, now_ms)
    assert second.queues[QUEUE].total.steps == pytest.approx(first.queues[QUEUE].own.steps, abs=1)


def test_bytes_per_second_are_bounded() -> None:
    """Guards against messages that grow with the number of queues and contents."""
    relay = DurationRelay(token=50)
    books = [DurationBook(owner=number) for number in (1, 2)]
    queues = [f"queue-{number:04}" for number in range(4 * MAX_REPORTED)]
    size = 0
    for second in range(10):
        for book in books:
            for number, queue in enumerate(queues):
                for _ in range(2):
                    teach(book, steps=2, queue=queue, seed=number)
        for now_ms in range(second * 1000, second * 1000 + 1000, 100):
            size += exchange(relay, books[0], 1, now_ms, queues)
            exchange(relay, books[1], 2, now_ms, queues)
    assert size / 10 <= MAX_BYTES_PER_SECOND
    assert len(relay.partitions[1].contents) <= MAX_REPORTED_CONTENTS


def test_an_offer_without_news_is_repeated_rarely() -> None:
    relay = DurationRelay(token=50)
    book = DurationBook(owner=1)
    teach(book)
    exchange(relay, book, 1, 0)
    with_rows = [
        now_ms
        for now_ms in range(REPORT_INTERVAL_MS, 30_000, 100)
        if (offer := relay.make_offer(2, [QUEUE], now_ms)) is not None and offer.queues
    ]
    assert len(with_rows) <= 1 + 30_000 // REPEAT_MS


def test_a_new_relay_that_knows_little_yet_changes_nothing() -> None:
    """Guards against estimates that fall back after a change of the fleet's owner."""
    relay = DurationRelay(token=50)
    first, second = DurationBook(owner=1), DurationBook(owner=2)
    teach(first)
    exchange(relay, first, 1, 0)
    exchange(relay, second, 2, 0)
    exchange(relay, second, 2, REPORT_INTERVAL_MS)
    before = second.queues[QUEUE].total.steps
    assert before > 0
    exchange(DurationRelay(token=60), second, 2, 2500)
    assert second.queues[QUEUE].total.steps == before
    # An offer of the earlier relay is ignored from then on.
    assert second.relay == 60


def test_old_knowledge_of_others_is_dropped() -> None:
    relay = DurationRelay(token=50)
    first, second = DurationBook(owner=1), DurationBook(owner=2)
    teach(first)
    exchange(relay, first, 1, 0)
    exchange(relay, second, 2, 0)
    exchange(relay, second, 2, REPORT_INTERVAL_MS)
    assert second.estimate(QUEUE, make_request(8000), 2000) is not None
    assert second.estimate(QUEUE, make_request(8000), 2000 + MAX_AGE_MS) is None


def test_switched_off_it_learns_and_uses_what_is_declared() -> None:
    book = DurationBook(owner=1, is_enabled=False)
    teach(book)
    assert book.estimate(QUEUE, make_request(8000), 2000) is None
    assert book.queues[QUEUE].is_used


@pytest.mark.parametrize(("value", "expected"), [("", True), ("on", True), ("off", False)])
def test_operators_switch(monkeypatch: pytest.MonkeyPatch, value: str, expected: bool) -> None:
    monkeypatch.setenv(SWITCH_VARIABLE, value)
    assert is_switched_on() is expected


def test_a_single_task_is_its_steps_longest() -> None:
    book = DurationBook(owner=1)
    teach(book)
    estimates = book.estimate(QUEUE, make_request(count=1), 2000)
    assert estimates is not None
    assert estimates[0].longest_ms == estimates[0].task_ms


def test_a_switch_that_is_not_due_for_the_log_is_logged_later(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    book = DurationBook(owner=1)
    teach(book, off=0.2, steps=40)
    teach(book, off=1.5, steps=300)
    logged = [vars(record)["is_used"] for record in caplog.records]
    assert logged and logged[-1] is book.queues[QUEUE].is_used is True
