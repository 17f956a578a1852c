"""A version of the configuration gives a queue another service; its jobs stay single jobs."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any

import trio

from heatherkeel.instance.process import InstanceProcess
from heatherkeel.ownership.const import WORK_TOPIC
from heatherkeel.ownership.partitions import fleet_partition

from .site import QUEUE, Site, open_site

JOB, NEXT_JOB = "00000000000000a1", "00000000000000b2"
LONG = "work 20000"
ONE_TASK = {"count": 1, "cpu": 1000, "memMb": 100, "estimatedMs": 20_000}
TOO_LARGE = ONE_TASK | {"cpu": 10_000_000}
"""Fits on no worker, so that its job stays pending."""
SERVICES = ["portal", "desk", "spare"]
DESK_QUEUE = QUEUE | {"service": "desk"}


@asynccontextmanager
async def open_two_services(*, processes: int = 3) -> AsyncIterator[Site]:
    """Run a site with workers of two services; the queue's jobs go to the first."""
    async with open_site(processes=processes) as site:
        for number in range(2):
            await site.platform.async_add_machine(f"d{number}", "desk")
        await async_configure(site, 2, QUEUE)
        yield site


async def async_configure(site: Site, version: int, *queues: dict[str, Any]) -> None:
    """Write a version, and wait until all processes apply it and know its layout."""
    site.platform.configure(version, list(queues), SERVICES)
    await site.async_wait(
        lambda: all(is_applied(site, number, version) for number in running(site))
    )


def running(site: Site) -> Sequence[int]:
    """Return the numbers of the processes that weren't killed."""
    return [number for number, scope in enumerate(site.scopes) if not scope.cancel_called]


def is_applied(site: Site, number: int, version: int) -> bool:
    """Return whether a process applies a version and knows all partitions that it needs."""
    directory = site.processes[number].directory.state
    return directory.config_version() == version and "desk" in directory.layout.shares


async def async_submit(site: Site, number: int, job_id: str, step: dict[str, Any]) -> int:
    """Submit a job of one step to a process; return the status."""
    return await site.async_submit(site.processes[number], job_id, LONG, step)


async def async_wait_starts(site: Site, job_id: str, count: int = 1) -> None:
    """Wait until a job's tasks have been started so often."""
    await site.async_wait(lambda: len(site.starts(job_id)) >= count)


def any_runs(site: Site, *job_ids: str) -> bool:
    """Return whether a worker has a run of one of these jobs."""
    return any(
        name.startswith(job_ids) for worker in site.platform.everyone for name in worker.runs
    )


def services_of(site: Site, job_id: str) -> list[str]:
    """Return the service of the worker of each start of a job's tasks."""
    return [
        worker.service
        for worker in site.platform.everyone
        for start in worker.started
        if start[0].startswith(job_id)
    ]


def test_job_of_a_moved_queue_stays_one_job_at_every_process() -> None:
    """Guards against a repeated POST that starts a job a second time, and 410 for its GET."""

    async def async_test() -> None:
        async with open_two_services() as site:
            assert await async_submit(site, 0, JOB, ONE_TASK) == 200
            await async_wait_starts(site, JOB)
            await async_configure(site, 3, DESK_QUEUE)
            for number in range(3):
                assert await site.async_state(site.processes[number], JOB) == "active"
                assert await async_submit(site, number, JOB, ONE_TASK) == 200
            await trio.sleep(1.0)
            assert services_of(site, JOB) == ["portal"]

    trio.run(async_test)


def test_job_of_a_moved_queue_is_cancelled_where_it_runs() -> None:
    """Guards against a DELETE that is acknowledged while the job's task goes on running."""

    async def async_test() -> None:
        async with open_two_services() as site:
            for job_id in (JOB, NEXT_JOB):
                assert await async_submit(site, 0, job_id, ONE_TASK) == 200
                await async_wait_starts(site, job_id)
            await async_configure(site, 3, DESK_QUEUE)
            for number, job_id in ((1, JOB), (2, NEXT_JOB)):
                status, _ = await site.async_call(site.processes[number], "DELETE", f"/q/{job_id}")
                assert status == 200
            await site.async_wait(lambda: not any_runs(site, JOB, NEXT_JOB))
            assert await site.async_state(site.processes[0], JOB) == "canceled"

    trio.run(async_test)


