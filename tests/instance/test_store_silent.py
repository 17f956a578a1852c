"""Callers of a process that the store doesn't reach."""

from __future__ import annotations

import msgspec
import trio

from .site import HOST, STEP, open_site

JOB = "00000000000000d1"
NEXT_JOB = "00000000000000d2"
SUBMISSION = msgspec.json.encode({"spec": "work 10", "steps": [STEP]})


def test_callers_of_a_process_that_is_cut_off_are_told_no_at_once() -> None:
    """A zone is cut off from the store; its callers still reach its processes.

    Each submission used to be sent, and waited for until its caller's time was nearly up; the
    answer then said neither yes nor no, so that the caller could not try again elsewhere. Once
    nothing at all has been heard of the store, "no, and when to come back" is true and comes at
    once. With the first answer of the store submissions are taken again.
    """

    async def async_test() -> None:
        async with open_site(processes=1) as site:
            process = site.processes[0]
            await site.async_wait(lambda: site.owner_of("portal") is not None)
            site.platform.faults.store_silent = True
            await site.async_wait(process.store.is_silent)
            with trio.fail_after(1):
                answer = await site.http.request(
                    "POST",
                    f"http://{process.callers.address}/q/{JOB}",
                    headers=[("host", HOST), ("content-type", "application/json")],
                    content=SUBMISSION,
                )
            assert answer.status == 503
            assert (b"retry-after", b"2") in answer.headers
            assert b"store_away" in answer.content
            site.platform.faults.store_silent = False
            await site.async_wait(lambda: not process.store.is_silent())
            assert await site.async_submit(process, NEXT_JOB, "work 10", STEP) == 200
            assert await site.async_state(process, JOB) == "410"

    trio.run(async_test)
