"""Stores callers' records in the partitions that run their jobs."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

import trio
from result import Err, Ok, Result

from heatherkeel.ownership.const import JOBS_TOPIC
from heatherkeel.platform.errors import CallError
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient

from .batches import split_batches
from .events import ForwardedJobForgotten, ForwardRecord, ForwardRefused, RecordForwarded
from .models import ForwardedJob
from .ports import OwnerPort

_LOGGER = logging.getLogger(__name__)

RETRY_PAUSE_S: Final = 0.25
"""Pause after an append that failed or wasn't answered, in seconds."""
CHECK_INTERVAL_S: Final = 2.0
"""Interval between rounds of questions whether forwarded jobs are still known, in seconds."""
CHECK_AGAIN_MS: Final = 10_000
"""Time after which a job is asked about again, in milliseconds."""
SETTLED_AFTER_MS: Final = 10_000
"""Time in which an owner surely reads what is stored in its partition, in milliseconds."""
MAX_CHECKS: Final = 32
"""Number of jobs that one round asks about."""

AsyncIsForgotten = Callable[[int, str], Awaitable[bool]]
"""Returns whether a partition surely doesn't know a job any more."""


async def async_is_never_forgotten(partition: int, job_id: str) -> bool:
    """Return that the job may be known, where nobody can be asked."""
    return False


def is_settled(job: ForwardedJob, now_ms: int) -> bool:
    """Return whether the owner of the partition that runs a job surely has read its request."""
    return job.settled_ms is not None and now_ms - job.settled_ms >= SETTLED_AFTER_MS


def _size_of(effect: ForwardRecord) -> int:
    return len(effect.value)


class RecordForwarder:
    """Appends records to other partitions, each partition's in order, until they are stored.

    The records of a job stay in order, since its cancellation means nothing to an owner that
    doesn't know the job.
    """

    def __init__(
        self, *, owner: OwnerPort, store: StoreClient, async_is_forgotten: AsyncIsForgotten
    ) -> None:
        self.owner = owner
        self.store = store
        self.async_is_forgotten = async_is_forgotten
        self.waiting: dict[int, list[ForwardRecord]] = {}
        """Records by partition; a partition with an entry has a task that appends them."""
        self.nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Start to forward, also what has been passed to `forward` before."""
        self.nursery = nursery
        for partition in self.waiting:
            nursery.start_soon(self._async_append_waiting, partition)
        nursery.start_soon(self._async_check)

    def forward(self, effect: ForwardRecord) -> None:
        """Forward a record, after those that were passed before for the same partition."""
        waiting = self.waiting.get(effect.partition)
        if waiting is not None:
            waiting.append(effect)
            return
        self.waiting[effect.partition] = [effect]
        if self.nursery is not None:
            self.nursery.start_soon(self._async_append_waiting, effect.partition)

    def close(self) -> None:
        """Start no more tasks; what isn't stored is forwarded by the next owner."""
        self.nursery = None

    async def _async_append_waiting(self, partition: int) -> None:
        while self.waiting[partition]:
            waiting, self.waiting[partition] = self.waiting[partition], []
            for batch in split_batches(waiting, size_of=_size_of):
                await self._async_append(partition, batch)
        del self.waiting[partition]

    async def _async_append(self, partition: int, batch: list[ForwardRecord]) -> None:
        records = [KeyedRecord(key=effect.key, value=effect.value) for effect in batch]
        appended = await self.store.async_append(JOBS_TOPIC, partition, records)
        if await self._async_is_refused(partition, appended):
            await self._async_append_apart(partition, batch)
            return
        if isinstance(appended, Err):
            _LOGGER.warning(
                "forwarded records can't be stored yet",
                extra={
                    "event": "forward_waits",
                    "partition": partition,
                    "records": len(records),
                    "detail": appended.err_value.detail,
                },
            )
        while isinstance(appended, Err):
            await trio.sleep(RETRY_PAUSE_S)
            appended = await self.store.async_append(JOBS_TOPIC, partition, records)
            if await self._async_is_refused(partition, appended):
                await self._async_append_apart(partition, batch)
                return
        now_ms, wall_ms = self.owner.times()
        for effect in batch:
            self.owner.handle_event(
                RecordForwarded(
                    now_ms=now_ms, wall_ms=wall_ms, job_id=effect.job_id, key=effect.key
                )
            )

    async def _async_is_refused(self, partition: int, appended: Result[None, CallError]) -> bool:
        """Return whether the store will never take these records, though it takes others."""
        if not isinstance(appended, Err) or not appended.err_value.is_final():
            return False
        return isinstance(await self.store.async_append(JOBS_TOPIC, partition, []), Ok)

    async def _async_append_apart(self, partition: int, batch: list[ForwardRecord]) -> None:
        """Append each record by itself, as one of them isn't taken; its job fails."""
        if len(batch) > 1:
            for effect in batch:
                await self._async_append(partition, [effect])
            return
        (effect,) = batch
        _LOGGER.error(
            "the store takes this record never; its job fails",
            extra={
                "event": "forward_refused",
                "partition": partition,
                "job": effect.job_id,
                "bytes": len(effect.value),
            },
        )
        now_ms, wall_ms = self.owner.times()
        refused = ForwardRefused(now_ms=now_ms, wall_ms=wall_ms, job_id=effect.job_id)
        self.owner.handle_event(refused)

    async def _async_check(self) -> None:
        """Forget the jobs that the partitions which ran them have forgotten."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            for job in self._list_due(self.owner.state.forwarded.values()):
                job.checked_ms, _ = self.owner.times()
                if await self.async_is_forgotten(job.partition, job.id):
                    now_ms, wall_ms = self.owner.times()
                    self.owner.handle_event(
                        ForwardedJobForgotten(now_ms=now_ms, wall_ms=wall_ms, job_id=job.id)
                    )

    def _list_due(self, jobs: Iterable[ForwardedJob]) -> list[ForwardedJob]:
        now_ms, _ = self.owner.times()
        due = [
            job
            for job in jobs
            if is_settled(job, now_ms) and now_ms - job.checked_ms >= CHECK_AGAIN_MS
        ]
        return sorted(due, key=lambda job: job.checked_ms)[:MAX_CHECKS]