def test_new_job_of_a_moved_queue_runs_on_the_new_service_and_can_be_cancelled() -> None:
    """Guards against jobs that stay with a service to which their queue isn't sent any more."""

    async def async_test() -> None:
        async with open_two_services() as site:
            await async_configure(site, 3, DESK_QUEUE)
            short = ONE_TASK | {"estimatedMs": 50}
            body = {"spec": "work 50", "steps": [short]}
            for number in range(3):
                status, _ = await site.async_call(site.processes[number], "POST", f"/q/{JOB}", body)
                assert status == 200
            for process in site.processes:
                await site.async_wait_state(process, JOB, "complete")
            assert services_of(site, JOB) == ["desk"]
            assert await async_submit(site, 1, NEXT_JOB, ONE_TASK) == 200
            await async_wait_starts(site, NEXT_JOB)
            status, _ = await site.async_call(site.processes[2], "DELETE", f"/q/{NEXT_JOB}")
            assert status == 200
            await site.async_wait(lambda: not any_runs(site, NEXT_JOB))
            assert services_of(site, NEXT_JOB) == ["desk"]

    trio.run(async_test)


def test_queue_that_moves_there_and_back_has_one_owner_for_each_job() -> None:
    """Guards against two owners that accept one ID while versions follow one another."""

    async def async_test() -> None:
        async with open_two_services() as site:
            versions = [DESK_QUEUE, QUEUE, DESK_QUEUE]
            for version, queue in enumerate(versions, start=3):
                site.platform.configure(version, [queue], SERVICES)
                for number in range(3):
                    assert await async_submit(site, number, JOB, ONE_TASK) == 200
            await async_wait_starts(site, JOB)
            await async_configure(site, 6, QUEUE)
            for number in range(3):
                assert await async_submit(site, number, JOB, ONE_TASK) == 200
                assert await site.async_state(site.processes[number], JOB) in ("pending", "active")
            await trio.sleep(1.0)
            assert len(site.starts(JOB)) == 1

    trio.run(async_test)


def test_two_queues_that_swap_their_services_keep_their_jobs() -> None:
    """Guards against jobs that are looked for where the other queue's jobs are."""

    async def async_test() -> None:
        async with open_two_services() as site:
            books = QUEUE | {"name": "books", "pathPrefix": "/b/", "service": "desk"}
            await async_configure(site, 3, QUEUE, books)
            body = {"spec": LONG, "steps": [ONE_TASK]}
            for prefix, job_id in (("/q/", JOB), ("/b/", NEXT_JOB)):
                status, _ = await site.async_call(
                    site.processes[0], "POST", f"{prefix}{job_id}", body
                )
                assert status == 200
                await async_wait_starts(site, job_id)
            await async_configure(site, 4, DESK_QUEUE, books | {"service": "portal"})
            for process in site.processes:
                for prefix, job_id in (("/q/", JOB), ("/b/", NEXT_JOB)):
                    path = f"{prefix}{job_id}"
                    assert (await site.async_call(process, "POST", path, body))[0] == 200
                    assert (await site.async_call(process, "GET", path))[0] == 200
            await trio.sleep(1.0)
            assert services_of(site, JOB) == ["portal"]
            assert services_of(site, NEXT_JOB) == ["desk"]

    trio.run(async_test)


def test_queue_that_is_removed_and_returns_to_another_service_keeps_its_jobs() -> None:
    """Guards against a home that is forgotten with its queue while jobs are left."""

    async def async_test() -> None:
        async with open_two_services() as site:
            assert await async_submit(site, 0, JOB, ONE_TASK) == 200
            await async_wait_starts(site, JOB)
            await async_configure(site, 3)
            assert await site.async_state(site.processes[1], JOB) == "404"
            await async_configure(site, 4, DESK_QUEUE)
            for number in range(3):
                assert await site.async_state(site.processes[number], JOB) in ("pending", "active")
                assert await async_submit(site, number, JOB, ONE_TASK) == 200
            await trio.sleep(1.0)
            assert services_of(site, JOB) == ["portal"]

    trio.run(async_test)


