"""Operators can see why no further instance is drained."""

from __future__ import annotations

from heatherkeel.waves.explain import explain_pool
from tests.fleets import LEASE_MS, FoldedLog, join, maintenance, small_fleet
from tests.waves.driver import WaveDriver

HOUR_MS = 3_600_000


def _explain(log: FoldedLog) -> list[str]:
    return explain_pool(log.state, "desk", log.now_ms)


def _due(log: FoldedLog) -> FoldedLog:
    log.wait(HOUR_MS)
    for zone in "abc":
        log.must(join(f"entry-{zone}"))
    return log


def test_no_reason_is_given_if_a_drain_can_start() -> None:
    assert _explain(_due(small_fleet())) == []


def test_no_due_instance_and_no_maintenance_entry_are_explained() -> None:
    log = small_fleet()
    assert _explain(log) == ["nothing is due"]
    assert explain_pool(log.state, "spare", 0) == ["the pool has no maintenance entry"]


def test_an_exhausted_budget_is_explained_with_its_numbers() -> None:
    log = _due(small_fleet(min_serving=5))
    assert _explain(log) == ["budget of stock: 5 serving less 1 (rack) is below 5"]


def test_a_waiting_drain_names_the_missing_acknowledgements() -> None:
    log = _due(small_fleet(min_serving=0))
    log.must(log.drain("a0"))
    log.must(log.ack("entry-b", "a0"))
    log.must(log.drain("b0"))
    assert _explain(log) == [
        "a0: not acknowledged by entry-a, entry-c",
        "b0: not acknowledged by entry-a, entry-b, entry-c",
        "max_concurrent: 2 drains are under way",
    ]


def test_an_unresponsive_zone_is_named() -> None:
    log = _due(small_fleet())
    log.wait(LEASE_MS // 2)
    log.must(join("entry-b"))
    log.must(join("entry-c"))
    log.wait(LEASE_MS // 2)
    [reason] = _explain(log)
    assert reason.startswith("availability zone a has an entry instance that is silent")


def test_counter_hours_and_a_halted_wave_are_explained() -> None:
    log = _due(small_fleet(min_serving=0))
    minute = log.now_ms // 60_000 % 1440
    log.put("care", maintenance(closed_from_minute=minute, closed_to_minute=minute + 1))
    assert _explain(log) == ["counter hours"]
    log.put("care", maintenance(closed_from_minute=minute + 1, closed_to_minute=minute + 2))
    assert _explain(log) == ["a stop that starts now could reach into counter hours"]
    log.put("care", maintenance())
    WaveDriver(log=log, lost={"a0", "b0"}).run(ticks=90)
    [reason] = _explain(log)
    assert reason.startswith("the wave is halted: 2 instances of desk did not come back")
