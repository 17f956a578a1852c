"""Simulations that guard against jobs that crash workers making other jobs late or failed."""

from __future__ import annotations

import pytest

from .crashing_pool import CrashingPool

SEEDS = [1, 2, 3, 4]
MOST_CRASHES = 5
"""Allowed for one task: three crashes and two more starts."""
MIN_IN_TIME_FRACTION = 0.5
"""Fraction of the other jobs; crashes keep about five of twelve workers down."""


@pytest.mark.parametrize("seed", SEEDS)
def test_other_jobs_finish_while_some_jobs_crash_workers(seed: int) -> None:
    outcome = CrashingPool(seed=seed, crashing_fraction=0.1).run(seconds=30, jobs_per_second=6)
    assert outcome.crashing > 5
    assert outcome.crashing_failed == outcome.crashing
    assert outcome.most_crashes <= MOST_CRASHES
    assert outcome.others_failed == 0
    assert outcome.others_in_time >= MIN_IN_TIME_FRACTION * outcome.others


@pytest.mark.parametrize("seed", SEEDS)
def test_no_job_is_given_up_while_workers_crash_by_themselves(seed: int) -> None:
    """Guards against failing jobs that were only there when their workers crashed."""
    pool = CrashingPool(seed=seed, crashing_fraction=0.0, has_self_crashes=True)
    outcome = pool.run(seconds=37, jobs_per_second=6)
    assert outcome.others > 150
    assert outcome.others_failed == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_jobs_that_crash_workers_are_found_among_workers_that_crash_by_themselves(
    seed: int,
) -> None:
    """Guards against a task that goes on crashing workers, since other workers crash as well."""
    pool = CrashingPool(seed=seed, crashing_fraction=0.1, has_self_crashes=True)
    outcome = pool.run(seconds=30, jobs_per_second=6)
    assert outcome.crashing > 5
    assert outcome.crashing_failed == outcome.crashing
    assert outcome.most_crashes <= MOST_CRASHES


def test_pool_without_crashing_jobs_meets_all_objectives() -> None:
    outcome = CrashingPool(seed=1, crashing_fraction=0.0).run(seconds=10, jobs_per_second=6)
    assert outcome.others_in_time == outcome.others
