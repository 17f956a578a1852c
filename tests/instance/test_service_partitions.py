"""A large service has several owners, and every process knows which."""

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
def _two_machines_a_share(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Let four machines be a large pool."""
    monkeypatch.setattr(partitions, "WORKERS_A_SHARE", 2)
    yield


def is_laid_out(known: DirectoryState, service: str) -> bool:
    """Say whether a process knows the partitions of a service."""
    return service in known.layout.shares


def is_keeping(process: InstanceProcess) -> bool:
    """Say whether a process owns the fleet, and has planned since it has seen its machines."""
    if process.keeper is None:
        return False
    state = process.keeper.state
    if state.listed_ms is None:
        return False
    return state.now_ms - state.listed_ms >= 3 * PLAN_INTERVAL_MS


async def async_submit_all(site: Site) -> None:
    """Hand all jobs in, to one process after the other."""
    for number, job_id in enumerate(JOBS):
        process = site.processes[number % len(site.processes)]
        assert await site.async_submit(process, job_id, "work 50") == 200


def restored_owners(site: Site) -> dict[int, PartitionOwner]:
    """Return the owners that have read their partitions, by partition."""
    return {
        partition: owner
        for process in site.processes
        for partition, owner in process.owners.items()
        if owner.is_restored
    }


def test_jobs_of_a_large_service_run_with_all_of_its_owners() -> None:
    """One queue's jobs go to two partitions, each with workers of its own."""

    async def async_test() -> None:
        async with open_site(processes=2, machines=4) as site:
            await async_submit_all(site)
            for job_id in JOBS:
                await site.async_wait_state(site.processes[0], job_id, "complete")
            # The second process has just come, and partitions may still be on their way to it.
            shares = site.processes[0].directory.state.layout.partitions_of("portal")
            await site.async_wait(lambda: set(restored_owners(site)) >= set(shares))
            owners = restored_owners(site).values()
            ran = {owner.partition: owner.state.finished.keys() for owner in owners}
            assert len(shares) == 2
            assert all(ran[partition] for partition in shares)
            assert sum(len(jobs) for jobs in ran.values()) == len(JOBS)
            assert all(len(site.starts(job_id)) == 2 for job_id in JOBS)

    trio.run(async_test)


def test_queues_length_counts_all_of_its_owners() -> None:
    """No machine has room: whoever asks hears of the jobs of both partitions."""

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


def test_process_that_starts_while_the_layout_cannot_be_read_asks_others() -> None:
    """A part of the store is down, the fleet's partition with it, and an instance is replaced.

    Without the layout it would refuse every job for as long as the outage lasts, though the
    partitions of the jobs work.
    """

    async def async_test() -> None:
        async with open_site(processes=1, machines=4) as site:
            first = site.processes[0]
            site.platform.faults.down_partitions |= {(WORK_TOPIC, fleet_partition(3))}
            second = await site.async_add_process()
            assert second.directory.state.layout == first.directory.state.layout
            assert await site.async_submit(second, JOBS[0], "work 10") == 200
            await site.async_wait_state(first, JOBS[0], "complete")

    trio.run(async_test)


def test_service_that_is_new_is_laid_out_and_others_stay() -> None:
    """An operator adds a service; jobs of the older one must not change their owners."""

    async def async_test() -> None:
        async with open_site(processes=2, machines=4) as site:
            before = site.processes[0].directory.state.layout.shares["portal"]
            site.platform.configure(2, [QUEUE], ["portal", "desk", "spare"])
            for process in site.processes:
                known = process.directory.state
                await site.async_wait(partial(is_laid_out, known, "desk"))
                assert known.layout.shares["portal"] == before

    trio.run(async_test)


def test_all_processes_are_killed_and_the_next_ones_find_the_same_layout() -> None:
    """Every instance loses its process in the middle of jobs; others start at other addresses.

    Were the layout made anew, by other machines or in another order, jobs would be asked for at
    owners that don't know them, and run twice.
    """

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


def test_layout_that_cannot_be_read_is_never_replaced() -> None:
    """An older version of the program meets the layout of a newer one.

    A layout of its own would send jobs to owners that don't know them. It refuses jobs instead.
    """

    async def async_test() -> None:
        async with open_site(processes=1, machines=2) as site:
            first = site.processes[0]
            keeper = first.keeper
            assert keeper is not None
            record = b'{"shares": 7}'
            site.platform.log.put(WORK_TOPIC, LAYOUT_KEY, record, partition=keeper.partition)
            site.kill(first)
            second = await site.async_add_process(is_ready=False)
            await site.async_wait(lambda: is_keeping(second))
            assert await site.async_submit(second, JOBS[0], "work 10") == 503
            stored = site.platform.log.newest(WORK_TOPIC, keeper.partition)[LAYOUT_KEY][1]
            assert stored == record

    trio.run(async_test)


def test_process_follows_no_workers_for_a_partition_that_no_service_has() -> None:
    """A store has more partitions than the services need, and two processes are dealt all of them.

    Only whoever owns one in which jobs can be reads what hundreds of workers write. A service that
    is laid out later is owned at once.
    """

    async def async_test() -> None:
        async with open_site(processes=2, machines=2) as site:
            await site.async_wait(lambda: bool(restored_owners(site)))
            layout = site.processes[0].directory.state.layout
            assert set(restored_owners(site)) == set(layout.all_partitions()) == {0}
            idle = next(process for process in site.processes if not process.owners)
            await site.async_wait(lambda: bool(idle.unused) or idle.keeper is not None)
            assert idle.directory.follows_workers == (idle.keeper is not None)
            further = QUEUE | {"name": "books", "pathPrefix": "/b/", "service": "desk"}
            site.platform.configure(2, [QUEUE, further], ["portal", "desk", "spare"])
            await site.async_wait(lambda: set(restored_owners(site)) == {0, 1})

    trio.run(async_test)
