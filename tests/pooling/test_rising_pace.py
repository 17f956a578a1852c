"""A pool's turn that grows for some seconds: machines come two seconds after they are wanted.

The pattern is a queue whose jobs come faster and faster for four seconds, and slower again for as
many. Machines are ordered for the pace that is expected when they are there.
"""

from __future__ import annotations

from heatherkeel.pooling.const import LEAD_TIME_MS, MAX_GROWTH_FACTOR, TREND_WINDOW_MS
from heatherkeel.pooling.supply import demanded_cpu

from .fleet import CPU, Fleet

STEP_MS = 100


def play(fleet: Fleet, cores_at: list[float]) -> list[int]:
    """Let a pool's pace go through these values; returns the machines asked for at each step."""
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


def test_machines_are_asked_for_before_the_pace_needs_them() -> None:
    # Jobs come faster and faster. What is asked for at each moment is what the pace of about
    # two seconds later needs; asked for the pace of now they came late for the whole rise.
    fleet = Fleet(desk=2, spare=60)
    arrival_rates = rising(5, 4)
    asked = play(fleet, arrival_rates)
    later = round(LEAD_TIME_MS / STEP_MS)
    for step in range(round(TREND_WINDOW_MS / STEP_MS) + 1, len(arrival_rates) - later):
        assert asked[step] + 2 >= arrival_rates[step + later] / 1.15 - 1


def test_steady_pace_asks_for_no_more_than_it_needs() -> None:
    # Nine machines hold a pace of ten cores at 1.15 of their processor, and two are there. Once a
    # rise has ended nothing is added for it any more.
    steady, risen = Fleet(desk=2, spare=60), Fleet(desk=2, spare=60)
    play(steady, [10.0] * 40)
    assert len(steady.state.intents) == 7
    play(risen, rising(5, 2) + [10.0] * 40)
    assert demanded_cpu(risen.state, next(iter(risen.state.views))) <= 10.0 * CPU


def test_pace_that_jumps_is_taken_to_double_at_the_most() -> None:
    # A queue that was idle gets a crowd at once, as after an outage. How fast it grows can't be
    # told from a jump; twice what came is asked for, and not ten times.
    fleet = Fleet(desk=2, spare=60)
    play(fleet, [0.0] * 20 + [10.0])
    view = next(iter(fleet.state.views))
    assert demanded_cpu(fleet.state, view) <= MAX_GROWTH_FACTOR * 10 * CPU


def test_pace_that_falls_is_not_taken_to_fall_further() -> None:
    # What waits from the height of a turn still has to be done.
    fleet = Fleet(desk=2, spare=60)
    play(fleet, [20.0] * 20 + [10.0] * 3)
    view = next(iter(fleet.state.views))
    assert demanded_cpu(fleet.state, view) >= 10 * CPU * 0.85 / 1.15 - 1
