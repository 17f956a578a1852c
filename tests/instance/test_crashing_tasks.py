"""A task that crashes every worker that starts it: guards against endless restarts of it."""

from __future__ import annotations

import trio

from .site import STEP, open_site

JOB = "00000000000000a1"
OTHER_JOB = "00000000000000b2"
LONG_RUNNING_JOB = "00000000000000c3"
MAX_STARTS = 5
"""Three that crash a worker each and two more."""


def test_only_the_job_whose_task_crashes_workers_fails() -> None:
    async def async_test() -> None:
        async with open_site(processes=2, machines=3) as site:
            process = site.processes[0]
            long_running = STEP | {"longRunning": True}
            assert await site.async_submit(process, LONG_RUNNING_JOB, "lasts", long_running) == 200
            assert await site.async_submit(process, JOB, "crashes 0 100") == 200
            assert await site.async_submit(process, OTHER_JOB, "work 400") == 200
            await site.async_wait_state(process, JOB, "failed")
            crashing = [start for start in site.starts(JOB) if start[0].endswith(".0")]
            assert len(crashing) <= MAX_STARTS
            await site.async_wait_state(process, OTHER_JOB, "complete")
            assert await site.async_state(process, LONG_RUNNING_JOB) == "active"

    trio.run(async_test)
