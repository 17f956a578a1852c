"""Processes that ask a job's owner whether the job may be stored, over their links."""

from __future__ import annotations

import trio

from heatherkeel.admission.models import PoolBacklog
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.instance.process import InstanceProcess

from .site import Site, open_site

IN_FORCE = ("pressure",)
ACCEPTED, REFUSED, RETURNED = "00000000000000aa", "00000000000000bb", "00000000000000cc"


async def async_start(site: Site) -> tuple[InstanceProcess, InstanceProcess]:
    """Start two processes that admit by backlog; returns the owner and the other one."""
    for _ in range(2):
        await site.async_add_process(contracts=IN_FORCE)
    return await site.async_find_owner("portal")


def set_backlog(owner: InstanceProcess, *, running: float) -> None:
    """Let the owner believe that its pool has this much to do, from now on."""
    for partition in owner.owners.values():
        desk = partition.admission.desk
        desk.opened_ms = monotonic_ms() - 60_000
        desk.meter.measured["portal"] = PoolBacklog(
            measured_ms=monotonic_ms() + 60_000, cores=1.0, running=running, lasted_ms=10_000
        )


def test_hopeless_job_is_refused_by_another_process_and_never_runs() -> None:
    """Guards against refusals that aren't true: the job is neither stored nor started."""

    async def async_test() -> None:
        async with open_site(processes=0) as site:
            owner, other = await async_start(site)
            assert await site.async_submit(other, ACCEPTED, "work 50") == 200
            await site.async_wait_state(other, ACCEPTED, "complete")
            set_backlog(owner, running=1_000_000.0)
            assert await site.async_submit(other, REFUSED, "work 50") == 503
            assert await site.async_state(other, REFUSED) == "410"
            assert site.starts(REFUSED) == []
            # The owner's own process asks itself; an accepted job stays accepted everywhere.
            assert await site.async_submit(owner, ACCEPTED, "work 50") == 200

    trio.run(async_test)


def test_refused_job_is_served_when_it_returns() -> None:
    async def async_test() -> None:
        async with open_site(processes=0) as site:
            owner, other = await async_start(site)
            set_backlog(owner, running=1_000_000.0)
            assert await site.async_submit(other, RETURNED, "work 50") == 503
            set_backlog(owner, running=0.0)
            assert await site.async_submit(other, RETURNED, "work 50") == 200
            await site.async_wait_state(other, RETURNED, "complete")

    trio.run(async_test)


def test_job_is_accepted_while_its_owner_can_not_be_asked() -> None:
    """Guards against guesses of a process that is cut off from the owner."""

    async def async_test() -> None:
        async with open_site(processes=0) as site:
            owner, other = await async_start(site)
            set_backlog(owner, running=1_000_000.0)
            for partition in owner.owners.values():
                partition.is_restored = False
            assert await site.async_submit(other, ACCEPTED, "work 50") == 200

    trio.run(async_test)


def test_nothing_is_refused_where_it_is_off() -> None:
    async def async_test() -> None:
        async with open_site(processes=2) as site:
            owner, other = await site.async_find_owner("portal")
            set_backlog(owner, running=1_000_000.0)
            assert await site.async_submit(other, ACCEPTED, "work 50") == 200

    trio.run(async_test)
