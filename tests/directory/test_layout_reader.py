"""How a process learns which partitions run a service's jobs."""

from __future__ import annotations

import trio
import trio.testing
from result import Err, Ok, Result

from heatherkeel.directory.directory import Directory
from heatherkeel.directory.layout_reader import LayoutReader, find_layout
from heatherkeel.ownership.const import LAYOUT_KEY
from heatherkeel.ownership.partitions import Layout
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.operator import Service
from heatherkeel.platform.store import StoreClient
from heatherkeel.platform.store_answers import NewestRecords

LAYOUT = Layout(shares={"desk": (0, 1)})
LARGER = Layout(shares={"desk": (0, 1), "portal": (2,)})


def record(value: bytes, *, offset: int = 0) -> KeyedRecord:
    """Return a record of a layout."""
    return KeyedRecord(key=LAYOUT_KEY, value=value, offset=offset)


class FakeStore(StoreClient):
    """A store with a layout, or without an answer."""

    def __init__(self, stored: list[KeyedRecord] | None) -> None:
        self.stored = stored
        self.asked = 0

    async def async_read_all_newest(
        self, topic: str, partition: int
    ) -> Result[NewestRecords, CallError]:
        """Read what is stored."""
        self.asked += 1
        if self.stored is None:
            return Err(CallError(failure=Failure.REFUSED, status=503))
        return Ok(NewestRecords(end=1, records=self.stored, has_more=False))


def learn(store: FakeStore, *, services: list[str], known: Layout, told: Layout | None) -> Layout:
    """Let a process look once; returns what it knows then."""
    directory = Directory(store=store)
    directory.state.services = {name: Service(name=name) for name in services}
    directory.state.layout = known

    async def async_ask_peers() -> Layout | None:
        return told

    reader = LayoutReader(
        store=store, partitions=4, directory=directory, async_ask_peers=async_ask_peers
    )

    async def async_run() -> None:
        with trio.move_on_after(0.05):
            await reader.async_run()

    trio.run(async_run)
    return directory.state.layout


def test_layout_is_read_once_and_not_again_while_it_names_every_service() -> None:
    store = FakeStore([record(LAYOUT.encode())])
    assert learn(store, services=["desk"], known=Layout(), told=None) == LAYOUT
    assert store.asked == 1
    learn(store, services=["desk"], known=LAYOUT, told=None)
    assert store.asked == 1


def test_others_are_asked_where_the_store_cannot_be_read() -> None:
    store = FakeStore(None)
    assert learn(store, services=["desk"], known=Layout(), told=LAYOUT) == LAYOUT


def test_older_layout_takes_nothing_back() -> None:
    """A peer that hasn't heard of the newest service answers while the store is down.

    Taking its word, the process would refuse jobs of a service that it had served before.
    """
    services = ["desk", "portal", "newest"]
    store = FakeStore(None)
    assert learn(store, services=services, known=LARGER, told=LAYOUT) == LARGER


def test_of_a_key_that_comes_twice_the_last_record_counts() -> None:
    """Pages of the store aren't a snapshot: the layout grew while they were read."""
    records = [record(LARGER.encode(), offset=9), record(LAYOUT.encode(), offset=4)]
    assert find_layout(records) == LARGER


def test_layout_that_cannot_be_read_is_none_and_not_an_empty_one() -> None:
    assert find_layout([]) == Layout()
    assert find_layout([record(b"{")]) is None


def test_layout_is_read_when_a_service_is_new_and_not_otherwise() -> None:
    """A service is configured while a process runs, and laid out a moment later.

    The process reads until it knows the layout, since it refuses the service's jobs until then;
    after that it waits for the next change and asks for nothing.
    """
    store = FakeStore([record(LAYOUT.encode())])
    directory = Directory(store=store)
    directory.state.services = {"desk": Service(name="desk")}

    async def async_ask_peers() -> Layout | None:
        return None

    reader = LayoutReader(
        store=store, partitions=4, directory=directory, async_ask_peers=async_ask_peers
    )

    async def async_run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reader.async_run)
            await trio.sleep(5)
            assert store.asked == 1 and directory.state.layout == LAYOUT
            directory.state.services["portal"] = Service(name="portal")
            directory.operator.take([])
            await trio.sleep(1)
            store.stored = [record(LARGER.encode(), offset=1)]
            await trio.sleep(1)
            assert directory.state.layout == LARGER
            asked = store.asked
            await trio.sleep(5)
            assert store.asked == asked
            nursery.cancel_scope.cancel()

    trio.run(async_run, clock=trio.testing.MockClock(autojump_threshold=0))
