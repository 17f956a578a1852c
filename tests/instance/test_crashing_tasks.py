"""A task crashes every worker that starts it, in real processes and the stand-ins.

The caller asks for the job's state and is told `active` for good; meanwhile the pool's workers
crash one after the other, and other callers' jobs go down with them. Owners didn't count workers
that are lost under a task, so they started it again without end.
"""

from __future__ import annotations

import trio

from .site import STEP, open_site

JOB = "00000000000000a1"
BESIDE = "00000000000000b2"
LASTING = "00000000000000c3"
MOST_STARTS = 5
"""Three that crash a worker each, and two more."""


def test_job_whose_task_crashes_its_workers_is_shown_as_failed_and_no_other() -> None:
    async def async_test() -> None:
        async with open_site(processes=2, machines=3) as site:
            process = site.processes[0]
            lasting = STEP | {"longRunning": True}
            assert await site.async_submit(process, LASTING, "lasts", lasting) == 200
            assert await site.async_submit(process, JOB, "crashes 0 100") == 200
            assert await site.async_submit(process, BESIDE, "work 400") == 200
            await site.async_wait_state(process, JOB, "failed")
            crashing = [start for start in site.starts(JOB) if start[0].endswith(".0")]
            assert len(crashing) <= MOST_STARTS
            await site.async_wait_state(process, BESIDE, "complete")
            assert await site.async_state(process, LASTING) == "active"

    trio.run(async_test)
