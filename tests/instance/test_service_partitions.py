"""Partitions of services, of which a large one has several, and the layout that names them."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial

import pytest
import trio

from heatherkeel.directory.directory import DirectoryState
from heatherkeel.dispatch.owner import PartitionOwner
from heatherkeel.instance.process import InstanceProcess
from heatherkeel.ownership import partitions
from heatherkeel.ownership.const import LAYOUT_KEY, WORK_TOPIC
from heatherkeel.ownership.partitions import fleet_partition
from heatherkeel.pooling.const import PLAN_INTERVAL_MS

from .site import QUEUE, Site, open_site

JOBS = [f"{number:016x}" for number in range(1, 17)]


@pytest.fixture(autouse=True)
def _two_machines_per_partition(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Give a pool of four machines two partitions."""
    monkeypatch.setattr(partitions, "WORKERS_PER_SHARE", 2)
    yield


def is_in_layout(directory_state: DirectoryState, service: str) -> bool:
    """Return whether a process knows the partitions of a service."""
    return service in directory_state.layout.shares


def is_planning(process: InstanceProcess) -> bool:
    """Return whether a process owns the fleet and has planned since it listed its machines."""
    if process.fleet_owner is None:
        return False
    state = process.fleet_owner.state
    if state.listed_ms is None:
        return False
    return state.now_ms - state.listed_ms >= 3 * PLAN_INTERVAL_MS


async def async_submit_all(site: Site) -> None:
    """Submit all jobs, alternating between the processes."""
    for number, job_id in enumerate(JOBS):
        process = site.processes[number % len(site.processes)]
        assert await site.async_submit(process, job_id, "work 50") == 200


def restored_owners(site: Site) -> dict[int, PartitionOwner]:
    """Return the owners that have restored their partitions, by partition."""
    return {
        partition: owner
        for process in site.processes
        for partition, owner in process.owners.items()
        if owner.is_restored
    }


def test_jobs_of_a_large_service_run_on_all_of_its_owners() -> None:
    """Guards against a partition of a large service that gets no jobs."""

    async def async_test() -> None:
        async with open_site(processes=2, machines=4) as site:
            await async_submit_all(site)
            for job_id in JOBS:
                await site.async_wait_state(site.processes[0], job_id, "complete")
            # Partitions may still be moving to the second process, which has just joined.
            portal_partitions = site.processes[0].directory.state.layout.partitions_of("portal")
            await site.async_wait(lambda: set(restored_owners(site)) >= set(portal_partitions))
            owners = restored_owners(site).values()
            ran = {owner.partition: owner.state.finished.keys() for owner in owners}
            assert len(portal_partitions) == 2
            assert all(ran[partition] for partition in portal_partitions)
            assert sum(len(jobs) for jobs in ran.values()) == len(JOBS)
            assert all(len(site.starts(job_id)) == 2 for job_id in JOBS)

    trio.run(async_test)


def test_queue_length_includes_all_owners() -> None:
    """Guards against a queue length that leaves out the jobs of another partition."""

    async def async_test() -> None:
        async with open_site(processes=2, machines=4) as site:
            step = {"count": 1, "cpu": 10_000_000, "memMb": 1, "estimatedMs": 10}
            for job_id in JOBS:
                assert await site.async_submit(site.processes[0], job_id, "work 1", step) == 200

            async def async_check() -> bool:
                _, body = await site.async_call(site.processes[1], "GET", "/q/")
                return body.get("pendingJobs") == len(JOBS)

            await site.async_wait_for(async_check)

    trio.run(async_test)


def test_process_that_starts_while_the_layout_cannot_be_read_asks_its_peers() -> None:
    """Guards against refusing all jobs while only the fleet's partition can't be read."""

    async def async_test() -> None:
        async with open_site(processes=1, machines=4) as site:
            first = site.processes[0]
            site.platform.faults.down_partitions |= {(WORK_TOPIC, fleet_partition(3))}
            second = await site.async_add_process()
            assert second.directory.state.layout == first.directory.state.layout
            assert await site.async_submit(second, JOBS[0], "work 10") == 200
            await site.async_wait_state(first, JOBS[0], "complete")

    trio.run(async_test)


def test_new_service_gets_partitions_and_others_keep_theirs() -> None:
    """Guards against jobs that change their owners when an operator adds a service."""

    async def async_test() -> None:
        async with open_site(processes=2, machines=4) as site:
            before = site.processes[0].directory.state.layout.shares["portal"]
            site.platform.configure(2, [QUEUE], ["portal", "desk", "spare"])
            for process in site.processes:
                directory_state = process.directory.state
                await site.async_wait(partial(is_in_layout, directory_state, "desk"))
                assert directory_state.layout.shares["portal"] == before

    trio.run(async_test)


def test_layout_survives_the_loss_of_all_processes() -> None:
    """Guards against a new layout, by which jobs would run twice under other owners."""

    async def async_test() -> None:
        async with open_site(processes=2, machines=4, spares=1) as site:
            before = site.processes[0].directory.state.layout
            for job_id in JOBS[:6]:
                assert await site.async_submit(site.processes[0], job_id, "work 600") == 200
            await site.async_wait(lambda: all(site.starts(job_id) for job_id in JOBS[:6]))
            for process in list(site.processes):
                site.kill(process)
            await site.platform.async_add_machine("m-later", "portal")
            after = await site.async_add_process()
            assert after.directory.state.layout == before
            for job_id in JOBS[:6]:
                await site.async_wait_state(after, job_id, "complete")
                assert len(site.starts(job_id)) == 2

    trio.run(async_test)


def test_unreadable_layout_is_never_replaced() -> None:
    """Guards against an older version that replaces the layout of a newer one."""

    async def async_test() -> None:
        async with open_site(processes=1, machines=2) as site:
            first = site.processes[0]
            fleet_owner = first.fleet_owner
            assert fleet_owner is not None
            record = b'{"shares": 7}'
            site.platform.log.put(WORK_TOPIC, LAYOUT_KEY, record, partition=fleet_owner.partition)
            site.kill(first)
            second = await site.async_add_process(is_ready=False)
            await site.async_wait(lambda: is_planning(second))
            assert await site.async_submit(second, JOBS[0], "work 10") == 503
            stored = site.platform.log.newest(WORK_TOPIC, fleet_owner.partition)[LAYOUT_KEY][1]
            assert stored == record

    trio.run(async_test)


def test_process_follows_no_workers_for_an_unused_partition() -> None:
    """Guards against reading all worker entries in processes whose partitions have no jobs."""

    async def async_test() -> None:
        async with open_site(processes=2, machines=2) as site:
            await site.async_wait(lambda: bool(restored_owners(site)))
            layout = site.processes[0].directory.state.layout
            assert set(restored_owners(site)) == set(layout.all_partitions()) == {0}
            idle = next(process for process in site.processes if not process.owners)
            await site.async_wait(
                lambda: bool(idle.unused_partitions) or idle.fleet_owner is not None
            )
            assert idle.directory.follows_workers == (idle.fleet_owner is not None)
            further = QUEUE | {"name": "books", "pathPrefix": "/b/", "service": "desk"}
            site.platform.configure(2, [QUEUE, further], ["portal", "desk", "spare"])
            await site.async_wait(lambda: set(restored_owners(site)) == {0, 1})

    trio.run(async_test)
