"""Stores records of callers together, so that a slow store needs fewer appends."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio
from result import Err, Result

from heatherkeel.ownership.const import JOBS_TOPIC
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient

from .batches import split_batches

_NOT_STORED: Result[None, CallError] = Err(
    CallError(failure=Failure.UNKNOWN, detail="the append hasn't ended")
)


@dataclass(kw_only=True, slots=True, eq=False)
class Submission:
    """A record, and the result of its append once that has ended."""

    record: KeyedRecord
    ended: trio.Event = field(default_factory=trio.Event)
    result: Result[None, CallError] = _NOT_STORED


def _size_of(submission: Submission) -> int:
    return len(submission.record.value)


class SubmissionBatches:
    """Appends the records that have arrived while the append before them was in flight.

    A partition handles one append at a time. If each process appends each record by itself, a
    store that takes 200 ms for an append accepts five jobs a second for a partition, and refuses
    or never answers the others of a demand peak.
    """

    def __init__(self, *, store: StoreClient, partition: int) -> None:
        self.store = store
        self.partition = partition
        self.waiting: list[Submission] = []
        self.arrived = trio.Event()

    async def async_store(self, record: KeyedRecord) -> Result[None, CallError]:
        """Store a record; after a cancellation it may still be stored."""
        submission = Submission(record=record)
        self.waiting.append(submission)
        self.arrived.set()
        await submission.ended.wait()
        return submission.result

    async def async_run(self) -> None:
        """Append until cancelled; submissions in progress then end without a known result."""
        waiting: list[Submission] = []
        try:
            while True:
                await self.arrived.wait()
                self.arrived = trio.Event()
                waiting, self.waiting = self.waiting, []
                for batch in split_batches(waiting, size_of=_size_of):
                    await self._async_append(batch)
        finally:
            for submission in [*waiting, *self.waiting]:
                submission.ended.set()

    async def _async_append(self, batch: list[Submission]) -> None:
        result = await self.store.async_append(
            JOBS_TOPIC, self.partition, [submission.record for submission in batch]
        )
        if len(batch) > 1 and isinstance(result, Err) and result.err_value.is_final():
            # One of them will never be taken, and must not refuse the others.
            for submission in batch:
                await self._async_append([submission])
            return
        for submission in batch:
            submission.result = result
            submission.ended.set()
