"""Which instances a wave drains next: fewest rounds within the budgets, no blocked drains."""

from __future__ import annotations

from functools import cache

import msgspec
import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st

from heatherkeel.catalogue.models import PoolEntry
from heatherkeel.pools.models import Health, InstanceObserved, Source
from heatherkeel.waves.models import DrainStart, Purpose
from heatherkeel.waves.policy import POLICIES, plan
from tests.fleets import OWNER, FoldedLog, admit, join, maintenance, service, small_fleet
from tests.waves.driver import WaveDriver

HOUR_MS = 3_600_000
Racks = tuple[int, ...]


def _plan(log: FoldedLog, *, policy_name: str = "spread") -> list[DrainStart]:
    return plan(log.state, log.now_ms, coordinator="entry-a", policy_name=policy_name)


def _due(log: FoldedLog) -> FoldedLog:
    """Advance the time by the maintenance period, with all leases renewed."""
    log.wait(HOUR_MS)
    for entry_id in list(log.state.membership.entries):
        log.must(join(entry_id))
    return log


def _racked_fleet(racks: Racks, *, min_serving: int, max_concurrent: int = 100) -> FoldedLog:
    """Return a fleet of one zone with racks of the given sizes, due for maintenance."""
    log = FoldedLog()
    log.put("desk", PoolEntry(owner=OWNER, size=max(sum(racks), min_serving)))
    log.put("stock", service(min_serving=min_serving))
    log.put("care", maintenance(max_concurrent=max_concurrent))
    for rack, size in enumerate(racks):
        for number in range(size):
            log.must(admit(f"r{rack}n{number}", zone="a", rack=f"r{rack}"))
    return _due(log)


def test_nothing_is_drained_before_the_period_is_over() -> None:
    log = small_fleet()
    assert _plan(log) == []
    assert [drain.instance for drain in _plan(_due(log))] == ["a0", "b0"]


def test_an_edit_of_wave_request_starts_a_wave() -> None:
    log = small_fleet()
    driver = WaveDriver(log=log)
    driver.run(ticks=2)
    assert log.state.waves.waves == {}
    log.put("care", msgspec.structs.replace(maintenance(), wave_request=1))
    driver.run_wave("desk")
    driver.run(ticks=30)
    assert log.state.waves.waves["desk"].number == 1


def test_draining_the_largest_rack_first_allows_more_drains() -> None:
    # Racks of 4 and 2, with the larger one as reserve and one instance that must serve. If the
    # small rack were drained first, the reserve would stay at 4, and only one drain would fit.
    log = _racked_fleet((2, 4), min_serving=1)
    chosen = [drain.instance for drain in _plan(log)]
    assert sorted(chosen) == ["r0n0", "r1n0", "r1n1", "r1n2"]


def test_drains_that_lower_the_reserve_are_paired_with_drains_that_need_it() -> None:
    # Two drains at a time, and only one in the largest rack allows one in another rack. If the
    # largest rack's drains are paired with each other, the small racks need a fifth round.
    rounds = {
        name: WaveDriver(
            log=_racked_fleet((3, 2, 1, 1), min_serving=3, max_concurrent=2),
            policy_name=name,
            reboot_ms=9_000,
        ).run_wave("desk")
        // 9_000
        for name in ("spread", "largest_rack_first")
    }
    assert rounds == {"spread": 4, "largest_rack_first": 5}


def test_concurrent_drains_are_spread_over_the_availability_zones() -> None:
    # Both workers of zone a could be drained at once. Its callers would then depend on other zones,
    # and would not be served if the zone were cut off.
    log = _due(small_fleet(min_serving=0))
    log.put("care", maintenance(max_concurrent=3))
    assert [drain.instance for drain in _plan(log)] == ["a0", "b0", "c0"]


def test_an_overdue_instance_goes_first() -> None:
    log = _racked_fleet((1, 3), min_serving=0, max_concurrent=1)
    for instance_id in ("r0n0", "r1n0", "r1n1"):
        log.instance(instance_id).maintained_ms += 1
    assert [drain.instance for drain in _plan(log)] == ["r1n2"]


@pytest.mark.parametrize("name", sorted(POLICIES))
def test_no_policy_exceeds_the_budget(name: str) -> None:
    assert _plan(_due(small_fleet(min_serving=5)), policy_name=name) == []


def test_nothing_is_proposed_in_a_halted_wave() -> None:
    # Two instances did not come back, and the wave is halted. Neither the next drain nor a repair,
    # which would restart them with the same bad image, may be proposed.
    log = _due(small_fleet(min_serving=0))
    driver = WaveDriver(log=log, lost={"a0", "b0"})
    driver.run(ticks=90)
    assert log.state.waves.waves["desk"].halted_reason
    assert log.state.waves.drains == {}
    assert _plan(log) == []


