"""Fault injection with restarting workers and all other faults of the stand-ins."""

from __future__ import annotations

import pytest
import trio

from .chaos import async_run_chaos


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_task_runs_twice_and_no_job_is_lost_under_faults(seed: int) -> None:
    """Guards against duplicate runs and lost jobs when workers, processes and the store fail."""
    assert not trio.run(async_run_chaos, seed)
