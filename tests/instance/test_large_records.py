"""Jobs whose progress is larger than a record of the store, in whole processes."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
import trio

from heatherkeel.dispatch import jobs
from heatherkeel.instance.process import InstanceProcess
from heatherkeel.platform.settings import StoreSettings
from heatherkeel.standins.history import Happening

from .site import Site, open_site

BEFORE, LARGE, AFTER = "00000000000000b1", "00000000000000a1", "00000000000000b2"
TASKS = 400
STEP = {"count": TASKS, "cpu": 1, "memMb": 1, "estimatedMs": 20}
RECORD_BYTES, REQUEST_BYTES = 4096, 16_384


@asynccontextmanager
async def open_small_store(*, processes: int = 1) -> AsyncIterator[Site]:
    """Run a site whose store takes small records only."""
    async with open_site(processes=0) as site:
        site.platform.log.record_bytes = RECORD_BYTES
        site.platform.log.request_bytes = REQUEST_BYTES
        site.store_limits = StoreSettings(
            address="", partitions=3, record_bytes=RECORD_BYTES, request_bytes=REQUEST_BYTES
        )
        for _ in range(processes):
            await site.async_add_process()
        yield site


async def async_submit_large(
    site: Site, process: InstanceProcess, spec: str, *steps: dict[str, Any]
) -> None:
    """Submit the large job until it is accepted; a new owner takes none for some seconds."""

    async def async_is_accepted() -> bool:
        return await site.async_submit(process, LARGE, spec, *steps) == 200

    await site.async_wait_for(async_is_accepted)


def test_job_larger_than_a_record_is_done_beside_others() -> None:
    """Guards against a partition in which nothing starts any more, beside idle workers."""

    async def async_test() -> None:
        async with open_small_store() as site:
            (process,) = site.processes
            await async_submit_large(site, process, "work 20", STEP)
            assert await site.async_submit(process, BEFORE, "work 20") == 200
            for job_id in (LARGE, BEFORE):
                await site.async_wait_state(process, job_id, "complete")
            assert len(site.starts(LARGE)) == TASKS

    trio.run(async_test)


def test_next_owner_goes_on_with_a_job_larger_than_a_record() -> None:
    """Guards against tasks that run again since their records were not read back."""

    async def async_test() -> None:
        async with open_small_store(processes=2) as site:
            owner, other = await site.async_find_owner("portal")
            steps: list[dict[str, Any]] = [STEP, STEP | {"count": 100, "dependsOn": [0]}]
            await async_submit_large(site, owner, "work 300", *steps)
            await site.async_wait(lambda: len(site.starts(LARGE)) >= TASKS / 2)
            site.kill(owner)
            await site.async_wait_state(other, LARGE, "complete")
            names = {start[0] for start in site.starts(LARGE)}
            assert len(names) == TASKS + 100
            ends = [
                event.task
                for event in site.platform.history
                if event.what is Happening.ENDED and event.outcome == "done"
            ]
            assert len(ends) == len(set(ends)) == TASKS + 100

    trio.run(async_test)


def test_job_that_cannot_be_stored_fails_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one job whose refused record stops all others of its partition."""
    monkeypatch.setattr(jobs, "choose_rows", lambda request, record_bytes: 0)

    async def async_test() -> None:
        async with open_small_store() as site:
            (process,) = site.processes
            assert await site.async_submit(process, BEFORE, "work 1000") == 200
            await async_submit_large(site, process, "work 20", STEP)
            await site.async_wait_state(process, LARGE, "failed")
            assert await site.async_submit(process, AFTER, "work 20") == 200
            for job_id in (BEFORE, AFTER):
                await site.async_wait_state(process, job_id, "complete")
            assert site.starts(LARGE) == []

    trio.run(async_test)


def test_job_whose_request_is_larger_than_a_record_is_refused_at_once() -> None:
    """Guards against a caller that waits for its deadline, and sends again what is never taken."""

    async def async_test() -> None:
        async with open_small_store() as site:
            (process,) = site.processes
            body = {"spec": "x" * 3990, "steps": [STEP | {"count": 1}]}
            began_s = trio.current_time()
            status, answer = await site.async_call(process, "POST", f"/q/{LARGE}", body)
            assert (status, answer["type"].rpartition(":")[2]) == (413, "too_large")
            assert trio.current_time() - began_s < 1.0
            assert await site.async_state(process, LARGE) == "410"

    trio.run(async_test)
