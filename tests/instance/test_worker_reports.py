"""What workers and other writers report about workers, with real processes."""

from __future__ import annotations

import time

import msgspec
import pytest
import trio

from heatherkeel.standins.history import Happening

from .site import STEP, Site, open_site

JOB = "00000000000000a1"
LATER_JOB = "00000000000000b2"
DRAIN_S = 4.0
REPORTED_S = 0.8
"""Time from a report until no start on that worker is on its way, in seconds."""


def lives_that_started(site: Site, job_id: str, *, since_s: float = 0.0) -> set[tuple[str, int]]:
    """Return the worker incarnations that have started a task of a job."""
    return {
        event.life
        for event in site.platform.history
        if event.what is Happening.STARTED
        and event.task.startswith(job_id)
        and event.at_s >= since_s
    }


def test_draining_worker_is_emptied_before_it_leaves_and_gets_no_work() -> None:
    """Guards against tasks that end with a worker that had reported that it leaves."""

    async def async_test() -> None:
        async with open_site(processes=1, machines=2) as site:
            (process,) = site.processes
            step = STEP | {"longRunning": True}
            assert await site.async_submit(process, JOB, "lasts", step) == 200
            await site.async_wait(lambda: len(site.starts(JOB)) == 2)
            machine = site.platform.machines["m0"]
            worker = machine.worker
            assert worker is not None
            began_s = time.monotonic()
            site.nursery.start_soon(lambda: site.platform.async_drain(machine, for_s=DRAIN_S))
            await trio.sleep(REPORTED_S)
            await site.async_wait(lambda: not worker.runs)
            assert machine.worker is worker
            for number in range(20):
                await site.async_submit(process, f"{number:016x}", "work 50")
            assert all(
                event.at_s < began_s + REPORTED_S
                for event in site.platform.history
                if event.what is Happening.STARTED and event.life[0] == worker.id
            )
            await site.async_wait_state(process, f"{19:016x}", "complete")

    trio.run(async_test)


def test_incarnation_of_another_kind_gets_only_tasks_for_its_kind() -> None:
    """Guards against relying on the kind of an earlier incarnation at the same address."""

    async def async_test() -> None:
        async with open_site(processes=1, machines=2) as site:
            (process,) = site.processes
            site.platform.faults.keep_ids = True
            step = STEP | {"requirements": "a", "count": 4}
            assert await site.async_submit(process, JOB, "work 50", step) == 200
            await site.async_wait_state(process, JOB, "complete")
            machine = site.platform.machines["m0"]
            assert machine.worker is not None
            earlier = machine.worker
            machine.kind = "b"
            await site.platform.async_crash(machine, away_s=0.3)
            await site.async_wait(lambda: machine.worker is not None)
            later = machine.worker
            assert later is not None
            assert (later.id, later.address) == (earlier.id, earlier.address)
            assert later.born != earlier.born
            for number in range(12):
                await site.async_submit(process, f"{number:016x}", "work 100", step)
                await trio.sleep(0.1)
            for number in range(12):
                await site.async_wait_state(process, f"{number:016x}", "complete")
            for_b = STEP | {"requirements": "b"}
            assert await site.async_submit(process, LATER_JOB, "work 50", for_b) == 200
            await site.async_wait_state(process, LATER_JOB, "complete")
            life = (later.id, later.born)
            assert not any(life in lives_that_started(site, f"{n:016x}") for n in range(12))
            assert lives_that_started(site, LATER_JOB) == {life}

    trio.run(async_test)


FOREIGN = {
    "service": "portal",
    "address": "127.0.0.1:9",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 64000, "memMb": 64000, "gpu": 0},
    "labels": ["a", "r1"],
    "machine": "m9",
    "sequence": 1,
}


@pytest.mark.parametrize(
    "change",
    [
        {"service": "elsewhere"},
        {"state": "resting"},
        {"address": "nowhere"},
        {"address": "127.0.0.1:9"},
        {"born": "yesterday"},
        {"slots": "eight"},
        {"sequence": "four"},
        {"capacity": {"cpu": "all"}},
    ],
    ids=str,
)
def test_entry_of_another_writer_takes_no_work_from_workers(change: dict[str, object]) -> None:
    """Guards against jobs that wait for a worker which doesn't exist."""

    async def async_test() -> None:
        async with open_site(processes=1, machines=1) as site:
            (process,) = site.processes
            foreign = {"i-foreign": msgspec.json.encode(FOREIGN | change), "i-bytes": b"\xff\x00{"}
            site.platform.foreign_entries = foreign
            await trio.sleep(0.5)
            began_s = time.monotonic()
            assert await site.async_submit(process, JOB, "work 50", STEP | {"count": 6}) == 200
            await site.async_wait_state(process, JOB, "complete")
            assert time.monotonic() - began_s < 3.0

    trio.run(async_test)
