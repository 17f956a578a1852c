"""Processes that ask a job's owner whether the job may be stored, over their links."""

from __future__ import annotations

import trio

from heatherkeel.admission.models import PoolBacklog
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.instance.process import InstanceProcess

from .site import Site, open_site

IN_FORCE = ("pressure",)
ACCEPTED = "00000000000000aa"


async def async_start(site: Site) -> InstanceProcess:
    """Start two processes that admit by backlog; returns one that doesn't own the jobs' partition.

    Partitions may still move between them, so tests wait for what they expect.
    """
    for _ in range(2):
        await site.async_add_process(contracts=IN_FORCE)
    _, other = await site.async_find_owner("portal")
    return other


def set_backlog(site: Site, *, running: float) -> None:
    """Let each owner believe that its pool has this much to do, from now on."""
    for process in site.processes:
        for owner in process.owners.values():
            owner.admission.desk.opened_ms = monotonic_ms() - 60_000
            owner.admission.desk.meter.measured["portal"] = PoolBacklog(
                measured_ms=monotonic_ms() + 60_000, cores=1.0, running=running, lasted_ms=10_000
            )


async def async_refuse_one(site: Site, process: InstanceProcess) -> str:
    """Submit jobs until one is refused; returns its ID."""
    refused: list[str] = []
    count = 0

    async def async_check() -> bool:
        nonlocal count
        count += 1
        job_id = f"{count:016x}"
        set_backlog(site, running=1_000_000.0)
        if await site.async_submit(process, job_id, "work 50") == 503:
            refused.append(job_id)
        return bool(refused)

    await site.async_wait_for(async_check)
    return refused[0]


def test_hopeless_job_is_refused_and_never_runs() -> None:
    """Guards against refusals that aren't true: the job is neither stored nor started."""

    async def async_test() -> None:
        async with open_site(processes=0) as site:
            process = await async_start(site)
            assert await site.async_submit(process, ACCEPTED, "work 50") == 200
            await site.async_wait_state(process, ACCEPTED, "complete")
            refused = await async_refuse_one(site, process)
            await site.async_wait_state(process, refused, "410")
            assert site.starts(refused) == []
            # An accepted job stays accepted, whichever process is asked.
            for each in site.processes:
                assert await site.async_submit(each, ACCEPTED, "work 50") == 200

    trio.run(async_test)


def test_refused_job_is_served_when_it_returns() -> None:
    async def async_test() -> None:
        async with open_site(processes=0) as site:
            process = await async_start(site)
            refused = await async_refuse_one(site, process)
            set_backlog(site, running=0.0)
            assert await site.async_submit(process, refused, "work 50") == 200
            await site.async_wait_state(process, refused, "complete")

    trio.run(async_test)


def test_job_is_accepted_while_its_owner_can_not_be_asked() -> None:
    """Guards against guesses of a process that is cut off from the owner."""

    async def async_test() -> None:
        async with open_site(processes=0) as site:
            process = await async_start(site)
            set_backlog(site, running=1_000_000.0)
            for each in site.processes:
                for owner in each.owners.values():
                    owner.is_restored = False
            assert await site.async_submit(process, ACCEPTED, "work 50") == 200

    trio.run(async_test)


def test_nothing_is_refused_where_it_is_off() -> None:
    async def async_test() -> None:
        async with open_site(processes=2) as site:
            _, process = await site.async_find_owner("portal")
            set_backlog(site, running=1_000_000.0)
            assert await site.async_submit(process, ACCEPTED, "work 50") == 200

    trio.run(async_test)
