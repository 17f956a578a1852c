"""Tests of lookups that coincide while a partition has no owner."""

from __future__ import annotations

import pytest
import trio
import trio.testing
from result import Err, Ok, Result

from heatherkeel.gateway.const import CACHED_MAX_AGE_MS
from heatherkeel.gateway.lookup import FoundJob, Lookup
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.store_answers import NewestRecords
from heatherkeel.platform.transfer import Transfer

from .test_lookup import FakeHolderCache, FakeLinks, FakeStore

READ_S = 0.3


class SlowStore(FakeStore):
    """A store that counts its reads, each of which takes a while."""

    def __init__(self, *, down: set[int]) -> None:
        super().__init__(down=down)
        self.read_count = 0

    async def async_read_all_newest(
        self, topic: str, partition: int, *, transfer: Transfer | None = None
    ) -> Result[NewestRecords, CallError]:
        """Read an empty partition."""
        self.read_count += 1
        await trio.sleep(READ_S)
        if partition in self.down:
            return Err(CallError(failure=Failure.REFUSED, status=503))
        return Ok(NewestRecords(end=0, records=[], has_more=False))


class Scene:
    """A process whose lookups find no owner of partition 0."""

    def __init__(self, *, down: set[int]) -> None:
        self.store = SlowStore(down=down)
        holders = FakeHolderCache(store=self.store)
        self.lookup = Lookup(store=self.store, holders=holders, links=FakeLinks({}))
        self.found: list[FoundJob | Err[str] | None] = []

    async def async_find(self) -> None:
        """Look up a job."""
        self.found.append(await self.lookup.async_find_job(0, "job"))


@pytest.fixture(autouse=True)
def fixture_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the process's clock follow that of the event loop."""
    name = "heatherkeel.gateway.lookup.monotonic_ms"
    monkeypatch.setattr(name, lambda: round(trio.current_time() * 1000))


def test_lookups_that_coincide_share_one_read(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against one read of the whole partition per caller after the loss of an owner.

    One read takes two calls: one of the requests and one of the progress.
    """

    async def async_test() -> None:
        scene = Scene(down=set())
        async with trio.open_nursery() as nursery:
            for _ in range(100):
                nursery.start_soon(scene.async_find)
        assert scene.found == [None] * 100
        assert scene.store.read_count == 2

    trio.run(async_test, clock=autojump_clock)


def test_lookups_that_coincide_share_a_failure(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against callers that wait one after the other for a store that is down."""

    async def async_test() -> None:
        scene = Scene(down={0})
        began_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(100):
                nursery.start_soon(scene.async_find)
        assert all(isinstance(found, Err) for found in scene.found)
        assert scene.store.read_count == 1
        assert trio.current_time() - began_s == pytest.approx(READ_S)

    trio.run(async_test, clock=autojump_clock)


def test_lookup_after_a_failure_reads_again(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against an outage that lasts longer for callers than for the store."""

    async def async_test() -> None:
        scene = Scene(down={0})
        await scene.async_find()
        scene.store.down.clear()
        await scene.async_find()
        assert isinstance(scene.found[0], Err)
        assert scene.found[1] is None

    trio.run(async_test, clock=autojump_clock)


def test_lookup_whose_reader_has_gone_reads_itself(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a caller that waits for a read whose own caller has given up."""

    async def async_test() -> None:
        scene = Scene(down=set())
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(READ_S / 2):
                nursery.start_soon(_async_find_later, scene)
                await scene.async_find()
        assert scene.found == [None]
        assert scene.store.read_count == 3

    trio.run(async_test, clock=autojump_clock)


async def _async_find_later(scene: Scene) -> None:
    await trio.sleep(READ_S / 4)
    await scene.async_find()


def test_shared_records_are_not_older_than_allowed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async def async_test() -> None:
        scene = Scene(down=set())
        await scene.async_find()
        await trio.sleep(CACHED_MAX_AGE_MS / 1000 - 2 * READ_S - 0.01)
        await scene.async_find()
        assert scene.store.read_count == 2
        await trio.sleep(0.02)
        await scene.async_find()
        assert scene.store.read_count == 4

    trio.run(async_test, clock=autojump_clock)
