"""Machines that are taken from shares above their part for shares below it."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from heatherkeel.pooling.const import (
    LOAD_MAX_AGE_MS,
    MAX_TAKEN_FRACTION,
    MIN_STAY_MS,
    SHORTAGE_SETTLE_MS,
)
from heatherkeel.pooling.models import FleetOwnerState, Intent
from heatherkeel.questions.messages import Claim

from .fleet import CPU, Fleet


def claim(machines: float, late: float = 0, *, priority: int = 0) -> list[Claim]:
    """Return the claims of a pool with demand for so many machines in time, and late."""
    cpu = round(0.85 * CPU * machines)
    late_cpu = round(0.85 * CPU * late)
    return [Claim(priority=priority, in_time_cpu=cpu, soon_cpu=cpu, late_cpu=late_cpu)]


def make_surge(*, divides: bool = True, **more: list[Claim]) -> Fleet:
    """Return a fleet in which a surge of large jobs holds 140 of the 150 machines."""
    fleet = Fleet(divides=divides, portal=140, desk=10)
    fleet.state.layout = replace(fleet.state.layout, homes={"portal": 75, "desk": 75})
    fleet.claims = {"portal": claim(140, priority=1), "desk": claim(250)} | more
    fleet.used = dict.fromkeys(fleet.pool_of, CPU)
    return fleet


def run_rounds(fleet: Fleet, count: int, *, desk: int = 250, portal: int = 400) -> None:
    """Measure and plan each 100 ms; ordered moves are done at once, emptied machines with them."""
    for _ in range(count):
        fleet.empty = set(fleet.state.intents)
        fleet.measure(desk=desk * CPU, portal=portal * CPU)
        for intent in fleet.plan():
            fleet.answer(intent.machine)
            fleet.pool_of[intent.machine] = intent.pool
        fleet.now_ms += 1
        fleet.list_machines()


def count_machines(fleet: Fleet, pool: str) -> int:
    return sum(1 for at in fleet.pool_of.values() if at == pool)


def test_surge_of_large_jobs_gives_way_to_its_siblings_turn() -> None:
    """Guards against a queue that keeps all machines because its demand rose first."""
    fleet = make_surge()
    run_rounds(fleet, 40)
    assert count_machines(fleet, "desk") == pytest.approx(75, abs=8)
    settled = count_machines(fleet, "desk")
    run_rounds(fleet, 60)
    assert count_machines(fleet, "desk") == settled, "nothing is shuttled afterwards"


def test_without_division_machines_stay_where_demand_rose_first() -> None:
    fleet = make_surge(divides=False)
    run_rounds(fleet, 40)
    assert count_machines(fleet, "desk") == 10


def test_equal_priorities_share_by_weight() -> None:
    fleet = make_surge(portal=claim(140))
    fleet.state.layout = replace(fleet.state.layout, homes={"portal": 50, "desk": 100})
    run_rounds(fleet, 40)
    assert count_machines(fleet, "desk") == pytest.approx(100, abs=8)


def test_more_important_jobs_get_machines_first() -> None:
    """Guards against a priority that has no say in who waits for machines."""
    fleet = Fleet(divides=True, portal=120, desk=10, yard=10, spare=10)
    fleet.state.layout = replace(
        fleet.state.layout, homes={"portal": 50, "desk": 50, "yard": 50, "spare": 10}
    )
    fleet.claims = {
        "portal": claim(0, late=300),
        "desk": claim(60, priority=1),
        "yard": claim(60, priority=0),
    }
    for _ in range(4):
        fleet.measure(portal=300 * CPU, desk=60 * CPU, yard=60 * CPU)
        fleet.plan()
    goals = Counter(intent.pool for intent in fleet.state.intents.values())
    assert goals["yard"] > 30
    assert goals["desk"] == 0


def test_least_important_jobs_give_machines_first() -> None:
    fleet = Fleet(divides=True, portal=70, yard=70, desk=10)
    fleet.state.layout = replace(fleet.state.layout, homes={"portal": 50, "yard": 50, "desk": 50})
    fleet.claims = {
        "portal": claim(90, priority=2),
        "yard": claim(90),
        "desk": [Claim(priority=1, in_time_cpu=90 * CPU, soon_cpu=12 * CPU)],
    }
    for _ in range(4):
        fleet.measure(portal=90 * CPU, yard=90 * CPU, desk=90 * CPU)
        fleet.plan()
    sources = {intent.from_pool for intent in fleet.state.intents.values()}
    assert sources == {"portal"}


def test_backlog_that_cannot_be_in_time_gives_way() -> None:
    """Guards against late jobs that keep all but what their pool's least part can hold."""
    fleet = make_surge(portal=claim(0, late=400))
    run_rounds(fleet, 60)
    assert count_machines(fleet, "portal") == pytest.approx(26, abs=4)


