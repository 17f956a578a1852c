"""Ends of jobs that can't be stored for a while, with real processes."""

from __future__ import annotations

from collections.abc import Callable

import pytest
import trio

from heatherkeel.ownership.const import WORK_TOPIC
from heatherkeel.standins.faults import Faults
from heatherkeel.standins.history import Happening

from .site import STEP, Site, open_site

JOB = "00000000000000e1"
SPEC = "work 700"
WATCHED_S = 1.5
"""For how long callers ask in an outage, in seconds; the owner keeps its membership so long."""
CANCEL_WAIT_S = 0.5
SHOWN_WITHIN_S = 5.0
ONE_TASK = STEP | {"count": 1}


async def async_run_until_end(site: Site, break_store: Callable[[Faults], None]) -> None:
    """Submit a job, break the store while its task runs, and wait until that has ended.

    The site has one process, so that no partition changes owners meanwhile.
    """
    await site.async_wait(lambda: site.owner_of("portal") is not None)
    assert await site.async_submit(site.processes[0], JOB, SPEC, ONE_TASK) == 200
    await site.async_wait(lambda: bool(site.starts(JOB)))
    # An earlier append without an answer would be repeated, and keep the end from being sent.
    await site.async_wait(lambda: are_journals_idle(site))
    break_store(site.platform.faults)
    await site.async_wait(lambda: has_ended(site))


def are_journals_idle(site: Site) -> bool:
    """Return whether no owner waits for the answer to an append."""
    owners = [owner for process in site.processes for owner in process.owners.values()]
    return all(owner.journal.batch_ready.statistics().tasks_waiting for owner in owners)


def has_ended(site: Site) -> bool:
    """Return whether the job's task has ended on its worker."""
    return any(event.what is Happening.ENDED for event in site.platform.history)


async def async_watch_states(site: Site) -> set[str]:
    """Return all states that the process answers for a while."""
    states = set()
    with trio.move_on_after(WATCHED_S):
        while True:
            states.add(await site.async_state(site.processes[0], JOB))
            await trio.sleep(0.05)
    return states


async def async_crash_worker(site: Site) -> None:
    """Crash the worker that has the end."""
    machines = site.platform.machines.values()
    machine = next(m for m in machines if m.worker is not None and m.worker.ended)
    await site.platform.async_crash(machine)


def silence_store(faults: Faults) -> None:
    """Let no call to the store be carried out or answered."""
    faults.store_silent = True


def refuse_at_store(faults: Faults) -> None:
    """Let the store answer each call with 503."""
    faults.store_refuses = True


def lose_answers_of_appends(faults: Faults) -> None:
    """Let the store carry out each append without an answer."""
    faults.lose_appends = 1_000_000


def is_end_stored(site: Site) -> bool:
    """Return whether the job's end is stored."""
    return any(
        key.endswith(JOB) and b'"complete"' in value
        for partition in range(3)
        for key, (_, value) in site.platform.log.newest(WORK_TOPIC, partition).items()
    )


@pytest.mark.parametrize("break_store", [silence_store, refuse_at_store])
def test_job_that_was_shown_as_complete_never_runs_again(
    break_store: Callable[[Faults], None],
) -> None:
    """Guards against `complete` for an end that isn't stored, and is lost with its worker."""

    async def async_test() -> None:
        async with open_site(processes=1, machines=3) as site:
            await async_run_until_end(site, break_store)
            assert "complete" not in await async_watch_states(site)
            await async_crash_worker(site)
            site.kill(site.processes[0])
            site.platform.faults.store_silent = site.platform.faults.store_refuses = False
            later = await site.async_add_process()
            await site.async_wait_state(later, JOB, "complete")
            assert len(site.starts(JOB)) == 2

    trio.run(async_test)


def test_cancel_of_a_job_whose_end_isnt_stored_is_not_answered_before_it_is() -> None:
    """Guards against 200 for a cancel without a record of anything, of a job that runs again."""

    async def async_test() -> None:
        async with open_site(processes=1) as site:
            await async_run_until_end(site, silence_store)
            await trio.sleep(0.2)
            status = None
            with trio.move_on_after(CANCEL_WAIT_S):
                status, _ = await site.async_call(site.processes[0], "DELETE", f"/q/{JOB}")
            assert status != 200

    trio.run(async_test)


def test_end_that_is_stored_without_an_answer_is_shown_by_the_next_owner() -> None:
    """Guards against a second run where the owner was replaced before it heard of its append."""

    async def async_test() -> None:
        async with open_site(processes=1) as site:
            await async_run_until_end(site, lose_answers_of_appends)
            await site.async_wait(lambda: is_end_stored(site))
            assert await site.async_state(site.processes[0], JOB) == "active"
            site.kill(site.processes[0])
            site.platform.faults.lose_appends = 0
            later = await site.async_add_process()
            await site.async_wait_state(later, JOB, "complete")
            assert len(site.starts(JOB)) == 1

    trio.run(async_test)


def test_end_is_shown_soon_after_the_store_is_back() -> None:
    """Guards against a job that stays active for good after an outage."""

    async def async_test() -> None:
        async with open_site(processes=1) as site:
            await async_run_until_end(site, refuse_at_store)
            await trio.sleep(0.5)
            site.platform.faults.store_refuses = False
            with trio.fail_after(SHOWN_WITHIN_S):
                await site.async_wait_state(site.processes[0], JOB, "complete")
            assert len(site.starts(JOB)) == 1

    trio.run(async_test)
