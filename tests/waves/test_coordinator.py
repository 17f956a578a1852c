"""Any coordinator can take over the drains of another one from the folded state alone."""

from __future__ import annotations

from heatherkeel.catalogue.models import PoolEntry
from heatherkeel.pools.models import Health, InstanceObserved, InstanceStatus, Source
from heatherkeel.waves.coordinator import Step, next_steps
from heatherkeel.waves.models import (
    DrainCancel,
    DrainStart,
    MoveJoin,
    Purpose,
    ReturnFailed,
    StopIssued,
)
from tests.fleets import OWNER, FoldedLog, maintenance, small_fleet


def _steps(log: FoldedLog) -> list[Step]:
    return next_steps(log.state, log.now_ms, coordinator="entry-b")


def test_another_coordinator_stops_a_quiesced_instance() -> None:
    # The coordinator that started the drain dies before the stop, and leaves only its record.
    log = small_fleet()
    log.must(log.drain("a0"))
    assert _steps(log) == []
    for entry_id in ("entry-a", "entry-b", "entry-c"):
        log.must(log.ack(entry_id, "a0"))
    [step] = _steps(log)
    assert isinstance(step, StopIssued)
    log.must(step)
    assert _steps(log) == []


def test_a_quiesced_instance_joins_the_pool_of_its_move() -> None:
    log = small_fleet()
    log.put("spare", PoolEntry(owner=OWNER, size=1))
    move = DrainStart(
        instance="a0",
        expected_version=1,
        coordinator="entry-a",
        purpose=Purpose.MOVE,
        to_pool="spare",
    )
    log.must(move)
    for entry_id in ("entry-a", "entry-b", "entry-c"):
        log.must(log.ack(entry_id, "a0"))
    [step] = _steps(log)
    assert isinstance(step, MoveJoin)


def test_an_instance_that_exceeds_its_return_timeout_fails() -> None:
    log = small_fleet()
    log.quiesce("a0")
    log.must(log.stop("a0"))
    log.wait(59_999)
    assert _steps(log) == []
    log.wait(1)
    [step] = _steps(log)
    assert isinstance(step, ReturnFailed)
    log.must(step)


def test_a_drain_is_cancelled_when_the_budget_no_longer_holds() -> None:
    # A rack fails while a0 is drained. The budget then requires a0 back in service.
    log = small_fleet(min_serving=4)
    log.quiesce("a0")
    log.must(
        InstanceObserved(
            instance="b0", health=Health.FAILED, observer="entry-a", source=Source.PLATFORM
        )
    )
    [step] = _steps(log)
    assert isinstance(step, DrainCancel)
    assert step.reason == "no_budget: stock: 4 serving less 1 (rack) is below 4"
    log.must(step)
    assert log.instance("a0").status is InstanceStatus.SERVING


def test_a_drain_that_times_out_is_cancelled_with_the_missing_acknowledgements() -> None:
    # Zone a is cut off, so entry-a never acknowledges. Until then a0 would be out of service.
    log = small_fleet()
    log.must(log.drain("a0"))
    log.must(log.ack("entry-b", "a0"))
    log.must(log.ack("entry-c", "a0"))
    log.wait(60_000)
    [step] = _steps(log)
    assert isinstance(step, DrainCancel)
    assert step.reason == "not acknowledged by entry-a"


def test_a_drain_is_cancelled_when_counter_hours_begin() -> None:
    log = small_fleet()
    log.quiesce("a0")
    minute = log.now_ms // 60_000 % 1440
    log.put("care", maintenance(closed_from_minute=minute, closed_to_minute=minute + 1))
    [step] = _steps(log)
    assert isinstance(step, DrainCancel)
    log.must(step)
