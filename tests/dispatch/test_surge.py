"""Who is served in a turn, under a backlog and under a surge, in a simulated pool.

The load is that of a queue of short jobs: objectives of one to three seconds, a job asks for some
17 core-seconds, and declared durations are off by a fifth. The bounds stand a little below what the
order gave over five seeds; what the order by due times alone gave stands beside them.
"""

from __future__ import annotations

import pytest

from .surge import Outcome, Surge, count_objectives

SEEDS = (1, 2, 3)


def play(*, load: float, for_s: float = 5.0, workers: int = 6) -> list[Outcome]:
    """Play a surge with each seed."""
    return [Surge(workers=workers, seed=seed).run(load=load, for_s=for_s) for seed in SEEDS]


def mean_in_time(outcomes: list[Outcome]) -> float:
    return sum(outcome.share_in_time() for outcome in outcomes) / len(outcomes)


def mean_unserved(outcomes: list[Outcome]) -> float:
    return sum(outcome.share_unserved() for outcome in outcomes) / len(outcomes)


@pytest.mark.parametrize(
    ("load", "in_time", "unserved"),
    [
        pytest.param(0.5, 0.99, 0.0, id="half of the room; by due times 1.00, 0.00"),
        pytest.param(1.0, 0.97, 0.0, id="the room; by due times 0.97, 0.003"),
        pytest.param(1.5, 0.75, 0.01, id="half more; by due times 0.72, 0.02"),
        pytest.param(2.0, 0.62, 0.08, id="twice; by due times 0.42, 0.12"),
        pytest.param(3.0, 0.50, 0.25, id="three times; by due times 0.23, 0.33"),
    ],
)
def test_surge_does_not_make_all_jobs_late_together(
    load: float, in_time: float, unserved: float
) -> None:
    """Jobs come for five seconds at a multiple of what the pool's room can do.

    By their due times alone all become late together, and each waits behind those in time until
    it is worth nothing. The smallest first, most are in time; late ones get a last chance.
    """
    outcomes = play(load=load)
    assert mean_in_time(outcomes) >= in_time
    assert mean_unserved(outcomes) <= unserved


def test_largest_jobs_are_not_starved_by_a_surge_of_twice_the_room() -> None:
    """Smallest first, the largest tenth waits longest; most of it is still served."""
    outcomes = play(load=2.0)
    assert sum(outcome.largest_served for outcome in outcomes) / len(outcomes) >= 0.75


def test_jobs_after_a_surge_are_served_again_at_once() -> None:
    """Three times the room for four seconds, then half of it: what came before must not bind it.

    Jobs that come three seconds after the surge's end are in time, though some of those that came
    with it still wait.
    """
    surge = Surge(workers=6, seed=4)
    surge.run(load=3.0, for_s=4.0, then_load=0.5, then_s=8.0)
    calm_ms = surge.began_ms + 7000
    after = [job for job in surge.jobs if job.accepted_ms >= calm_ms]
    assert len(after) >= 20
    assert sum(count_objectives(job) <= 1 for job in after) >= 0.9 * len(after)
