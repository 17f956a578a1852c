"""Workers whose capacity changes under load, with real processes.

The stand-in's workers accept every start and record those that exceed their capacity.
"""

from __future__ import annotations

import trio

from heatherkeel.dispatch.worker import Worker

from .site import STEP, Site, open_site

JOB = "00000000000000a1"


def owner_view_of_worker(site: Site) -> Worker:
    """Return the owner's view of the only worker."""
    (owner,) = (owner for owner in site.processes[0].owners.values() if owner.state.workers)
    (worker,) = owner.state.workers.values()
    return worker


def test_no_start_exceeds_a_shrunken_capacity() -> None:
    async def async_test() -> None:
        async with open_site(processes=1, machines=2) as site:
            process = site.processes[0]
            workers = [machine.worker for machine in site.platform.machines.values()]
            for number in range(24):
                await site.async_submit(process, f"{number:016x}", "work 200", STEP | {"count": 3})
                for worker in workers:
                    assert worker is not None
                    worker.resize(2000 if number % 12 < 8 else 8000)
                await trio.sleep(0.15)
            for number in range(24):
                await site.async_wait_state(process, f"{number:016x}", "complete")
            assert not any(worker.overfilled for worker in site.platform.everyone)

    trio.run(async_test)


def test_nothing_starts_while_a_worker_cannot_report_its_capacity() -> None:
    """Guards against overloading a worker that shrinks while it can't update its entry."""

    async def async_test() -> None:
        async with open_site(processes=1, machines=1) as site:
            process = site.processes[0]
            await site.async_wait(lambda: site.owner_of("portal") is process)
            await site.async_wait(lambda: any(o.state.workers for o in process.owners.values()))
            site.platform.faults.entries_silent = True
            (worker,) = site.platform.everyone
            worker.resize(1000)
            await site.async_wait(lambda: owner_view_of_worker(site).is_outdated)
            assert await site.async_submit(process, JOB, "work 100") == 200
            await trio.sleep(0.5)
            assert not site.starts(JOB)
            site.platform.faults.entries_silent = False
            await site.async_wait_state(process, JOB, "complete")
            assert not worker.overfilled

    trio.run(async_test)
