"""An exception raised on purpose while one job or one worker is handled, in whole processes."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
import pytest
import trio

from heatherkeel.dispatch import (
    jobs,
    placement,
    progress_records,
    recovery,
    session,
    ticks,
    worker_sessions,
    workers,
)
from heatherkeel.dispatch.building import set_objective
from heatherkeel.dispatch.items import Item, ItemKind
from heatherkeel.dispatch.models import Job
from heatherkeel.dispatch.progress_records import ProgressRecords
from heatherkeel.dispatch.records import (
    REQUEST_PREFIX,
    StoredRequest,
    encode_request,
)
from heatherkeel.helpers.clock import wall_ms
from heatherkeel.instance import set_aside
from heatherkeel.ownership.const import JOBS_TOPIC
from heatherkeel.platform.callers import JobRequest, StepRequest

from .site import STEP, Site, open_site

BEFORE, BAD, AFTER = "00000000000000b1", "00000000000000a1", "00000000000000b2"
REPEATED = {"repeatCount": 3, "intervalMs": 1000}
SOON_MS = 500
"""When such a job begins, so that it does in a tick."""


class PurposeError(Exception):
    """Raised on purpose."""


def find_ids(value: Any) -> set[str]:
    """Return the IDs of the jobs and workers among the arguments of a call."""
    if isinstance(value, str):
        return {value}
    if isinstance(value, Job):
        return {value.id}
    for path in ("job_id", "worker.id", "step.job.id", "job.id", "id"):
        found = value
        for name in path.split("."):
            found = getattr(found, name, None)
        if isinstance(found, str):
            return {found}
    return set()


def raise_for(
    monkeypatch: pytest.MonkeyPatch, place: Any, name: str, is_bad: Callable[[str], bool]
) -> None:
    """Let a function raise where one of its arguments is, or belongs to, a bad item."""
    genuine = getattr(place, name)

    def raising(*args: Any, **kwargs: Any) -> Any:
        ids = set().union(*(find_ids(value) for value in [*args, *kwargs.values()]))
        if any(is_bad(found) for found in ids):
            raise PurposeError(name)
        return genuine(*args, **kwargs)

    monkeypatch.setattr(place, name, raising)


def has_started(site: Site, job_id: str) -> bool:
    """Return whether both tasks of a job have been started."""
    return len(site.starts(job_id)) == 2


def count_set_aside(site: Site, kind: ItemKind) -> float:
    """Return how many items of a kind the processes have set aside."""
    counters = [process.dispatch_metrics.set_aside for process in site.processes]
    return sum(float(counter.labels(kind.value)._value.get()) for counter in counters)


async def async_check_others(site: Site) -> None:
    """Check that jobs go on that were accepted before and come after it."""
    for number in range(len(site.processes)):
        await site.async_wait_state(site.processes[number], BEFORE, "complete")

    async def async_is_accepted() -> bool:
        return await site.async_submit(site.processes[0], AFTER, "work 20") == 200

    await site.async_wait_for(async_is_accepted)
    await site.async_wait_state(site.processes[-1], AFTER, "complete")


@pytest.mark.parametrize(
    ("place", "name"),
    [
        (jobs, "set_objective"),
        (jobs, "begin_due_occurrences"),
        (placement, "_choose_by_preference"),
        (progress_records, "make_progress"),
        (ticks, "begin_due_occurrences"),
        (ProgressRecords, "list_changed"),
    ],
    ids=lambda value: value if isinstance(value, str) else value.__name__.rpartition(".")[-1],
)
def test_job_that_cannot_be_handled_fails_alone(
    place: Any, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one job that ends each owner in turn, with all other jobs of the partition."""
    raise_for(monkeypatch, place, name, lambda found: found == BAD)

    async def async_test() -> None:
        async with open_site(processes=2) as site:
            assert await site.async_submit(site.processes[0], BEFORE, "work 1500") == 200
            body = {"spec": "work 20", "steps": [STEP]} | REPEATED
            body["startAtMs"] = wall_ms() + SOON_MS
            status, _ = await site.async_call(site.processes[0], "POST", f"/q/{BAD}", body)
            assert status == 200
            await site.async_wait_state(site.processes[1], BAD, "failed")
            assert count_set_aside(site, ItemKind.JOB) == 1
            await async_check_others(site)
            assert await site.async_state(site.processes[0], BAD) == "failed"

    trio.run(async_test)


