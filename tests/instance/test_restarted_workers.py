"""Workers that restart under their ids, with real processes."""

from __future__ import annotations

import trio

from heatherkeel.standins.fleet_worker import TASK_CPU

from .site import STEP, Site, open_site

EARLIER_JOB = "00000000000000a1"
LATER_JOB = "00000000000000b2"
LONG_RUNNING_JOB = "00000000000000c3"
DOWNTIME_S = 3.0
"""Longer than an owner keeps an unresponsive worker, in seconds."""


async def async_prepare(site: Site) -> None:
    """Let the only worker end some tasks and start a long-running job."""
    site.platform.faults.keep_ids = True
    (process,) = site.processes
    assert await site.async_submit(process, EARLIER_JOB, "work 20", STEP | {"count": 6}) == 200
    await site.async_wait_state(process, EARLIER_JOB, "complete")
    assert (
        await site.async_submit(process, LONG_RUNNING_JOB, "lasts", STEP | {"longRunning": True})
        == 200
    )
    await site.async_wait(lambda: len(site.starts(LONG_RUNNING_JOB)) == 2)


def test_ends_of_a_restarted_worker_are_not_mistaken_for_old_ones() -> None:
    """Guards against repeated tasks when ends reuse numbers of an earlier incarnation."""

    async def async_test() -> None:
        async with open_site(processes=1, machines=1) as site:
            await async_prepare(site)
            await site.platform.async_crash(site.platform.machines["m0"])
            await site.async_wait(lambda: len(site.starts(LONG_RUNNING_JOB)) == 4)
            (process,) = site.processes
            assert (
                await site.async_submit(process, LATER_JOB, "work 100", STEP | {"count": 3}) == 200
            )
            await site.async_wait_state(process, LATER_JOB, "complete")
            assert sorted(attempt for _, attempt in site.starts(LATER_JOB)) == [1, 1, 1]

    trio.run(async_test)


def test_ends_are_acknowledged_while_the_store_is_slower_than_a_worker() -> None:
    """Guards against ends that accumulate on a worker until it lists no newer ones."""

    async def async_test() -> None:
        async with open_site(processes=1, machines=1) as site:
            (process,) = site.processes
            site.platform.faults.append_s = 0.2
            (worker,) = site.platform.everyone
            most_ends = 0
            for number in range(240):
                spec = f"work {100 + number * 37 % 400}"
                site.nursery.start_soon(site.async_submit, process, f"{number:016x}", spec)
                await trio.sleep(0.025)
                most_ends = max(most_ends, len(worker.ended))
            assert 0 < most_ends <= 2 * worker.cpu // TASK_CPU

    trio.run(async_test)


def test_worker_restarted_before_its_entry_expired_gets_work() -> None:
    """Guards against jobs that wait for good on a worker that was lost under its id."""

    async def async_test() -> None:
        async with open_site(processes=1, machines=1) as site:
            await async_prepare(site)
            (process,) = site.processes
            site.platform.faults.entries_silent = True
            await site.platform.async_crash(site.platform.machines["m0"], away_s=DOWNTIME_S)
            owner = next(owner for owner in process.owners.values() if owner.state.jobs)
            workers = owner.state.workers
            await site.async_wait(lambda: not any(worker.runs for worker in workers.values()))
            await site.async_wait(lambda: site.platform.machines["m0"].state == "up")
            site.platform.faults.entries_silent = False
            assert await site.async_submit(process, LATER_JOB, "work 100") == 200
            await site.async_wait_state(process, LATER_JOB, "complete")

    trio.run(async_test)
