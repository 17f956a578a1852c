"""Workers that start again under their ids, beside every other trouble that the stand-ins know."""

from __future__ import annotations

import pytest
import trio

from .chaos import async_run_chaos


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_task_runs_twice_and_no_job_is_lost_in_trouble(seed: int) -> None:
    """Guards against what befalls jobs when workers, processes and the store fail together."""
    assert not trio.run(async_run_chaos, seed)
