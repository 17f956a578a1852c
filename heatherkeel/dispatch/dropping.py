"""Deletion of the stored requests of ended jobs."""

from __future__ import annotations

import trio
from result import Err

from heatherkeel.ownership.const import JOBS_TOPIC
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient

from .batches import measure_record, split_batches
from .records import CANCEL_PREFIX, REQUEST_PREFIX, make_caller_key


class RequestDropper:
    """Deletes stored requests in batches, once a second."""

    def __init__(self, *, store: StoreClient, partition: int) -> None:
        self.store = store
        self.partition = partition
        self.dropped: dict[str, KeyedRecord] = {}
        self.drop_wanted = trio.Event()

    def drop(self, job_id: str, workspace: str) -> None:
        """Queue the records that the caller of an ended job sent for deletion."""
        for prefix in (REQUEST_PREFIX, CANCEL_PREFIX):
            self.drop_record(make_caller_key(prefix, job_id, workspace))

    def drop_record(self, key: str) -> None:
        """Queue one record for deletion."""
        self.dropped[key] = KeyedRecord(key=key, value=b"")
        self.drop_wanted.set()

    async def async_run(self) -> None:
        """Append the queued deletions once a second; failed ones are retried."""
        while True:
            await self.drop_wanted.wait()
            await trio.sleep(1.0)
            self.drop_wanted = trio.Event()
            records, self.dropped = list(self.dropped.values()), {}
            for batch in split_batches(records, size_of=measure_record):
                await self._async_drop(batch)

    async def _async_drop(self, records: list[KeyedRecord]) -> None:
        appended = await self.store.async_append(JOBS_TOPIC, self.partition, records)
        if isinstance(appended, Err):
            self.dropped = {record.key: record for record in records} | self.dropped
            self.drop_wanted.set()
