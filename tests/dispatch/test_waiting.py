"""Log lines about tasks that could run and don't."""

from __future__ import annotations

import pytest

from heatherkeel.dispatch.const import EXPLAIN_AFTER_MS, EXPLAIN_AGAIN_MS, UNSETTLED_MS
from heatherkeel.dispatch.events import CountWaiting
from heatherkeel.dispatch.models import WaitReason
from heatherkeel.dispatch.pools import enqueue_step

from .partition import OTHER_JOB, Partition, make_step


def _lines(caplog: pytest.LogCaptureFixture, event: str) -> list[dict[str, object]]:
    return [vars(record) for record in caplog.records if vars(record).get("event") == event]


def _reasons(partition: Partition) -> list[WaitReason]:
    return [effect.reason for effect in partition.effects if isinstance(effect, CountWaiting)]


def test_step_without_room_is_logged_once_it_waits_for_long(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    partition = Partition(workers=1, cpu=8000)
    partition.submit(make_step(count=5, cpu=2000))
    partition.tick(EXPLAIN_AFTER_MS - 100)
    assert not _lines(caplog, "step_waits")
    partition.tick(1100)
    (line,) = _lines(caplog, "step_waits")
    assert (line["tasks"], line["running"], line["with_room"]) == (1, 4, 0)
    assert line["refused"] == {"no_room": 1}
    partition.tick(EXPLAIN_AGAIN_MS - 1100)
    assert len(_lines(caplog, "step_waits")) == 1
    partition.tick(1100)
    assert _reasons(partition) == [WaitReason.NO_ROOM, WaitReason.NO_ROOM]


def test_each_worker_with_room_that_gets_no_task_is_counted_by_its_reason(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    partition = Partition(workers=4, cpu=8000)
    partition.state.workers["w0"].quarantined_until_ms = 1 << 40
    partition.fail_listing("w1")
    partition.state.workers["w2"].quarantined_until_ms = 1 << 40
    del partition.entries["w3"]
    partition.list_workers()
    partition.submit(make_step())
    partition.tick(EXPLAIN_AFTER_MS)
    (line,) = _lines(caplog, "step_waits")
    assert line["with_room"] == 3
    assert line["refused"] == {"quarantined": 2, "unresponsive": 1}


def test_step_that_can_run_and_is_in_no_list_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    partition = Partition(workers=0)
    partition.submit(make_step())
    (step,) = partition.job().steps()
    partition.state.pools["portal"].open_steps.discard(step)
    partition.tick(EXPLAIN_AFTER_MS)
    (line,) = _lines(caplog, "step_waits")
    assert line["refused"] == {"forgotten": 1}


def test_start_that_is_never_answered_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    partition = Partition(workers=1)
    partition.submit(make_step())
    partition.tick(UNSETTLED_MS)
    (line,) = _lines(caplog, "run_unsettled")
    assert (line["order"], line["answered"]) == ("planned", False)
    partition.tick(EXPLAIN_AGAIN_MS - 1000)
    assert len(_lines(caplog, "run_unsettled")) == 1


def test_run_on_a_worker_that_does_not_answer_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    partition = Partition(workers=1)
    partition.submit(make_step())
    partition.start_planned_runs()
    partition.tick(UNSETTLED_MS)
    assert not _lines(caplog, "run_unsettled")
    partition.state.workers["w0"].lease_until_ms = 1 << 40
    partition.fail_listing("w0")
    partition.tick(UNSETTLED_MS)
    (line,) = _lines(caplog, "run_unsettled")
    assert (line["order"], line["unresponsive"]) == ("running", True)


def test_worker_that_leaves_is_not_the_reason_if_all_others_are_full(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    partition = Partition(workers=2, cpu=2000)
    partition.mark_leaving("w1")
    partition.submit(make_step(count=2, cpu=2000))
    for _ in range(3):
        partition.mark_leaving("w1")
        partition.tick(1000)
    (line,) = _lines(caplog, "step_waits")
    assert line["refused"] == {"leaving": 1, "no_room": 1}
    assert _reasons(partition) == [WaitReason.NO_ROOM]


def test_step_whose_tasks_all_run_is_not_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against lines about steps that are listed with nothing to start."""
    caplog.set_level("INFO")
    partition = Partition(workers=1)
    partition.submit(make_step())
    (step,) = partition.job().steps()
    enqueue_step(partition.state, step)
    partition.state.workers["w0"].quarantined_until_ms = 1 << 40
    partition.tick(EXPLAIN_AFTER_MS)
    assert step in partition.state.pools["portal"].open_steps
    assert not _lines(caplog, "step_waits")


def test_few_steps_are_logged_at_a_time(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a line for each of thousands of steps in an overload."""
    caplog.set_level("INFO")
    partition = Partition(workers=0)
    for number in range(20):
        partition.submit(make_step(), job_id=f"{number:016x}")
    partition.submit(make_step(), job_id=OTHER_JOB)
    partition.tick(EXPLAIN_AFTER_MS)
    assert len(_lines(caplog, "step_waits")) == 3
