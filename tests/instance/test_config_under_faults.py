"""Changes of the configuration while the store serves only some processes."""

from __future__ import annotations

from typing import Final

import pytest
import trio

from heatherkeel.instance.process import InstanceProcess

from .site import QUEUE, Site, open_site

ADDED: Final = QUEUE | {"name": "added", "pathPrefix": "/added/"}
JOB: Final = "00000000000000c1"
APPLY_S: Final = 2.0
"""Time in which a change must be in force, in seconds (`configApplyMs`)."""
STABLE_S: Final = 3.0
"""Time after a restart from which a process is held to that, in seconds (`stableWindowMs`)."""
ROLLBACK_S: Final = 0.25
"""Time after which a process must not answer by a version older than one that it has acted on."""


async def async_add_side_processes(site: Site, count: int) -> list[InstanceProcess]:
    """Add processes at the store's second address."""
    return [
        await site.async_add_process(store_address=site.platform.side_store.address)
        for _ in range(count)
    ]


async def async_count(site: Site, process: InstanceProcess, queue: str) -> int:
    """Ask a process for the length of a queue and return the status."""
    status, _ = await site.async_call(process, "GET", f"/{queue}/")
    return status


@pytest.mark.parametrize("fault", ["side_silent", "side_refuses"])
def test_owners_refused_by_the_store_do_not_deny_an_added_queue(fault: str) -> None:
    """Guards against 404 by an outdated version while a process without partitions is served."""

    async def async_test() -> None:
        async with open_site(processes=0) as site:
            owners = await async_add_side_processes(site, 3)
            served = await site.async_add_process(core_share=0.5)
            await site.async_wait(lambda: all(owner.member.ownership.tokens for owner in owners))
            setattr(site.platform.faults, fault, True)
            site.platform.configure(2, [QUEUE, ADDED], ["portal", "spare"])
            await trio.sleep(APPLY_S)
            assert served.directory.state.config_version() == 2
            statuses = [await async_count(site, owner, "added") for owner in owners]
            assert 404 not in statuses

    trio.run(async_test)


def test_process_does_not_deny_a_queue_whose_job_it_has_started() -> None:
    """Guards against a process acting on a version as an owner and denying it as a gateway."""

    async def async_test() -> None:
        async with open_site(processes=0) as site:
            (owner,) = await async_add_side_processes(site, 1)
            other = await site.async_add_process(core_share=0.5)
            await site.async_wait(lambda: bool(owner.owners))
            site.platform.faults.side_silent_topics.add("keyed.op")
            site.platform.configure(2, [QUEUE, ADDED], ["portal", "spare"])
            await site.async_wait(lambda: other.directory.state.config_version() == 2)
            body = {"spec": "work 50", "steps": [{"count": 1, "cpu": 100, "estimatedMs": 50}]}
            status, _ = await site.async_call(other, "POST", f"/added/{JOB}", body)
            assert status == 200
            await site.async_wait(lambda: bool(site.starts(JOB)))
            await trio.sleep(ROLLBACK_S)
            assert await async_count(site, owner, "added") != 404

    trio.run(async_test)


def test_process_learns_a_change_soon_after_a_silent_store_returns() -> None:
    """Guards against waiting for a lost answer while the store answers other calls again."""

    async def async_test() -> None:
        async with open_site(processes=2) as site:
            site.platform.faults.store_silent = True
            # Long enough for each process to send a read that is never answered.
            await trio.sleep(1.2)
            site.platform.faults.store_silent = False
            site.platform.configure(2, [QUEUE, ADDED], ["portal", "spare"])
            await trio.sleep(APPLY_S)
            versions = [process.directory.state.config_version() for process in site.processes]
            assert versions == [2, 2]

    trio.run(async_test)


def test_process_that_restarts_while_refused_learns_the_configuration() -> None:
    """Guards against a refused process that knows nobody staying without a configuration."""

    async def async_test() -> None:
        async with open_site(processes=1) as site:
            (refused,) = await async_add_side_processes(site, 1)
            port = int(refused.links.address.rpartition(":")[2])
            await site.async_wait(lambda: refused.links.address in site.processes[0].peers.known)
            site.platform.faults.side_silent = True
            site.kill(refused)
            await trio.sleep(0.1)
            with trio.fail_after(STABLE_S):
                restarted = await site.async_add_process(
                    is_ready=False,
                    store_address=site.platform.side_store.address,
                    internal_port=port,
                )
            assert restarted.directory.state.is_config_recent()

    trio.run(async_test)
