"""Workers start again under the ids that they had, in real processes and the stand-ins."""

from __future__ import annotations

import trio

from heatherkeel.standins.fleet_worker import TASK_CPU

from .site import STEP, Site, open_site

EARLIER = "00000000000000a1"
LATER = "00000000000000b2"
LASTING = "00000000000000c3"
AWAY_S = 3.0
"""Longer than a worker is silent before its owner gives it up, in seconds."""


async def async_prepare(site: Site) -> None:
    """Let the only worker end some tasks, and start one that lasts."""
    site.platform.faults.keep_ids = True
    (process,) = site.processes
    assert await site.async_submit(process, EARLIER, "work 20", STEP | {"count": 6}) == 200
    await site.async_wait_state(process, EARLIER, "complete")
    assert await site.async_submit(process, LASTING, "lasts", STEP | {"longRunning": True}) == 200
    await site.async_wait(lambda: len(site.starts(LASTING)) == 2)


def test_ends_of_a_worker_that_started_again_are_not_taken_for_known_ones() -> None:
    """Guards against tasks that run again since their ends carry numbers of the earlier life."""

    async def async_test() -> None:
        async with open_site(processes=1, machines=1) as site:
            await async_prepare(site)
            await site.platform.async_crash(site.platform.machines["m0"])
            await site.async_wait(lambda: len(site.starts(LASTING)) == 4)
            (process,) = site.processes
            assert await site.async_submit(process, LATER, "work 100", STEP | {"count": 3}) == 200
            await site.async_wait_state(process, LATER, "complete")
            assert sorted(attempt for _, attempt in site.starts(LATER)) == [1, 1, 1]

    trio.run(async_test)


def test_ends_are_acknowledged_while_a_slow_store_is_behind_a_busy_worker() -> None:
    """Guards against ends that pile up on a worker until it lists no newer ones."""

    async def async_test() -> None:
        async with open_site(processes=1, machines=1) as site:
            (process,) = site.processes
            site.platform.faults.append_s = 0.2
            (worker,) = site.platform.everyone
            most = 0
            for number in range(240):
                spec = f"work {100 + number * 37 % 400}"
                site.nursery.start_soon(site.async_submit, process, f"{number:016x}", spec)
                await trio.sleep(0.025)
                most = max(most, len(worker.ended))
            assert 0 < most <= 2 * worker.cpu // TASK_CPU

    trio.run(async_test)


def test_worker_that_started_again_before_its_entry_lapsed_gets_work() -> None:
    """Guards against jobs that wait for good, since their worker was given up under its id."""

    async def async_test() -> None:
        async with open_site(processes=1, machines=1) as site:
            await async_prepare(site)
            (process,) = site.processes
            site.platform.faults.entries_silent = True
            await site.platform.async_crash(site.platform.machines["m0"], away_s=AWAY_S)
            owner = next(owner for owner in process.owners.values() if owner.state.jobs)
            await site.async_wait(lambda: not owner.state.workers)
            await site.async_wait(lambda: site.platform.machines["m0"].state == "up")
            site.platform.faults.entries_silent = False
            assert await site.async_submit(process, LATER, "work 100") == 200
            await site.async_wait_state(process, LATER, "complete")

    trio.run(async_test)
