"""Fault injection while jobs compete for capacity and may be refused."""

from __future__ import annotations

import pytest
import trio

from .chaos import async_run_chaos

CONTRACTS = ("pressure",)


@pytest.mark.parametrize("seed", [1, 2])
def test_no_refused_job_runs_and_no_accepted_one_is_lost_under_faults(seed: int) -> None:
    """Guards against refused jobs that run, and accepted ones that don't, beside lost processes."""
    assert not trio.run(async_run_chaos, seed, CONTRACTS)
