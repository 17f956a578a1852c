"""What a stand-in worker tells of its tasks and of its lease."""

from __future__ import annotations

import pytest

from heatherkeel.standins import fleet_worker
from heatherkeel.standins.fleet_worker import FleetWorker
from heatherkeel.standins.history import Happening, TaskEvent
from heatherkeel.standins.specs import work_of


class Clock:
    """A monotonic clock that a test sets, in seconds."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def monotonic(self) -> float:
        return self.now_s

    def time_ns(self) -> int:
        return round(self.now_s * 1e9)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(fleet_worker, "time", clock)
    return clock


def start(worker: FleetWorker, task: str, spec: str, *, lease_s: float = 5.0) -> None:
    deadline_ms = worker.clock_ms() + round(1000 * lease_s)
    body = {"task": task, "attempt": 1, "spec": spec, "deadlineMs": deadline_ms}
    assert worker.start_task(body).status == 200


def make_worker(history: list[TaskEvent]) -> FleetWorker:
    return FleetWorker(
        id="i-1",
        service="portal",
        machine="m1",
        work_of=work_of,
        began_s=1000.0,
        born=1,
        history=history,
    )


def test_a_task_makes_progress_and_one_that_lasts_is_at_work(clock: Clock) -> None:
    # A task that stands still for seconds is taken for stalled, and stopped again and again.
    worker = make_worker([])
    start(worker, "a.0.0.0", "work 4000")
    start(worker, "a.0.0.1", "lasts")
    clock.now_s += 1.0
    assert [run.percent() for run in worker.runs.values()] == [25, 100]


def test_a_lease_that_ran_out_is_written_down_once_with_its_time(clock: Clock) -> None:
    history: list[TaskEvent] = []
    worker = make_worker(history)
    start(worker, "a.0.0.0", "work 1000")
    clock.now_s += 2.0
    worker.look()
    clock.now_s += 10.0
    worker.look()
    worker.look()
    told = [(event.what, event.at_s) for event in history]
    assert told[1:] == [(Happening.ENDED, 1001.0), (Happening.LEASE_LAPSED, 1005.0)]
    start(worker, "b.0.0.0", "work 1000")
    clock.now_s += 10.0
    worker.look()
    assert [event.what for event in history[3:]] == [
        Happening.STARTED,
        Happening.LEASE_LAPSED,
        Happening.ENDED,
    ]