def test_job_that_cannot_be_restored_fails_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one stored job that ends each next owner as it restores its partition."""

    async def async_test() -> None:
        async with open_site(processes=2) as site:
            owner_process, other = await site.async_find_owner("portal")
            for job_id in (BEFORE, BAD):
                assert await site.async_submit(owner_process, job_id, "work 6000") == 200
                await site.async_wait(partial(has_started, site, job_id))
            raise_for(monkeypatch, recovery, "restore_job", lambda found: found == BAD)
            site.kill(owner_process)
            await site.async_wait_state(other, BAD, "failed")
            await site.async_wait_state(other, BEFORE, "complete")
            assert len(site.starts(BEFORE)) == 2
            running = [name for worker in site.platform.everyone for name in worker.runs]
            assert not [name for name in running if name.startswith(BAD)]

    trio.run(async_test)


@pytest.mark.parametrize(
    ("place", "name"),
    [
        (workers, "add_worker"),
        (workers, "_record_answer"),
        (worker_sessions, "WorkerSession"),
        (session.WorkerSession, "_lease_until"),
        (session.WorkerSession, "_async_list_once"),
    ],
    ids=lambda value: value if isinstance(value, str) else value.__name__.rpartition(".")[-1],
)
def test_worker_that_cannot_be_handled_is_left_out(
    place: Any, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one worker's entry or answer that ends all processes that meet it."""
    # The first machine has the first worker.
    raise_for(monkeypatch, place, name, lambda found: found == "i-1")

    async def async_test() -> None:
        async with open_site(processes=2) as site:
            await site.async_wait(lambda: count_set_aside(site, ItemKind.WORKER) > 0)

            async def async_is_accepted() -> bool:
                return await site.async_submit(site.processes[0], BEFORE, "work 50") == 200

            await site.async_wait_for(async_is_accepted)
            await async_check_others(site)
            assert all(process.nursery is not None for process in site.processes)

    trio.run(async_test)


def test_process_ends_if_it_can_handle_next_to_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a fault of the process itself that fails one sound job after the other."""
    items = set_aside.SetAsideItems()
    item = Item(kind=ItemKind.JOB, id=BAD)
    for _ in range(set_aside.MAX_IN_WINDOW):
        items.add(item)
    with pytest.raises(RuntimeError, match="could not be handled"):
        items.add(item)


def test_broken_invariant_is_not_blamed_on_a_job(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a process that goes on with a state that it knows to be wrong."""

    def fail(job: Job, terms: Any) -> None:
        assert job.id != BAD, "broken on purpose"
        set_objective(job, terms)

    monkeypatch.setattr(jobs, "set_objective", fail)

    async def async_test() -> None:
        async with open_site(processes=1) as site:
            await site.async_submit(site.processes[0], BAD, "work 20")
            await trio.sleep(5)

    with pytest.raises(BaseExceptionGroup) as caught:
        trio.run(async_test)
    assert caught.group_contains(AssertionError, match="broken on purpose")


def make_stored_poison() -> bytes:
    """Return the record of a job with a number of 401 digits, as earlier releases accepted it."""
    step = StepRequest(count=1, cpu=500, memory_mb=100, estimated_ms=7)
    stored = StoredRequest(
        queue="quotes",
        service="portal",
        accepted_wall_ms=1,
        request=JobRequest(spec="work 20", steps=(step,)),
    )
    return encode_request(stored).replace(b'"estimatedMs":7', b'"estimatedMs":' + b"9" * 401)


def test_stored_job_with_a_huge_number_runs_and_stops_no_owner() -> None:
    """Guards against a job of an earlier release that ends each next owner of its partition."""
    value = make_stored_poison()
    assert b"9" * 401 in value
    assert msgspec.json.decode(value)["request"]["steps"][0]["estimatedMs"] > 10**400

    async def async_test() -> None:
        async with open_site(processes=2) as site:
            assert await site.async_submit(site.processes[0], BEFORE, "work 1500") == 200
            process = site.processes[0]
            partition = process.directory.state.layout.partition_of_job("portal", BAD)
            assert partition is not None
            site.platform.log.put(JOBS_TOPIC, f"{REQUEST_PREFIX}{BAD}", value, partition=partition)
            await site.async_wait_state(site.processes[1], BAD, "complete")
            site.kill(site.processes[0])
            site.processes.pop(0)
            site.scopes.pop(0)
            await async_check_others(site)
            assert count_set_aside(site, ItemKind.JOB) == 0

    trio.run(async_test)
