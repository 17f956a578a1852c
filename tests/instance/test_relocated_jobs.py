"""Jobs that only another partition of their service can run, in whole processes."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
import trio

from heatherkeel.ownership import partitions

from .chaos import async_run_chaos
from .site import Site, open_site

JOBS = [f"{number * 7919:016x}" for number in range(1, 9)]
STEP = {"count": 1, "cpu": 1000, "memMb": 100, "estimatedMs": 100, "requirements": "b"}


@pytest.fixture(autouse=True)
def _two_machines_per_partition(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Give a pool of four machines two partitions."""
    monkeypatch.setattr(partitions, "WORKERS_PER_SHARE", 2)
    yield


async def async_submit_all(site: Site, spec: str) -> None:
    """Submit all jobs, alternating between the processes."""
    for number, job_id in enumerate(JOBS):
        process = site.processes[number % len(site.processes)]
        assert await site.async_submit(process, job_id, spec, STEP) == 200


def count_relocated(site: Site) -> float:
    """Return how many jobs the processes have handed over."""
    return sum(
        sample.value
        for process in site.processes
        for metric in process.dispatch_metrics.relocated.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    )


def test_jobs_run_on_the_only_machine_with_their_label() -> None:
    """Guards against accepted jobs that wait for good beside an idle worker with their label."""

    async def async_test() -> None:
        async with open_site(processes=2, machines=4) as site:
            site.platform.machines["m3"].kind = "b"
            await async_submit_all(site, "work 50")
            for job_id in JOBS:
                for process in site.processes:
                    await site.async_wait_state(process, job_id, "complete")
                assert len(site.starts(job_id)) == 1
            assert 0 < count_relocated(site) < len(JOBS)
            _, body = await site.async_call(site.processes[0], "GET", "/q/")
            assert body["pendingJobs"] == 0

    trio.run(async_test)


def test_relocated_jobs_are_known_counted_and_cancelled_at_every_process() -> None:
    """Guards against 410, a wrong queue length or a lost DELETE for a job that was handed over."""

    async def async_test() -> None:
        async with open_site(processes=2, machines=4) as site:
            site.platform.machines["m3"].kind = "b"
            await async_submit_all(site, "work 20000")
            await site.async_wait(lambda: all(site.starts(job_id) for job_id in JOBS))
            for job_id in JOBS:
                for process in site.processes:
                    assert await site.async_state(process, job_id) == "active"
                assert await site.async_submit(site.processes[1], job_id, "work 20000", STEP) == 200
            for number, job_id in enumerate(JOBS):
                process = site.processes[number % 2]
                assert (await site.async_call(process, "DELETE", f"/q/{job_id}"))[0] == 200
            running = site.platform.everyone
            await site.async_wait(lambda: not any(worker.runs for worker in running))
            for job_id in JOBS:
                assert await site.async_state(site.processes[0], job_id) == "canceled"
                assert len(site.starts(job_id)) == 1

    trio.run(async_test)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_task_runs_twice_while_jobs_are_handed_over_under_faults(seed: int) -> None:
    """Guards against lost and doubled jobs where owners, workers and the store fail meanwhile."""
    assert not trio.run(lambda: async_run_chaos(seed, labels=True))
