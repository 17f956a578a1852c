"""Tasks that a worker starts after their job was canceled, with real processes."""

from __future__ import annotations

import time

import trio

from .site import STEP, Site, open_site

JOB = "00000000000000c1"
START_DELAY_S = 1.5
MAX_RUN_S = 3.0
"""Longest run of a canceled job's task after a late start, in seconds."""


async def async_wait_stopped(site: Site) -> None:
    """Wait past the late start and check that no task of the job still runs."""
    began_s = time.monotonic()
    last_run_s = began_s
    while time.monotonic() - began_s < START_DELAY_S + MAX_RUN_S + 0.5:
        if any(worker.runs for worker in site.platform.everyone):
            last_run_s = time.monotonic()
        await trio.sleep(0.02)
    assert time.monotonic() - last_run_s > 0.4, "the task still runs"


def test_task_started_after_the_cancel_is_stopped() -> None:
    """Guards against a run that goes on when a worker executes a start after the cancel."""

    async def async_test() -> None:
        async with open_site(processes=2) as site:
            await site.async_wait(lambda: site.owner_of("portal") is not None)
            faults = site.platform.faults
            faults.late_start_s, faults.lose_starts = START_DELAY_S, 1
            first, second = site.processes
            step = STEP | {"count": 1, "longRunning": True}
            assert await site.async_submit(first, JOB, "lasts", step) == 200
            await site.async_wait(lambda: faults.lose_starts == 0)
            status, _ = await site.async_call(second, "DELETE", f"/q/{JOB}")
            assert status == 200
            await async_wait_stopped(site)

    trio.run(async_test)


def test_task_started_after_the_cancel_is_stopped_by_the_next_owner() -> None:
    """Guards against a run that goes on when the owner that started it was killed."""

    async def async_test() -> None:
        async with open_site(processes=2) as site:
            owner, other = await site.async_find_owner("portal")
            faults = site.platform.faults
            faults.late_start_s, faults.lose_starts = START_DELAY_S, 1
            step = STEP | {"count": 1, "longRunning": True}
            assert await site.async_submit(other, JOB, "lasts", step) == 200
            await site.async_wait(lambda: faults.lose_starts == 0)
            site.kill(owner)
            status, _ = await site.async_call(other, "DELETE", f"/q/{JOB}")
            assert status == 200
            await async_wait_stopped(site)

    trio.run(async_test)
