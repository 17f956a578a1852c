"""Store faults that affect one process only, with real processes."""

from __future__ import annotations

import pytest
import trio

from heatherkeel.instance.process import InstanceProcess

from .site import Site, open_site

JOB = "00000000000000b1"


async def async_add_side_process(site: Site) -> InstanceProcess:
    """Add a process with its own store address and wait until it knows its peers."""
    address = site.platform.side_store.address
    process = await site.async_add_process(store_address=address)

    async def async_knows_peers() -> bool:
        await process.holders.async_refresh()
        return bool(process.holders.list_others(process.links.address))

    await site.async_wait_for(async_knows_peers)
    return process


@pytest.mark.parametrize("fault", ["side_refuses", "side_silent"])
def test_process_refused_by_the_store_accepts_jobs_and_keeps_its_partitions(fault: str) -> None:
    """Guards against losing jobs and ownership on a process that can't use the store."""

    async def async_test() -> None:
        async with open_site(processes=1) as site:
            process = await async_add_side_process(site)
            await site.async_wait(lambda: bool(process.owners or process.unused_partitions))
            setattr(site.platform.faults, fault, True)
            assert await site.async_submit(process, JOB, "work 50") == 200
            await site.async_wait_state(process, JOB, "complete")
            await trio.sleep(2.5)
            assert process.member.can_issue_orders()
            assert process.status.is_ready()
            assert len(site.starts(JOB)) == 2

    trio.run(async_test)
