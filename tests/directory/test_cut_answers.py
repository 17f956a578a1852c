"""Tests of answers that the store cuts at their size."""

from __future__ import annotations

from dataclasses import replace
from typing import cast

import trio
from result import Ok, Result

from heatherkeel.directory.directory import Directory
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.platform.errors import CallError
from heatherkeel.platform.store import StoreClient
from heatherkeel.platform.store_answers import NewestRecords, ReadRecords
from heatherkeel.platform.transfer import Transfer

from .test_directory import configuration


class CuttingStore:
    """Holds a number of versions, and answers with one record at a time."""

    def __init__(self, *, versions: int) -> None:
        self.versions = versions
        self.waited = trio.Event()

    def read(self, start: int) -> ReadRecords:
        """Return the first of the records from an offset on."""
        records = [
            replace(configuration(offset + 1, "quotes"), offset=offset)
            for offset in range(start, self.versions)
        ]
        return ReadRecords(start=start, end=self.versions, records=records[:1])

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
        """Answer at once, and never when there is nothing more."""
        if start >= self.versions:
            self.waited.set()
            await trio.sleep_forever()
        return Ok(self.read(start))

    async def async_read_all_newest(
        self, topic: str, partition: int, *, transfer: Transfer | None = None
    ) -> Result[NewestRecords, CallError]:
        """Answer with the newest version alone."""
        newest = self.read(self.versions - 1)
        return Ok(NewestRecords(end=self.versions, records=newest.records, has_more=False))

    async def async_read_at_once(
        self,
        topic: str,
        partition: int,
        *,
        start: int,
        max_kb: int | None = None,
        transfer: Transfer | None = None,
    ) -> Result[ReadRecords, CallError]:
        """Answer at once."""
        return Ok(self.read(start))


def make_outdated_directory(store: CuttingStore) -> Directory:
    """Return a directory that knows version 1, which is older than the bound."""
    directory = Directory(store=cast(StoreClient, store))
    state = directory.state
    directory.operator.on_records([configuration(1, "quotes")])
    directory.operator.next_offset = 1
    state.operator_records.confirm(end=1, as_of_ms=monotonic_ms() - 2 * state.apply_ms)
    return directory


def test_cut_answer_does_not_make_the_configuration_recent() -> None:
    """Guards against denying a queue by version 2 of 5, taken for the newest."""

    async def async_test() -> None:
        directory = make_outdated_directory(CuttingStore(versions=5))
        await directory.reads.async_check()
        assert directory.state.config_version() == 2
        assert not directory.state.is_config_recent()

    trio.run(async_test)


def test_read_that_waits_confirms_nothing_by_a_cut_answer() -> None:
    """Guards against a follower that vouches for each of the versions that it catches up with."""

    async def async_test() -> None:
        store = CuttingStore(versions=5)
        directory = make_outdated_directory(store)
        recent: list[int] = []

        def record() -> None:
            if directory.state.is_config_recent():
                recent.append(directory.state.config_version())

        directory.subscribe(record)
        async with trio.open_nursery() as nursery:
            directory.start(nursery)
            await store.waited.wait()
            nursery.cancel_scope.cancel()
        assert directory.state.config_version() == 5
        assert directory.state.is_config_recent()
        assert set(recent) <= {5}

    trio.run(async_test)
