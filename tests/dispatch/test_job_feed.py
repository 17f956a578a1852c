"""Each accepted job reaches the owner that is left, whatever happens to reads and appends."""

from __future__ import annotations

from functools import partial
from typing import Final, cast

import hypothesis.strategies as st
import trio
import trio.testing
from hypothesis import given, settings
from result import Err, Ok, Result

from heatherkeel.directory.directory import Directory
from heatherkeel.dispatch.events import Event
from heatherkeel.dispatch.job_feed import JobFeed
from heatherkeel.dispatch.models import JobState
from heatherkeel.dispatch.records import (
    CANCEL_PREFIX,
    PROGRESS_PREFIX,
    REQUEST_PREFIX,
    StoredRequest,
    encode_progress,
    encode_request,
    make_caller_key,
)
from heatherkeel.dispatch.recovery import read_records, restore_jobs
from heatherkeel.platform.callers import JobRequest
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient
from heatherkeel.platform.store_answers import NewestRecords, ReadRecords
from heatherkeel.platform.transfer import Transfer

from .partition import Partition, make_step

PAGE: Final = 1
"""Records in one page of the newest ones."""
PAGE_S: Final = 0.05
"""Time to read a page, in seconds; actions fall between two pages."""
POLL_S: Final = 0.01
SETTLED_S: Final = 5.0
"""Time after which an owner knows what is stored once all calls are answered, in seconds."""
NO_ANSWER: Final = CallError(failure=Failure.UNKNOWN)


def make_job_id(number: int) -> str:
    """Return a job's ID; later jobs don't come last in the order of keys."""
    return f"{number * 7919 % 101:016x}"


class FaultyLog:
    """A partition of the jobs' topic that fails calls, drops its history and is paged."""

    def __init__(self) -> None:
        self.records: list[KeyedRecord] = []
        self.first = 0
        """First record that is retained besides the newest of each key."""
        self.failing = 0
        """Number of calls that get no answer."""

    def append(self, key: str, value: bytes) -> None:
        """Append a record."""
        self.records.append(KeyedRecord(key=key, value=value, offset=len(self.records)))

    def newest(self) -> list[KeyedRecord]:
        """Return the newest record of each key that isn't deleted, by key."""
        by_key = {record.key: record for record in self.records}
        return [by_key[key] for key in sorted(by_key) if by_key[key].value]

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
        """Read from an offset, waiting for the first record."""
        await trio.sleep(POLL_S)
        if self._fails():
            return Err(NO_ANSWER)
        with trio.move_on_after(wait_ms / 1000):
            while start >= len(self.records):
                await trio.sleep(POLL_S)
        if start < self.first:
            return Err(CallError(failure=Failure.FORGOTTEN, number=self.first))
        return Ok(ReadRecords(start=start, end=len(self.records), records=self.records[start:]))

    async def async_read_newest(
        self,
        topic: str,
        partition: int,
        *,
        after_key: str = "",
        transfer: Transfer | None = None,
    ) -> Result[NewestRecords, CallError]:
        """Read a page of the newest records; records may be appended between two pages."""
        await trio.sleep(PAGE_S)
        if self._fails():
            return Err(NO_ANSWER)
        left = [record for record in self.newest() if record.key > after_key]
        return Ok(
            NewestRecords(end=len(self.records), records=left[:PAGE], has_more=len(left) > PAGE)
        )

    async def async_read_all_newest(
        self, topic: str, partition: int, *, transfer: Transfer | None = None
    ) -> Result[NewestRecords, CallError]:
        """Read all pages, as the client of the store does."""
        return await StoreClient.async_read_all_newest(cast(StoreClient, self), topic, partition)

    def _fails(self) -> bool:
        self.failing -= 1
        return self.failing >= 0


