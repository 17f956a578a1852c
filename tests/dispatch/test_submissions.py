"""A demand peak of submissions beside a store that takes long for each append."""

from __future__ import annotations

from typing import Any

import trio
from result import Err, Ok, Result

from heatherkeel.dispatch.batches import split_batches
from heatherkeel.dispatch.const import MAX_APPEND_BYTES
from heatherkeel.dispatch.submissions import SubmissionBatches
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient

APPEND_S = 0.05
JOBS = 60
LONGEST_S = 20.0


class SlowStore(StoreClient):
    """A store that takes some time for each append, and may refuse it."""

    def __init__(self, *, error: CallError | None = None) -> None:
        self.error = error
        self.appends: list[int] = []

    async def async_append(self, *args: Any, **_: Any) -> Result[None, CallError]:
        """Append the records, or fail."""
        self.appends.append(len(args[2]))
        await trio.sleep(APPEND_S)
        return Err(self.error) if self.error is not None else Ok(None)


def submit_all(
    store: SlowStore, *, stop_after_s: float = 10.0, value: bytes = b"{}"
) -> list[Result[None, CallError]]:
    """Submit many jobs at once, and stop the owner after some time; returns the results."""
    results: list[Result[None, CallError]] = []

    async def async_submit(batches: SubmissionBatches, number: int) -> None:
        record = KeyedRecord(key=f"j{number}", value=value)
        results.append(await batches.async_store(record))

    async def async_run_owner(batches: SubmissionBatches, scope: trio.CancelScope) -> None:
        with scope:
            await batches.async_run()

    async def async_test() -> None:
        batches = SubmissionBatches(store=store, partition=0)
        scope = trio.CancelScope()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(async_run_owner, batches, scope)
            async with trio.open_nursery() as submitters:
                for number in range(JOBS):
                    submitters.start_soon(async_submit, batches, number)
                with trio.move_on_after(stop_after_s):
                    while len(results) < JOBS:
                        await trio.sleep(APPEND_S / 5)
                scope.cancel()

    async def async_test_in_time() -> None:
        with trio.fail_after(LONGEST_S):
            await async_test()

    trio.run(async_test_in_time)
    return results


def test_submissions_that_arrive_together_need_a_few_appends() -> None:
    """Guards against one append for each job, of which a slow partition handles few in time."""
    store = SlowStore()
    results = submit_all(store)
    assert len(results) == JOBS and all(isinstance(result, Ok) for result in results)
    assert sum(store.appends) == JOBS
    assert len(store.appends) <= 3


def test_refusal_reaches_every_caller_of_the_batch() -> None:
    """Guards against jobs that are reported as accepted and were not stored."""
    results = submit_all(SlowStore(error=CallError(failure=Failure.REFUSED, status=503)))
    failures = {result.err_value.failure for result in results if isinstance(result, Err)}
    assert len(results) == JOBS and failures == {Failure.REFUSED}


def test_owner_that_stops_leaves_no_caller_waiting() -> None:
    """Guards against callers that an owner which has gone holds to their deadline."""
    results = submit_all(SlowStore(), stop_after_s=APPEND_S / 3)
    failures = {result.err_value.failure for result in results if isinstance(result, Err)}
    assert len(results) == JOBS and failures == {Failure.UNKNOWN}


def test_owner_that_stops_between_batches_leaves_no_caller_waiting() -> None:
    """Guards against callers whose batch is not the one in flight when the owner stops."""
    value = b"x" * (MAX_APPEND_BYTES // 2)
    assert len(submit_all(SlowStore(), stop_after_s=APPEND_S / 3, value=value)) == JOBS


def test_batches_stay_below_the_stores_limit() -> None:
    record = KeyedRecord(key="j", value=b"x" * (MAX_APPEND_BYTES // 3))
    batches = list(split_batches([record] * 7, size_of=lambda record: len(record.value)))
    assert [len(batch) for batch in batches] == [3, 3, 1]
