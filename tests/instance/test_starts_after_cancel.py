"""Tasks that a worker starts after their job was canceled, through real processes."""

from __future__ import annotations

import time

import trio

from .site import STEP, Site, open_site

JOB = "00000000000000c1"
LATE_S = 1.5
GONE_S = 3.0
"""How long a task of a canceled job may run on after a late start, in seconds."""


async def async_wait_gone(site: Site) -> None:
    """Wait until the late start was due, and nothing of the job has run since for a while."""
    began_s = time.monotonic()
    last_run_s = began_s
    while time.monotonic() - began_s < LATE_S + GONE_S + 0.5:
        if any(worker.runs for worker in site.platform.everyone):
            last_run_s = time.monotonic()
        await trio.sleep(0.02)
    assert time.monotonic() - last_run_s > 0.4, "the task runs on"


def test_task_that_is_started_after_the_cancel_does_not_run_on() -> None:
    """A worker doesn't answer a start; the job is canceled; then the worker carries it out.

    The caller has been told that the job is canceled. The stop that the cancel sent makes the
    worker refuse the start, or a listing shows the run and it is stopped.
    """

    async def async_test() -> None:
        async with open_site(processes=2) as site:
            await site.async_wait(lambda: site.owner_of("portal") is not None)
            faults = site.platform.faults
            faults.late_start_s, faults.lose_starts = LATE_S, 1
            first, second = site.processes
            lasting = STEP | {"count": 1, "longRunning": True}
            assert await site.async_submit(first, JOB, "lasts", lasting) == 200
            await site.async_wait(lambda: faults.lose_starts == 0)
            status, _ = await site.async_call(second, "DELETE", f"/q/{JOB}")
            assert status == 200
            await async_wait_gone(site)

    trio.run(async_test)


def test_task_whose_starter_is_gone_does_not_run_on_after_the_cancel() -> None:
    """The owner sends a start that isn't answered, and is killed; the job is canceled elsewhere.

    The worker carries the start out under the lease that it came with. The next owner reads that
    the attempt was stored, and stops whatever of it a worker lists.
    """

    async def async_test() -> None:
        async with open_site(processes=2) as site:
            owner, other = await site.async_find_owner("portal")
            faults = site.platform.faults
            faults.late_start_s, faults.lose_starts = LATE_S, 1
            lasting = STEP | {"count": 1, "longRunning": True}
            assert await site.async_submit(other, JOB, "lasts", lasting) == 200
            await site.async_wait(lambda: faults.lose_starts == 0)
            site.kill(owner)
            status, _ = await site.async_call(other, "DELETE", f"/q/{JOB}")
            assert status == 200
            await async_wait_gone(site)

    trio.run(async_test)
