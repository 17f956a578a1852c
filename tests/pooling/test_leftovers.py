"""Tests of machines that no share has a better use for, and of shares whose jobs starve."""

from __future__ import annotations

from heatherkeel.pooling.const import PEAK_RETENTION_MS, REGISTRATION_MS, STANDBY_DELAY_MS
from heatherkeel.pooling.leftovers import plan_leftovers
from heatherkeel.pooling.models import PoolShare
from heatherkeel.pooling.supply import Supply

from .fleet import CPU, Fleet

DESK = PoolShare("desk", 0)


def test_starved_jobs_get_standby_machines() -> None:
    """Guards against jobs that wait to the end, since they are too late to count as demand."""
    fleet = Fleet(desk=4, spare=6)
    fleet.starved["desk"] = 3
    fleet.measure(desk=0)
    assert [intent.pool for intent in fleet.plan()] == ["desk"] * 3
    fleet.measure(desk=0)
    assert not fleet.plan(), "they are on their way"


def test_machines_that_arrive_count_until_they_fail_to_register() -> None:
    """Guards against one machine after the other for a job that waits for the first of them."""
    fleet = Fleet(desk=4, spare=6)
    fleet.unregistered = {"desk0"}
    fleet.starved["desk"] = 1
    fleet.measure(desk=0)
    assert not fleet.plan()
    fleet.now_ms += REGISTRATION_MS
    fleet.measure(desk=0)
    assert len(fleet.plan()) == 1


def test_jobs_in_time_get_machines_before_starved_ones() -> None:
    """Guards against machines for jobs that are worth nothing while jobs in time lack some."""
    fleet = Fleet(desk=4, portal=4, spare=6)
    fleet.starved["desk"] = 6
    fleet.measure(desk=0, portal=8 * CPU)
    assert [intent.pool for intent in fleet.plan()] == ["portal"] * 6


def test_share_with_starved_jobs_keeps_its_machines() -> None:
    """Guards against a share that shrinks while it works off jobs that are too late."""
    fleet = Fleet(desk=20, spare=0)
    fleet.starved["desk"] = 1
    for _ in range((PEAK_RETENTION_MS + STANDBY_DELAY_MS) // 100 + 5):
        fleet.measure(desk=0)
        fleet.plan()
    assert not fleet.state.intents


def test_jobs_in_time_get_machines_of_a_share_with_starved_jobs() -> None:
    fleet = Fleet(desk=20, portal=4, spare=0)
    fleet.starved["desk"] = 20
    fleet.measure(desk=0, portal=8 * CPU)
    fleet.plan()
    assert {intent.pool for intent in fleet.state.intents.values()} == {"portal"}


def test_shortfall_that_no_part_covers_gets_standby_machines_that_are_left() -> None:
    """Guards against long-running tasks that wait beside idle standby machines."""
    fleet = Fleet(desk=4, portal=2, spare=3)
    fleet.measure(desk=0)
    left = [machine for machine in fleet.state.machines.values() if machine.pool != "desk"]
    supply = Supply(members={DESK: []}, shortfall={DESK: 5})
    moved = [intent.machine for intent in plan_leftovers(fleet.state, supply, left, [])]
    assert moved == ["spare0", "spare1", "spare2"], "those of other pools stay there"
    assert [machine.name for machine in left] == ["portal0", "portal1"]


def test_unheard_machines_are_no_surplus_also_where_most_are_unheard() -> None:
    """Guards against moves that never begin, since nobody hears whether their workers are empty."""
    fleet = Fleet(desk=20, spare=0)
    fleet.unresponsive = {f"desk{number}" for number in range(12)}
    chosen: set[str] = set()
    for _ in range((PEAK_RETENTION_MS + STANDBY_DELAY_MS) // 100 + 5):
        fleet.measure(desk=0)
        fleet.plan()
        chosen |= fleet.state.intents.keys()
    assert chosen
    assert not fleet.unresponsive & chosen


def test_machine_that_a_large_task_needs_stays() -> None:
    """Guards against moving it to standby and back, since there is enough capacity by sums."""
    fleet = Fleet(desk=20, spare=0)
    fleet.long_running = {f"desk{number}": 1 for number in range(19)}
    fleet.reserved = {"desk19"}
    for _ in range((PEAK_RETENTION_MS + STANDBY_DELAY_MS) // 100 + 5):
        fleet.measure(desk=CPU)
        fleet.plan()
    assert not fleet.state.intents
