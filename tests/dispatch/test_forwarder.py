"""Forwarded records reach the other partition in order, and are forgotten with their jobs."""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

import trio
import trio.testing
from result import Err, Ok, Result

from heatherkeel.dispatch.events import (
    Event,
    ForwardedJobForgotten,
    ForwardRecord,
    ForwardRefused,
    RecordForwarded,
    SaveJob,
)
from heatherkeel.dispatch.forwarder import SETTLED_AFTER_MS, RecordForwarder
from heatherkeel.dispatch.models import ForwardedJob, JobState
from heatherkeel.dispatch.ports import OwnerPort
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient

from .partition import JOB, OTHER_JOB, Partition


class FakeStore(StoreClient):
    """A store that refuses some appends at first, and records of some keys for ever."""

    def __init__(self, *, failing: int = 0, refused: frozenset[str] = frozenset()) -> None:
        self.failing = failing
        self.refused = refused
        self.appended: list[tuple[int, str]] = []

    async def async_append(
        self, topic: str, partition: int, records: list[KeyedRecord], *, longest_s: float = 5.0
    ) -> Result[None, CallError]:
        """Append records, all or none."""
        await trio.sleep(0.01)
        if self.failing:
            self.failing -= 1
            return Err(CallError(failure=Failure.UNKNOWN))
        if self.refused.intersection(record.key for record in records):
            return Err(CallError(failure=Failure.INVALID, status=413))
        self.appended += [(partition, record.key) for record in records]
        return Ok(None)


class FakeOwner:
    """An owner that keeps the events."""

    def __init__(self) -> None:
        self.state = Partition(workers=0).state
        self.events: list[Event] = []

    def times(self) -> tuple[int, int]:
        """Return the clocks, in milliseconds."""
        now_ms = round(trio.current_time() * 1000)
        return now_ms, now_ms

    def handle_event(self, event: Event) -> None:
        """Keep an event; forget jobs as the reducer does."""
        self.events.append(event)
        if isinstance(event, ForwardedJobForgotten):
            del self.state.forwarded[event.job_id]


def run_forwarder(
    owner: FakeOwner,
    store: FakeStore,
    prepare: Callable[[RecordForwarder], None],
    *,
    forgotten: frozenset[str] = frozenset(),
    seconds: float = 5.0,
) -> None:
    """Run a forwarder for some seconds."""

    async def async_is_forgotten(partition: int, job_id: str) -> bool:
        return job_id in forgotten

    async def async_run() -> None:
        forwarder = RecordForwarder(
            owner=cast(OwnerPort, owner), store=store, async_is_forgotten=async_is_forgotten
        )
        prepare(forwarder)
        async with trio.open_nursery() as nursery:
            forwarder.start(nursery)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    trio.run(async_run, clock=trio.testing.MockClock(autojump_threshold=0))


def make_record(key: str, *, partition: int = 1) -> ForwardRecord:
    """Return a record to forward."""
    return ForwardRecord(job_id=JOB, partition=partition, key=key, value=b"v")


def make_forwarded(job_id: str, *, settled_ms: int | None) -> ForwardedJob:
    """Return a job that another partition runs."""
    return ForwardedJob(
        id=job_id,
        queue="quotes",
        service="desk",
        workspace="",
        accepted_wall_ms=1,
        partition=1,
        settled_ms=settled_ms,
    )


def test_records_stay_in_order_when_an_append_fails() -> None:
    """Guards against a cancellation that arrives before its job, where it means nothing."""
    owner, store = FakeOwner(), FakeStore(failing=2)

    def prepare(forwarder: RecordForwarder) -> None:
        forwarder.forward(make_record("j1"))
        forwarder.forward(make_record("c1"))
        forwarder.forward(make_record("j2", partition=2))

    run_forwarder(owner, store, prepare)
    assert [key for partition, key in store.appended if partition == 1] == ["j1", "c1"]
    assert (2, "j2") in store.appended
    forwarded = [event.key for event in owner.events if isinstance(event, RecordForwarded)]
    assert sorted(forwarded) == ["c1", "j1", "j2"]


def test_only_settled_jobs_that_the_other_partition_has_forgotten_are_forgotten() -> None:
    """Guards against forgetting an accepted job before the other owner has read it."""
    owner = FakeOwner()
    owner.state.forwarded = {
        JOB: make_forwarded(JOB, settled_ms=0),
        OTHER_JOB: make_forwarded(OTHER_JOB, settled_ms=None),
    }
    both = frozenset({JOB, OTHER_JOB})
    run_forwarder(owner, FakeStore(), lambda forwarder: None, forgotten=both, seconds=9.0)
    assert set(owner.state.forwarded) == both
    seconds = 2 * SETTLED_AFTER_MS / 1000 + 5
    run_forwarder(owner, FakeStore(), lambda forwarder: None, forgotten=both, seconds=seconds)
    assert set(owner.state.forwarded) == {OTHER_JOB}


def test_job_that_is_still_known_is_kept() -> None:
    owner = FakeOwner()
    owner.state.forwarded = {JOB: make_forwarded(JOB, settled_ms=0)}
    run_forwarder(owner, FakeStore(), lambda forwarder: None, seconds=40.0)
    assert JOB in owner.state.forwarded


def test_record_that_is_never_taken_fails_its_job_and_holds_up_no_other() -> None:
    """Guards against a forwarded job whose refused record is sent for ever before all others."""
    owner, store = FakeOwner(), FakeStore(refused=frozenset({"j2"}))

    def prepare(forwarder: RecordForwarder) -> None:
        for key in ("j1", "j2", "j3"):
            forwarder.forward(make_record(key))

    run_forwarder(owner, store, prepare)
    assert store.appended == [(1, "j1"), (1, "j3")]
    kinds = [type(event) for event in owner.events]
    assert (kinds.count(RecordForwarded), kinds.count(ForwardRefused)) == (2, 1)


def test_job_that_cannot_be_forwarded_is_shown_as_failed() -> None:
    """Guards against a job that stays pending for ever where its record was refused."""
    partition = Partition(workers=0)
    partition.state.forwarded[JOB] = make_forwarded(JOB, settled_ms=None)
    effects = partition.apply(ForwardRefused(**partition.event_times(), job_id=JOB))
    assert partition.job().state is JobState.FAILED
    assert JOB not in partition.state.forwarded
    assert SaveJob(job_id=JOB) in effects
