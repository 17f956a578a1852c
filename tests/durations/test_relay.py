"""Tests of what the fleet's owner passes on between owners of partitions."""

from __future__ import annotations

import pytest

from heatherkeel.durations.const import MAX_QUEUES, REPORT_INTERVAL_MS
from heatherkeel.durations.messages import DurationsReport, QueueRow
from heatherkeel.durations.models import StepTimes
from heatherkeel.durations.relay import DurationRelay, group_queues
from heatherkeel.durations.sums import QueueSums
from heatherkeel.ownership.partitions import Layout
from heatherkeel.platform.operator import Queue


def make_report(
    owner: int, *, revision: int = 5, steps: int = 10, queue: str = "checks"
) -> DurationsReport:
    sums = QueueSums()
    for _ in range(steps):
        times = StepTimes()
        times.add(900)
        sums.record(300, times, predicted_log=sums.predict_log(300))
    rows = [QueueRow(queue=queue, sums=sums.to_row())]
    return DurationsReport(owner=owner, revision=revision, queues=rows)


def offered_steps(relay: DurationRelay, partition: int, now_ms: int) -> float:
    offer = relay.make_offer(partition, ["checks"], now_ms)
    assert offer is not None
    return sum(row.sums[0] for row in offer.queues)


def test_an_owner_is_offered_what_others_know_but_not_its_own() -> None:
    relay = DurationRelay(token=50)
    first, second = make_report(11, steps=10), make_report(12, steps=20)
    relay.record(1, first, 0)
    relay.record(2, second, 0)
    steps = [report.queues[0].sums[0] for report in (first, second)]
    assert offered_steps(relay, 1, 100) == pytest.approx(steps[1])
    assert offered_steps(relay, 2, 100) == pytest.approx(steps[0])
    assert offered_steps(relay, 3, 100) == pytest.approx(sum(steps))


def test_several_changes_of_owners_lose_nothing_and_stay_bounded() -> None:
    relay = DurationRelay(token=50)
    for owner in range(11, 111):
        relay.record(1, make_report(owner, steps=10), 0)
    assert 240 <= offered_steps(relay, 1, REPORT_INTERVAL_MS) <= 260


def test_an_offer_names_the_revision_and_the_age_that_the_relay_knows() -> None:
    relay = DurationRelay(token=50)
    relay.record(1, make_report(11, revision=8), 1000)
    offer = relay.make_offer(1, ["checks"], 4000)
    assert offer is not None
    assert (offer.owner, offer.since, offer.age_ms) == (11, 8, 3000)


def test_malformed_rows_are_ignored() -> None:
    relay = DurationRelay(token=50)
    rows = [QueueRow(queue="checks", sums=[1.0, 2.0])]
    relay.record(1, DurationsReport(owner=11, revision=1, queues=rows), 0)
    assert relay.partitions[1].current == {}


def test_queues_in_memory_are_bounded() -> None:
    relay = DurationRelay(token=50)
    row = make_report(11).queues[0]
    for number in range(MAX_QUEUES + 50):
        rows = [QueueRow(queue=f"q{number}", sums=row.sums)]
        relay.record(1, DurationsReport(owner=11, revision=number, queues=rows), 0)
    assert len(relay.partitions[1].current) == MAX_QUEUES


def test_queues_are_grouped_by_the_partitions_of_their_service() -> None:
    layout = Layout(shares={"desk": (0, 3), "dock": (2,)}, places={}, homes={})
    queues = {
        name: Queue(name=name, host="a", path_prefix="/", service=service)
        for name, service in (("a", "desk"), ("b", "dock"), ("c", "none"))
    }
    assert group_queues(queues, layout) == {0: ["a"], 3: ["a"], 2: ["b"]}
