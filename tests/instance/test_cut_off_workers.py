"""Workers that can't be reached for a while, with real processes."""

from __future__ import annotations

import trio

from .site import STEP, Site, open_site

JOB = "00000000000000a1"
CUT_OFF_WORKERS = 2
CUT_OFF_AFTER_S = 0.1
"""Time from a start to the moment at which its worker can't be reached any more, in seconds."""


async def async_cut_off_next(site: Site, number: int) -> None:
    """Wait for a task's start and cut its worker off, whose machine stays up and listed."""
    await site.async_wait(lambda: len(site.starts(JOB)) == number)
    await trio.sleep(CUT_OFF_AFTER_S)
    for worker in site.platform.everyone:
        worker.is_cut_off |= bool(worker.runs)


async def async_wait_end(site: Site) -> str:
    """Wait until the job has ended and return its state."""
    states: set[str] = set()

    async def async_has_ended() -> bool:
        states.add(await site.async_state(site.processes[0], JOB))
        return bool(states & {"complete", "failed"})

    await site.async_wait_for(async_has_ended)
    return (states & {"complete", "failed"}).pop()


def test_job_is_complete_after_its_workers_were_cut_off() -> None:
    """Guards against showing a job as failed because workers under it fell silent."""

    async def async_test() -> None:
        async with open_site(processes=2, machines=3) as site:
            process = site.processes[0]
            step = STEP | {"count": 1}
            assert await site.async_submit(process, JOB, "work 1000", step) == 200
            for number in range(1, CUT_OFF_WORKERS + 1):
                await async_cut_off_next(site, number)
            assert await async_wait_end(site) == "complete"

    trio.run(async_test)