def test_a_zone_with_an_unresponsive_entry_instance_is_postponed() -> None:
    # Zone a is cut off. A drain of its instances could not end, and would only reduce capacity.
    log = small_fleet()
    log.wait(HOUR_MS)
    log.must(join("entry-b"))
    log.must(join("entry-c"))
    assert [drain.instance for drain in _plan(log)] == ["b0", "c0"]


def test_no_drain_starts_that_could_extend_into_counter_hours() -> None:
    log = _due(small_fleet())
    minute = log.now_ms // 60_000 % 1440
    log.put("care", maintenance(closed_from_minute=minute + 1, closed_to_minute=minute + 2))
    assert _plan(log) == []


def test_repairs_of_a_failed_instance_are_limited() -> None:
    log = small_fleet()
    log.must(
        InstanceObserved(
            instance="a0", health=Health.FAILED, observer="entry-a", source=Source.PLATFORM
        )
    )
    [repair] = _plan(log)
    assert (repair.instance, repair.purpose) == ("a0", Purpose.REPAIR)
    driver = WaveDriver(log=log, lost={"a0"})
    driver.run(ticks=200)
    assert log.instance("a0").failed_repairs == 2
    assert log.state.waves.drains == {}


def test_a_pool_that_lacks_instances_receives_them_by_the_fewest_moves() -> None:
    log = small_fleet()
    log.put("desk", PoolEntry(owner=OWNER, size=4))
    log.put("spare", PoolEntry(owner=OWNER, size=2))
    driver = WaveDriver(log=log)
    driver.run(ticks=10)
    members = [instance.pool for instance in log.state.pools.instances.values()]
    assert (members.count("desk"), members.count("spare")) == (4, 2)
    moved = [item.version for item in log.state.pools.instances.values() if item.pool == "spare"]
    assert moved == [4, 4]


def test_a_move_under_way_is_not_proposed_again() -> None:
    log = small_fleet()
    log.put("desk", PoolEntry(owner=OWNER, size=5))
    log.put("spare", PoolEntry(owner=OWNER, size=1))
    [move] = _plan(log)
    log.must(move)
    assert _plan(log) == []


def test_a_move_that_would_break_a_budget_is_not_proposed() -> None:
    log = small_fleet(min_serving=5)
    log.put("spare", PoolEntry(owner=OWNER, size=2))
    log.put("desk", PoolEntry(owner=OWNER, size=5))
    assert _plan(log) == []


@pytest.mark.parametrize("name", sorted(POLICIES))
def test_each_policy_finishes_a_wave_and_proposes_only_what_the_fold_accepts(name: str) -> None:
    driver = WaveDriver(log=_due(small_fleet()), policy_name=name)
    driver.run_wave("desk")
    assert driver.refusals == []


def test_the_production_policy_is_faster_than_the_baselines() -> None:
    times = {
        name: WaveDriver(log=_racked_fleet((4, 4, 4), min_serving=4), policy_name=name).run_wave(
            "desk"
        )
        for name in POLICIES
    }
    assert times["spread"] < times["fixed_share"] < times["one_at_a_time"]


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    racks=st.lists(st.integers(1, 4), min_size=2, max_size=4).map(tuple),
    min_serving=st.integers(0, 6),
)
def test_a_wave_takes_the_fewest_rounds_that_any_order_could(
    racks: Racks, min_serving: int
) -> None:
    fewest = _fewest_rounds(racks, min_serving)
    log = _racked_fleet(racks, min_serving=min_serving)
    assume(fewest is not None)
    driver = WaveDriver(log=log, reboot_ms=9_000)
    assert driver.run_wave("desk") // 9_000 == fewest


def _fits(racks: Racks, drained: Racks, min_serving: int) -> bool:
    serving = [size - count for size, count in zip(racks, drained, strict=True)]
    return sum(serving) - max(serving) >= min_serving


def _fewest_rounds(racks: Racks, min_serving: int) -> int | None:
    """Search all ways to maintain the racks in rounds that fit the budget."""

    @cache
    def rounds(left: Racks) -> int | None:
        if not any(left):
            return 0
        options = [
            after
            for drained in _possible_drains(left)
            if _fits(racks, drained, min_serving)
            and (after := rounds(tuple(a - b for a, b in zip(left, drained, strict=True))))
            is not None
        ]
        return min(options) + 1 if options else None

    return rounds(racks)


def _possible_drains(left: Racks) -> list[Racks]:
    """Return each way to drain at least one of the instances left in the racks."""
    drains: list[Racks] = [()]
    for size in left:
        drains = [(*drained, taken) for drained in drains for taken in range(size + 1)]
    return [drained for drained in drains if any(drained)]
