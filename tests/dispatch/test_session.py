"""Calls of an owner to one worker."""

from __future__ import annotations

from functools import partial

import msgspec
import pytest
import trio

from heatherkeel.dispatch.building import make_placeholder_task
from heatherkeel.dispatch.const import LEASE_EXPIRY_MARGIN_MS, LEASE_MS, SLOWEST_CLOCK
from heatherkeel.dispatch.events import StartTask
from heatherkeel.dispatch.incarnations import add_worker
from heatherkeel.dispatch.models import Run
from heatherkeel.dispatch.session import WorkerSession
from heatherkeel.dispatch.worker import Worker
from heatherkeel.helpers.clock import monotonic_ms

from .partition import JOB, make_entry
from .test_owner_end import REFUSED, make_owner


def test_lease_of_an_unreachable_worker_is_not_extended_by_each_call() -> None:
    """Guards against tasks that never start elsewhere, since no lease of theirs ever ends."""
    owner = make_owner()
    entry = msgspec.structs.replace(make_entry(), address=REFUSED)
    worker = Worker(id="w0", entry=entry, clock_ms=50_000, clock_received_ms=monotonic_ms())
    add_worker(owner.state, worker)
    session = WorkerSession(owner=owner, worker=worker)

    async def async_test() -> None:
        assert not await session._async_list_once()
        assert worker.is_unresponsive
        lease_until_ms = worker.lease_until_ms
        for _ in range(3):
            await trio.sleep(0.02)
            assert not await session._async_list_once()
        assert worker.lease_until_ms == lease_until_ms
        await session.client.close()

    trio.run(partial(async_test))
    longest_ms = round((LEASE_MS + LEASE_EXPIRY_MARGIN_MS) * SLOWEST_CLOCK)
    assert worker.is_lease_expired(worker.clock_received_ms + longest_ms + 1000)


def test_starts_queued_for_an_unreachable_worker_do_not_extend_its_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against tasks that wait until each start queued for a lost worker has timed out."""
    owner = make_owner()
    monkeypatch.setattr(owner, "can_order", lambda: True)
    entry = msgspec.structs.replace(make_entry(), address=REFUSED)
    worker = Worker(
        id="w0",
        entry=entry,
        clock_ms=50_000,
        clock_received_ms=monotonic_ms(),
        is_unresponsive=True,
    )
    add_worker(owner.state, worker)
    task = make_placeholder_task(f"{JOB}.0.0.0", service="portal")
    run = Run(task=task, attempt=1, worker_id="w0")
    task.runs.append(run)
    worker.add(run)
    session = WorkerSession(owner=owner, worker=worker)

    async def async_test() -> None:
        with trio.fail_after(5):
            await session._async_start(StartTask(run=run))
        await session.client.close()

    trio.run(partial(async_test))
    assert worker.lease_until_ms == 0
    assert not task.runs, "it was never sent, so its task can start elsewhere at once"


def test_start_of_a_suspect_is_not_sent_to_a_worker_that_does_not_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against blaming a task for a worker that had gone before its start."""
    owner = make_owner()
    monkeypatch.setattr(owner, "can_order", lambda: True)
    entry = msgspec.structs.replace(make_entry(), address=REFUSED)
    worker = Worker(id="w0", entry=entry, clock_ms=50_000, clock_received_ms=monotonic_ms())
    add_worker(owner.state, worker)
    task = make_placeholder_task(f"{JOB}.0.0.0", service="portal")
    task.step.job.possible_crashes = task.unclear_losses = 1
    run = Run(task=task, attempt=1, worker_id="w0")
    task.runs.append(run)
    worker.add(run)
    session = WorkerSession(owner=owner, worker=worker)

    async def async_test() -> None:
        with trio.fail_after(5):
            await session._async_start(StartTask(run=run))
        await session.client.close()

    trio.run(partial(async_test))
    assert worker.lease_until_ms == 0
    assert not task.runs and not run.is_checked
    assert task.possible_crashes() == 1


def test_start_of_a_suspect_waits_for_the_membership_that_expired_during_its_check(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a start by an earlier owner, beside one of the next."""
    owner = make_owner()
    worker = Worker(id="w0", entry=make_entry(), clock_ms=50_000, clock_received_ms=monotonic_ms())
    add_worker(owner.state, worker)
    task = make_placeholder_task(f"{JOB}.0.0.0", service="portal")
    task.step.job.possible_crashes = task.unclear_losses = 1
    run = Run(task=task, attempt=1, worker_id="w0")
    task.runs.append(run)
    session = WorkerSession(owner=owner, worker=worker)
    is_member = [True]
    checks: list[int] = []

    async def async_check() -> bool:
        checks.append(len(checks))
        is_member[0] = len(checks) > 1
        return True

    monkeypatch.setattr(owner, "can_order", lambda: is_member[0])
    monkeypatch.setattr(session, "_async_check", async_check)

    async def async_test() -> None:
        with trio.move_on_after(0.05):
            await session._async_prepare_start(run)
        assert checks == [0], "it waits while another instance may own the partition"
        is_member[0] = True
        assert await session._async_prepare_start(run)
        assert checks == [0, 1], "the worker is asked anew"
        await session.client.close()

    trio.run(partial(async_test))
