"""Simulated days of services of several partitions, at whose end no job may starve."""

from __future__ import annotations

import pytest

from .fleet_days import Trouble, run_day


@pytest.mark.parametrize("trouble", Trouble)
@pytest.mark.parametrize("seed", [3, 8])
def test_no_job_starves_at_the_end_of_a_day(seed: int, trouble: Trouble) -> None:
    """Guards against an accepted job with nothing running while its service has room for it."""
    assert run_day(seed, trouble) == []
