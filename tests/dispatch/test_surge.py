"""Simulations of the order in which a queue of short jobs is served under overload."""

from __future__ import annotations

import pytest

from .surge import Outcome, Surge, relative_duration

SEEDS = (1, 2, 3)


def run_surges(*, load: float, for_s: float = 5.0, workers: int = 6) -> list[Outcome]:
    """Simulate a surge with each seed."""
    return [Surge(workers=workers, seed=seed).run(load=load, for_s=for_s) for seed in SEEDS]


def mean_in_time(outcomes: list[Outcome]) -> float:
    return sum(outcome.fraction_in_time() for outcome in outcomes) / len(outcomes)


def mean_unserved(outcomes: list[Outcome]) -> float:
    return sum(outcome.fraction_unserved() for outcome in outcomes) / len(outcomes)


@pytest.mark.parametrize(
    ("load", "in_time", "unserved"),
    [
        pytest.param(0.5, 0.99, 0.0, id="half of the capacity"),
        pytest.param(1.0, 0.97, 0.0, id="the whole capacity"),
        pytest.param(1.5, 0.75, 0.01, id="one and a half times the capacity"),
        pytest.param(2.0, 0.62, 0.08, id="twice the capacity"),
        pytest.param(3.0, 0.50, 0.25, id="three times the capacity"),
    ],
)
def test_overload_does_not_make_all_jobs_late(load: float, in_time: float, unserved: float) -> None:
    """Guards against an order by due time alone, which makes all jobs late together."""
    outcomes = run_surges(load=load)
    assert mean_in_time(outcomes) >= in_time
    assert mean_unserved(outcomes) <= unserved


def test_largest_jobs_are_not_starved_at_twice_the_capacity() -> None:
    """Guards against starvation of large jobs, since smaller ones are served first."""
    outcomes = run_surges(load=2.0)
    assert sum(outcome.largest_served for outcome in outcomes) / len(outcomes) >= 0.75


def test_jobs_after_a_surge_meet_their_objective() -> None:
    """Guards against jobs that wait behind the late ones of an earlier surge."""
    surge = Surge(workers=6, seed=4)
    surge.run(load=3.0, for_s=4.0, then_load=0.5, then_s=8.0)
    settled_ms = surge.start_ms + 7000
    after = [job for job in surge.jobs if job.accepted_ms >= settled_ms]
    assert len(after) >= 20
    assert sum(relative_duration(job) <= 1 for job in after) >= 0.9 * len(after)