class FedOwners:
    """Owners of one partition, one after the other, that read the jobs of callers."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.log = FaultyLog()
        self.work: dict[str, bytes] = {}
        """Stored progress by key."""
        self.late: list[str] = []
        """Jobs whose appends weren't answered and will be carried out later."""
        self.jobs = 0
        self.ended: set[str] = set()
        self.scope = trio.CancelScope()
        self.partition = Partition(workers=0)

    def append_job(self, job_id: str) -> None:
        """Store a submission."""
        stored = StoredRequest(
            queue="quotes",
            service="portal",
            accepted_wall_ms=1000,
            request=JobRequest(spec="s", steps=(make_step(),)),
        )
        self.log.append(f"{REQUEST_PREFIX}{job_id}", encode_request(stored))

    def next_job(self) -> str:
        """Return the ID of a further job."""
        self.jobs += 1
        return make_job_id(self.jobs)

    def end_job(self, job_id: str) -> None:
        """End a job, store that and delete its records."""
        job = self.partition.state.jobs.get(job_id)
        if job is None:
            return
        self.partition.cancel(job_id)
        assert job.state is JobState.CANCELED
        self.work[f"{PROGRESS_PREFIX}{job_id}"] = encode_progress(job)
        self.ended.add(job_id)
        for prefix in (REQUEST_PREFIX, CANCEL_PREFIX):
            self.log.append(make_caller_key(prefix, job_id, ""), b"")

    def save_job(self, job_id: str) -> None:
        """Store a job's progress."""
        job = self.partition.state.find_job(job_id)
        if job is not None:
            self.work[f"{PROGRESS_PREFIX}{job_id}"] = encode_progress(job)

    def change_owner(self) -> None:
        """End the owner at any point of its reads, and let another one begin."""
        self.scope.cancel()
        self.scope = trio.CancelScope()
        self.nursery.start_soon(self._async_own, self.scope)

    async def _async_own(self, scope: trio.CancelScope) -> None:
        partition = Partition(workers=0)

        def handle_event(event: Event) -> None:
            partition.apply(event)

        store = cast(StoreClient, self.log)
        feed = JobFeed(
            store=store,
            partition=0,
            directory=Directory(store=store),
            handle_event=handle_event,
            is_dropped=lambda job_id, request: False,
        )
        with scope:
            work = [KeyedRecord(key=key, value=value) for key, value in self.work.items()]
            stored = read_records(work + await feed.async_read())
            restore_jobs(partition.state, stored)
            feed.submit(stored)
            feed.cancel(stored)
            self.partition = partition
            await feed.async_run()

    def apply(self, action: str, number: int) -> None:
        """Let something happen."""
        job_id = make_job_id(1 + number % max(1, self.jobs))
        match action:
            case "submit":
                self.append_job(self.next_job())
            case "repeat" if self.jobs:
                self.append_job(job_id)
            case "submit late":
                self.late.append(self.next_job())
            case "carry out" if self.late:
                self.append_job(self.late.pop(0))
            case "cancel" if self.jobs:
                self.log.append(f"{CANCEL_PREFIX}{job_id}", b"{}")
            case "save":
                self.save_job(job_id)
            case "end":
                self.end_job(job_id)
            case "drop history":
                self.log.first = max(self.log.first, len(self.log.records) - number % 3)
            case "fail":
                self.log.failing = number
            case "change owner":
                self.change_owner()

    def find_unknown(self) -> list[str]:
        """Return the stored jobs that the owner doesn't know."""
        stored = {
            record.key.removeprefix(REQUEST_PREFIX)
            for record in self.log.newest()
            if record.key.startswith(REQUEST_PREFIX)
        }
        return sorted(job for job in stored if self.partition.state.find_job(job) is None)


ACTIONS: Final = (
    "submit",
    "submit",
    "submit late",
    "carry out",
    "repeat",
    "cancel",
    "save",
    "end",
    "drop history",
    "fail",
    "change owner",
)


async def async_play(actions: list[tuple[str, int, float]]) -> list[str]:
    """Let actions happen at intervals; return the stored jobs that stay unknown."""
    async with trio.open_nursery() as nursery:
        owners = FedOwners(nursery)
        owners.change_owner()
        for action, number, pause_s in actions:
            owners.apply(action, number)
            await trio.sleep(pause_s)
        owners.log.failing = 0
        await trio.sleep(SETTLED_S)
        unknown = owners.find_unknown()
        nursery.cancel_scope.cancel()
    return unknown


@given(
    actions=st.lists(
        st.tuples(
            st.sampled_from(ACTIONS), st.integers(0, 9), st.sampled_from([0.0, 0.03, 0.03, 1.5])
        ),
        max_size=30,
    )
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_each_stored_job_is_known_to_the_owner(actions: list[tuple[str, int, float]]) -> None:
    """Guards against accepted jobs that never run, since their owner has missed their records."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    assert not trio.run(partial(async_play, actions), clock=clock)
