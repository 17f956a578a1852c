"""Tests that machines are ordered for the arrival rate expected when they take tasks."""

from __future__ import annotations

from heatherkeel.pooling.const import LEAD_TIME_MS, MAX_GROWTH_FACTOR, TREND_WINDOW_MS
from heatherkeel.pooling.supply import demanded_cpu

from .fleet import CPU, Fleet

STEP_MS = 100


def play(fleet: Fleet, cores_at: list[float]) -> list[int]:
    """Feed arrival rates to a pool; return the number of machines ordered at each step."""
    asked = []
    for cores in cores_at:
        fleet.arriving["desk"] = (20, round(cores * CPU))
        fleet.measure(desk=0)
        fleet.plan(after_ms=STEP_MS)
        asked.append(sum(intent.pool == "desk" for intent in fleet.state.intents.values()))
    return asked


def rising(cores_a_second: float, seconds: float) -> list[float]:
    steps = round(seconds * 1000 / STEP_MS)
    return [cores_a_second * step * STEP_MS / 1000 for step in range(1, steps + 1)]


def test_machines_are_ordered_before_the_arrival_rate_needs_them() -> None:
    # Machines ordered for the current rate would be late throughout the rise.
    fleet = Fleet(desk=2, spare=60)
    arrival_rates = rising(5, 4)
    asked = play(fleet, arrival_rates)
    later = round(LEAD_TIME_MS / STEP_MS)
    for step in range(round(TREND_WINDOW_MS / STEP_MS) + 1, len(arrival_rates) - later):
        assert asked[step] + 2 >= arrival_rates[step + later] / 1.15 - 1


def test_steady_arrival_rate_orders_no_more_than_it_needs() -> None:
    # Nine machines serve a rate of ten cores at the target utilization, and two are there already.
    # Once a rise has ended, nothing is added for it.
    steady, risen = Fleet(desk=2, spare=60), Fleet(desk=2, spare=60)
    play(steady, [10.0] * 40)
    assert len(steady.state.intents) == 7
    play(risen, rising(5, 2) + [10.0] * 40)
    assert demanded_cpu(risen.state, next(iter(risen.state.views))) <= 10.0 * CPU


def test_growth_after_a_jump_of_the_arrival_rate_is_limited() -> None:
    # A trend can't be extrapolated from a sudden jump, such as after an outage.
    fleet = Fleet(desk=2, spare=60)
    play(fleet, [0.0] * 20 + [10.0])
    view = next(iter(fleet.state.views))
    assert demanded_cpu(fleet.state, view) <= MAX_GROWTH_FACTOR * 10 * CPU


def test_falling_arrival_rate_is_not_extrapolated() -> None:
    # Jobs that wait from the peak still have to run.
    fleet = Fleet(desk=2, spare=60)
    play(fleet, [20.0] * 20 + [10.0] * 3)
    view = next(iter(fleet.state.views))
    assert demanded_cpu(fleet.state, view) >= 10 * CPU * 0.85 / 1.15 - 1
