"""Submissions while the store is slow, loses answers or refuses: what each caller is told."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, cast

import trio
import trio.testing
from result import Err, Ok, Result

from heatherkeel.gateway.const import MAX_GROUP_BYTES, UNSENT_WAIT_S
from heatherkeel.gateway.submissions import Submissions
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.patience import Patience
from heatherkeel.platform.store import StoreClient

Outcome = Result[None, CallError]
REFUSED = CallError(failure=Failure.REFUSED, status=503)


class SlowStore:
    """A store of which each partition takes one append after the other."""

    def __init__(self, *, append_s: float) -> None:
        self.append_s = append_s
        self.write_patience = Patience(shortest_s=0.3, longest_s=3.5, usual_s=append_s)
        self.appends: list[list[str]] = []
        self.lost: set[int] = set()
        """Which appends are done and never answered, by number."""
        self.refuses = False
        self.partition = trio.Lock()

    async def async_append(
        self, topic: str, partition: int, records: list[KeyedRecord], *, longest_s: float
    ) -> Outcome:
        """Take records as one append."""
        number = len(self.appends)
        self.appends.append([record.key for record in records])
        if self.refuses:
            return Err(REFUSED)
        with trio.move_on_after(min(longest_s, self.write_patience.timeout_s())):
            async with self.partition:
                await trio.sleep(self.append_s)
            if number in self.lost:
                await trio.sleep_forever()
            return Ok(None)
        return Err(CallError(failure=Failure.UNKNOWN))


def record(number: int, *, size: int = 10) -> KeyedRecord:
    return KeyedRecord(key=f"job/{number}", value=b"x" * size)


def play(
    scenario: Callable[[Submissions, trio.Nursery], Awaitable[None]], store: SlowStore
) -> None:
    """Run a scenario whose sleeps take no time."""

    async def async_main() -> None:
        submissions = Submissions(store=cast(StoreClient, store))
        async with trio.open_nursery() as nursery:
            submissions.start(nursery)
            await scenario(submissions, nursery)
            nursery.cancel_scope.cancel()

    trio.run(async_main, clock=trio.testing.MockClock(autojump_threshold=0))


def submit(
    submissions: Submissions, number: int, told: dict[int, Any], *, longest_s: float = 2.5
) -> Callable[[], Awaitable[None]]:
    async def async_submit() -> None:
        told[number] = await submissions.async_store(0, record(number), longest_s=longest_s)

    return async_submit


def test_what_waits_behind_an_append_is_stored_with_the_next() -> None:
    # The store takes 120 ms for an append, sixty times as long as usual. Thirty callers come
    # within that time. One by one the last would be told after 3.6 s, when its time was up; all
    # are told yes after two appends.
    store = SlowStore(append_s=0.12)
    told: dict[int, Outcome] = {}

    async def scenario(submissions: Submissions, nursery: trio.Nursery) -> None:
        for number in range(30):
            nursery.start_soon(submit(submissions, number, told))
            await trio.sleep(0.003)
        await trio.sleep(0.25)
        assert len(told) == 30 and all(isinstance(outcome, Ok) for outcome in told.values())

    play(scenario, store)
    assert len(store.appends) == 2


def test_fast_store_is_sent_each_record_at_once() -> None:
    store = SlowStore(append_s=0.005)
    told: dict[int, Outcome] = {}

    async def scenario(submissions: Submissions, nursery: trio.Nursery) -> None:
        for number in range(5):
            nursery.start_soon(submit(submissions, number, told))
            await trio.sleep(0.01)

    play(scenario, store)
    assert [len(keys) for keys in store.appends] == [1] * 5


def test_lost_answer_holds_up_nobody_behind_it() -> None:
    # The first append is done and its answer lost. The next caller's record leaves when that
    # answer is overdue, long before it is given up.
    store = SlowStore(append_s=0.005)
    store.lost = {0}
    told: dict[int, Outcome] = {}

    async def scenario(submissions: Submissions, nursery: trio.Nursery) -> None:
        nursery.start_soon(submit(submissions, 0, told))
        await trio.sleep(0.001)
        nursery.start_soon(submit(submissions, 1, told))
        await trio.sleep(0.06)
        assert isinstance(told[1], Ok) and 0 not in told
        await trio.sleep(0.5)
        assert told[0].unwrap_err().failure is Failure.UNKNOWN

    play(scenario, store)


def test_refused_append_is_a_no_for_each_of_its_records() -> None:
    # The store refuses an append that holds three records. All three callers are told that their
    # jobs won't run, which is true: an append is done whole or not at all.
    store = SlowStore(append_s=0.02)
    told: dict[int, Outcome] = {}

    async def scenario(submissions: Submissions, nursery: trio.Nursery) -> None:
        nursery.start_soon(submit(submissions, 0, told))
        await trio.sleep(0.001)
        for number in (1, 2, 3):
            nursery.start_soon(submit(submissions, number, told))
        await trio.sleep(0.001)
        store.refuses = True
        await trio.sleep(0.1)
        assert isinstance(told[0], Ok)
        assert [told[number].unwrap_err().failure for number in (1, 2, 3)] == [Failure.REFUSED] * 3

    play(scenario, store)


def test_submission_that_waits_too_long_is_refused_and_never_sent() -> None:
    # The append before it takes seconds. A caller is told no while it has time to ask another
    # process, and its record must not leave afterwards: "no" would be a lie.
    store = SlowStore(append_s=2.0)
    told: dict[int, Outcome] = {}

    async def scenario(submissions: Submissions, nursery: trio.Nursery) -> None:
        nursery.start_soon(submit(submissions, 0, told))
        await trio.sleep(0.001)
        nursery.start_soon(submit(submissions, 1, told))
        await trio.sleep(UNSENT_WAIT_S + 0.01)
        assert told[1].unwrap_err().failure is Failure.REFUSED
        await trio.sleep(5)

    play(scenario, store)
    assert store.appends == [["job/0"]]


def test_caller_that_leaves_before_its_record_is_sent_takes_it_along() -> None:
    store = SlowStore(append_s=0.2)
    told: dict[int, Outcome] = {}

    async def scenario(submissions: Submissions, nursery: trio.Nursery) -> None:
        nursery.start_soon(submit(submissions, 0, told))
        await trio.sleep(0.001)
        with trio.move_on_after(0.05):
            await submissions.async_store(0, record(1), longest_s=2.5)
        await trio.sleep(1)

    play(scenario, store)
    assert store.appends == [["job/0"]]


def test_large_records_go_in_several_appends() -> None:
    store = SlowStore(append_s=0.05)
    done: list[Outcome] = []

    async def scenario(submissions: Submissions, nursery: trio.Nursery) -> None:
        async def async_submit(number: int) -> None:
            large = record(number, size=MAX_GROUP_BYTES // 2 - 100)
            done.append(await submissions.async_store(0, large, longest_s=2.5))

        for number in range(5):
            nursery.start_soon(async_submit, number)
        await trio.sleep(1)

    play(scenario, store)
    assert [len(keys) for keys in store.appends] == [1, 2, 2] and len(done) == 5