def test_pending_jobs_of_a_moved_queue_are_all_counted() -> None:
    """Guards against a queue length that leaves out the jobs of either service."""

    async def async_test() -> None:
        async with open_two_services() as site:
            assert await async_submit(site, 0, JOB, TOO_LARGE) == 200
            await async_configure(site, 3, DESK_QUEUE)
            assert await async_submit(site, 1, NEXT_JOB, TOO_LARGE) == 200
            for process in site.processes:

                async def async_check(process: InstanceProcess = process) -> bool:
                    _, body = await site.async_call(process, "GET", "/q/")
                    return body.get("pendingJobs") == 2

                await site.async_wait_for(async_check)

    trio.run(async_test)


def test_moved_jobs_go_on_after_all_processes_were_replaced_in_turn() -> None:
    """Guards against what a job is being known only to processes that have read older versions."""

    async def async_test() -> None:
        async with open_two_services(processes=2) as site:
            first = ONE_TASK | {"estimatedMs": 3000}
            second = first | {"dependsOn": [0]}
            body = {"spec": "work 3000", "steps": [first, second]}
            call = site.async_call
            assert (await call(site.processes[0], "POST", f"/q/{JOB}", body))[0] == 200
            await async_wait_starts(site, JOB)
            await async_configure(site, 3, DESK_QUEUE)
            assert (await call(site.processes[1], "POST", f"/q/{NEXT_JOB}", body))[0] == 200
            await async_wait_starts(site, NEXT_JOB)
            for number in range(2):
                site.kill(site.processes[number])
                process = await site.async_add_process()
                for job_id in (JOB, NEXT_JOB):
                    assert (await call(process, "POST", f"/q/{job_id}", body))[0] == 200
            for job_id in (JOB, NEXT_JOB):
                await site.async_wait_state(site.processes[-1], job_id, "complete")
            assert services_of(site, JOB) == ["portal"] * 2
            assert services_of(site, NEXT_JOB) == ["desk"] * 2

    trio.run(async_test)


def test_job_of_a_removed_queue_with_an_advisor_goes_on_after_restarts() -> None:
    """Guards against starts without a ticket, since only the old configuration asked for one."""

    async def async_test() -> None:
        async with open_two_services(processes=2) as site:
            site.platform.worker_api.needs_tickets = True
            site.platform.allowed |= {worker.id for worker in site.platform.everyone}
            advised = QUEUE | {
                "placementAdvisor": {"decisionMs": 5, "perWorkerMs": 1, "validityMs": 1000}
            }
            await async_configure(site, 3, advised)
            first = ONE_TASK | {"estimatedMs": 2000}
            body = {"spec": "work 2000", "steps": [first, first | {"dependsOn": [0]}]}
            path = f"/q/{JOB}"
            assert (await site.async_call(site.processes[0], "POST", path, body))[0] == 200
            await async_wait_starts(site, JOB)
            await async_configure(site, 4)
            for number in range(2):
                site.kill(site.processes[number])
                await site.async_add_process()
            await async_wait_starts(site, JOB, 2)
            # It is gone for callers, but not for its workers.
            assert (await site.async_call(site.processes[-1], "GET", path))[0] == 404

    trio.run(async_test)


def test_new_queue_waits_for_its_home_while_others_are_served() -> None:
    """Guards against a job that two processes accept by two versions that they know."""

    async def async_test() -> None:
        async with open_two_services(processes=2) as site:
            site.platform.faults.down_partitions |= {(WORK_TOPIC, fleet_partition(3))}
            books = QUEUE | {"name": "books", "pathPrefix": "/b/", "service": "desk"}
            await async_configure(site, 3, QUEUE, books)
            body = {"spec": "work 10", "steps": [ONE_TASK]}
            process = site.processes[0]
            assert (await site.async_call(process, "POST", f"/b/{JOB}", body))[0] == 503
            assert (await site.async_call(process, "GET", "/b/"))[0] == 200
            assert (await site.async_call(process, "POST", f"/q/{NEXT_JOB}", body))[0] == 200
            site.platform.faults.down_partitions.clear()

            async def async_is_accepted() -> bool:
                return (await site.async_call(process, "POST", f"/b/{JOB}", body))[0] == 200

            await site.async_wait_for(async_is_accepted)

    trio.run(async_test)
