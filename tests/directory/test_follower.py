"""Tests for reads of a topic."""

from __future__ import annotations

from typing import cast

import trio
import trio.testing
from result import Ok, Result

from heatherkeel.directory.follower import TopicFollower
from heatherkeel.platform.errors import CallError
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient
from heatherkeel.platform.store_answers import ReadRecords
from heatherkeel.platform.transfer import Transfer

WAIT_MS = 60


class DelayingStore:
    """Answers one read, late, and no other."""

    def __init__(self, records: list[KeyedRecord], *, delay_s: float) -> None:
        self.records = records
        self.delay_s = delay_s
        self.answered = False

    async def async_read(
        self,
        topic: str,
        partition: int,
        *,
        start: int,
        wait_ms: int,
        max_kb: int | None = None,
        transfer: Transfer | None = None,
    ) -> Result[ReadRecords, CallError]:
        """Answer after the delay."""
        if self.answered:
            await trio.sleep_forever()
        self.answered = True
        await trio.sleep(self.delay_s)
        return Ok(ReadRecords(start=start, end=len(self.records), records=self.records))


def make_follower(store: DelayingStore) -> TopicFollower:
    """Return a follower that passes its records to nobody."""
    return TopicFollower(
        store=cast(StoreClient, store),
        topic="keyed.op",
        partition=0,
        on_records=lambda records: None,
        on_keys=lambda keys: None,
        wait_ms=WAIT_MS,
    )


async def async_read_once(records: list[KeyedRecord], *, delay_s: float) -> int:
    """Return the age of the records after one delayed answer, in milliseconds."""
    follower = make_follower(DelayingStore(records, delay_s=delay_s))
    follower.next_offset = 0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.async_run)
        await follower.caught_up.wait()
        nursery.cancel_scope.cancel()
    age_ms = follower.coverage.age_ms()
    assert age_ms is not None
    return age_ms


@trio.testing.trio_test
async def test_age_of_records_includes_the_delay_of_their_answer() -> None:
    """An answer that arrives late must not make old records look new."""
    record = KeyedRecord(key="config", value=b"{}")
    assert await async_read_once([record], delay_s=0.2) >= 199


@trio.testing.trio_test
async def test_answer_without_records_proves_their_age_only_up_to_the_wait() -> None:
    """The store looked when the wait was over; the rest of the time may have been a delay."""
    assert 200 - WAIT_MS - 1 <= await async_read_once([], delay_s=0.2) < 190


@trio.testing.trio_test
async def test_follower_continues_once_every_suspension_has_ended() -> None:
    """Guards against a process that never reads again, or beside a transfer from another one."""
    record = KeyedRecord(key="config", value=b"{}")
    follower = make_follower(DelayingStore([record], delay_s=0.0))
    follower.next_offset = 0
    follower.suspend()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.async_run)
        await trio.testing.wait_all_tasks_blocked()
        follower.suspend()
        follower.resume()
        await trio.testing.wait_all_tasks_blocked()
        assert not follower.caught_up.is_set()
        follower.resume()
        with trio.fail_after(1.0):
            await follower.caught_up.wait()
        nursery.cancel_scope.cancel()