def test_large_jobs_keep_their_least_part() -> None:
    """Guards against starving less important jobs, however much the others claim."""
    fleet = make_surge(portal=claim(140, priority=3), desk=claim(5000))
    run_rounds(fleet, 100, desk=5000)
    assert count_machines(fleet, "portal") >= 26


def test_first_machines_are_named_within_half_a_second() -> None:
    """Demand that is late has 2,000 ms to give way, of which stopping what runs needs 1,500."""
    fleet = make_surge(portal=claim(0, late=400))
    run_rounds(fleet, 1 + SHORTAGE_SETTLE_MS // 100)
    assert fleet.state.taken_ms


def test_takings_are_bounded_in_any_second() -> None:
    fleet = make_surge(desk=claim(5000))
    random.seed(1)
    taken: list[int] = []
    for _ in range(100):
        first, second = random.sample(["desk", "portal"], 2)
        fleet.claims = {first: claim(5000), second: claim(0, late=random.choice([0, 400]))}
        before = set(fleet.state.intents)
        run_rounds(fleet, 1, desk=5000, portal=5000)
        added = [fleet.state.intents[name] for name in set(fleet.state.intents) - before]
        taken += [fleet.now_ms for intent in added if intent.is_taken]
        recent = [at_ms for at_ms in taken if fleet.now_ms - at_ms < 1000]
        assert len(recent) <= MAX_TAKEN_FRACTION * len(fleet.pool_of)


def test_machine_stays_for_a_while_after_a_move() -> None:
    """Guards against machines that are on their way all the time."""
    fleet = make_surge(desk=claim(5000))
    arrived: dict[str, int] = {}
    for round_number in range(120):
        busy = ["desk", "portal"] if round_number // 10 % 2 else ["portal", "desk"]
        fleet.claims = {busy[0]: claim(5000), busy[1]: claim(0, late=400)}
        before = dict(fleet.pool_of)
        taken = {name for name, intent in fleet.state.intents.items() if intent.is_taken}
        run_rounds(fleet, 1, desk=5000, portal=5000)
        for name in taken:
            if before[name] != fleet.pool_of[name]:
                assert fleet.now_ms - arrived.get(name, 0) >= MIN_STAY_MS
                arrived[name] = fleet.now_ms
    assert arrived


def test_demand_that_would_be_late_by_then_takes_nothing() -> None:
    """Guards against losing a machine for the time of a move that helps nobody."""
    fleet = make_surge(desk=[Claim(priority=0, in_time_cpu=250 * CPU)])
    run_rounds(fleet, 20)
    assert not fleet.state.taken_ms


def test_machines_of_long_running_tasks_are_not_taken() -> None:
    fleet = make_surge(portal=claim(0, late=400))
    fleet.long_running = {f"portal{n}": 1 for n in range(100)}
    run_rounds(fleet, 60)
    assert all(fleet.pool_of[f"portal{n}"] == "portal" for n in range(100))
    assert count_machines(fleet, "desk") > 10


def test_taking_is_dropped_once_its_reason_is_gone() -> None:
    """The share that lacked machines has enough before the machine is empty."""
    fleet = make_surge()
    for _ in range(5):
        fleet.measure(desk=250 * CPU, portal=400 * CPU)
        fleet.plan()
    assert any(intent.is_taken for intent in fleet.state.intents.values())
    fleet.claims["desk"] = claim(4)
    fleet.measure(desk=250 * CPU, portal=400 * CPU)
    fleet.plan()
    assert sum(intent.is_taken for intent in fleet.state.intents.values()) <= 1


def test_workers_that_give_way_are_named_as_such() -> None:
    fleet = make_surge()
    for _ in range(5):
        fleet.measure(desk=250 * CPU, portal=400 * CPU)
        fleet.plan()
    assert fleet.state.yielding_workers() == set(fleet.state.leaving_workers()[0])


def test_next_owner_finishes_or_drops_what_its_predecessor_began() -> None:
    """Guards against a machine between two pools after its fleet's owner has died."""
    fleet = make_surge()
    ordered: list[Intent] = []
    for _ in range(6):
        fleet.empty = set(sorted(fleet.state.intents)[:5])
        fleet.measure(desk=250 * CPU, portal=400 * CPU)
        ordered += fleet.plan()
    assert ordered and len(ordered) < len(fleet.state.intents)
    old = fleet.state
    fleet.state = FleetOwnerState(
        token=4, services=old.services, layout=old.layout, divides_machines=True
    )
    for intent in ordered:
        fleet.pool_of[intent.machine] = intent.pool
        fleet.state_of[intent.machine] = "moving"
        fleet.state.blocked_until_ms[intent.machine] = fleet.now_ms + 3000
    fleet.list_machines()
    assert not fleet.state.leaving_workers(), "what wasn't ordered serves its pool again"
    run_rounds(fleet, 10)
    fleet.state_of.clear()
    run_rounds(fleet, 50)
    assert {fleet.pool_of[intent.machine] for intent in ordered} == {"desk"}
    assert count_machines(fleet, "desk") == pytest.approx(75, abs=8)


def test_division_holds_when_half_of_the_loads_are_lost() -> None:
    fleet = make_surge()
    random.seed(2)
    for _ in range(80):
        fleet.empty = set(fleet.state.intents)
        if random.random() < 0.5:
            fleet.measure(desk=250 * CPU)
        if random.random() < 0.5:
            fleet.measure(portal=400 * CPU)
        for intent in fleet.plan():
            fleet.answer(intent.machine)
            fleet.pool_of[intent.machine] = intent.pool
        fleet.list_machines()
    assert count_machines(fleet, "desk") == pytest.approx(75, abs=8)


def test_unknown_claims_are_decided_as_without_division(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A pool's owner is silent, or reports no claims: nothing is taken from it or for it."""
    caplog.set_level("INFO")
    fleet = make_surge()
    del fleet.claims["portal"]
    run_rounds(fleet, 20)
    assert not fleet.state.taken_ms
    assert count_machines(fleet, "desk") == 10
    events = [getattr(row, "event", "") for row in caplog.records]
    assert events.count("division_unknown") == 1


def test_old_loads_are_decided_as_without_division() -> None:
    fleet = make_surge()
    fleet.measure(portal=400 * CPU)
    fleet.now_ms += LOAD_MAX_AGE_MS + 1
    for _ in range(10):
        fleet.measure(desk=250 * CPU)
        fleet.plan()
    assert not fleet.state.intents


@pytest.mark.parametrize("seed", range(5))
def test_plans_are_as_before_while_division_is_off(seed: int) -> None:
    """Claims in the loads mustn't change what a deployment without the contract decides."""
    plans = []
    for with_claims in (False, True):
        random.seed(seed)
        fleet = Fleet(portal=20, desk=10, yard=10, spare=10)
        planned = []
        for _ in range(40):
            wanted = {pool: random.randrange(60) * CPU for pool in ("portal", "desk", "yard")}
            fleet.claims = {pool: claim(10) for pool in wanted} if with_claims else {}
            fleet.empty = {name for name in sorted(fleet.state.intents) if random.random() < 0.5}
            fleet.measure(**wanted)
            for intent in fleet.plan():
                fleet.answer(intent.machine)
                fleet.pool_of[intent.machine] = intent.pool
                planned.append((fleet.now_ms, intent.machine, intent.pool))
            fleet.now_ms += 1
            fleet.list_machines()
        plans.append(planned)
    assert plans[0] == plans[1]
    assert plans[0]


def test_division_is_logged_at_most_once_a_second(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    fleet = make_surge()
    run_rounds(fleet, 20)
    logged = [row for row in caplog.records if getattr(row, "event", "") == "division"]
    assert 1 <= len(logged) <= 3
    assert any(row.taken for row in logged)  # type: ignore[attr-defined]
    shares = {row["pool"]: row for row in logged[-1].shares}  # type: ignore[attr-defined]
    assert shares["desk"]["part"] == 75
