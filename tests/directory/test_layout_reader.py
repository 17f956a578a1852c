"""A process learns from the store or its peers which partitions run a service's jobs."""

from __future__ import annotations

from dataclasses import replace

import trio
import trio.testing
from result import Err, Ok, Result

from heatherkeel.directory.directory import Directory
from heatherkeel.directory.layout_reader import LayoutReader
from heatherkeel.directory.stored_layout import find_layout, find_queue_homes, make_homes_key
from heatherkeel.ownership.const import (
    HOMES_RETRY_S,
    LAYOUT_KEY,
    LAYOUT_RETRY_S,
    QUEUE_HOMES_KEY,
    QUICK_READS,
)
from heatherkeel.ownership.partitions import Layout
from heatherkeel.ownership.queue_homes import HomePages, QueueHomes
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.operator import Configuration, Queue, Service
from heatherkeel.platform.store import StoreClient
from heatherkeel.platform.store_answers import NewestRecords, ReadRecords
from heatherkeel.platform.transfer import Transfer
from heatherkeel.questions.messages import LayoutAnswer

LAYOUT = Layout(shares={"desk": (0, 1)})
LARGER = Layout(shares={"desk": (0, 1), "portal": (2,)})
HOMES = KeyedRecord(key=QUEUE_HOMES_KEY, value=QueueHomes(revision=1).encode(), offset=0)


def record(value: bytes, *, offset: int = 0) -> KeyedRecord:
    """Return a record of a layout."""
    return KeyedRecord(key=LAYOUT_KEY, value=value, offset=offset)


class FakeStore(StoreClient):
    """A store with these records; refuses reads if `stored` is None."""

    def __init__(self, stored: list[KeyedRecord] | None) -> None:
        self.stored = stored
        self.asked = 0
        self.sent = 0
        """Number of records in all answers."""

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
        """Return the records behind those that the last answer had."""
        self.asked += 1
        if self.stored is None:
            return Err(CallError(failure=Failure.REFUSED, status=503))
        records = [record for record in self.stored if record.offset >= start]
        self.sent += len(records)
        return Ok(ReadRecords(start=start, end=start + len(records), records=records))

    async def async_read_all_newest(
        self, topic: str, partition: int, *, transfer: Transfer | None = None
    ) -> Result[NewestRecords, CallError]:
        """Return the stored records."""
        self.asked += 1
        if self.stored is None:
            return Err(CallError(failure=Failure.REFUSED, status=503))
        self.sent += len(self.stored)
        end = max((record.offset + 1 for record in self.stored), default=0)
        return Ok(NewestRecords(end=end, records=self.stored, has_more=False))


def run_reader(
    store: FakeStore, *, services: list[str], known: Layout, peers_layout: Layout | None
) -> Layout:
    """Run a reader for one read; return the layout that is known then."""
    directory = Directory(store=store)
    directory.state.services = {name: Service(name=name) for name in services}
    directory.state.layout = known

    async def async_ask_peers() -> LayoutAnswer | None:
        return LayoutAnswer(layout=peers_layout) if peers_layout is not None else None

    reader = LayoutReader(
        store=store, partitions=4, directory=directory, async_ask_peers=async_ask_peers
    )

    async def async_run() -> None:
        with trio.move_on_after(0.05):
            await reader.async_run()

    trio.run(async_run)
    return directory.state.layout


def test_layout_is_read_once_while_it_names_every_service() -> None:
    store = FakeStore([record(LAYOUT.encode())])
    assert run_reader(store, services=["desk"], known=Layout(), peers_layout=None) == LAYOUT
    assert store.asked == 1
    run_reader(store, services=["desk"], known=LAYOUT, peers_layout=None)
    assert store.asked == 1


def test_peers_are_asked_if_the_store_cannot_be_read() -> None:
    store = FakeStore(None)
    assert run_reader(store, services=["desk"], known=Layout(), peers_layout=LAYOUT) == LAYOUT


def test_older_layout_is_ignored() -> None:
    """With a peer's outdated layout the process would refuse jobs of services it has served."""
    services = ["desk", "portal", "newest"]
    store = FakeStore(None)
    assert run_reader(store, services=services, known=LARGER, peers_layout=LAYOUT) == LARGER


def test_last_record_of_a_repeated_key_counts() -> None:
    """Pages of the store are no snapshot: the layout may be extended while they are read."""
    records = [record(LARGER.encode(), offset=9), record(LAYOUT.encode(), offset=4)]
    assert find_layout(records) == LARGER


def test_unreadable_layout_is_none_and_not_empty() -> None:
    assert find_layout([]) == Layout()
    assert find_layout([record(b"{")]) is None


def test_layout_is_read_only_while_a_new_service_is_missing() -> None:
    """Guards against giving up before a new service is laid out, and against reading on after."""
    store = FakeStore([record(LAYOUT.encode()), HOMES])
    directory = Directory(store=store)
    directory.state.services = {"desk": Service(name="desk")}

    async def async_ask_peers() -> LayoutAnswer | None:
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
            directory.operator.on_records([])
            await trio.sleep(1)
            store.stored = [record(LARGER.encode(), offset=1), HOMES]
            await trio.sleep(1)
            assert directory.state.layout == LARGER
            asked = store.asked
            await trio.sleep(5)
            assert store.asked == asked
            nursery.cancel_scope.cancel()

    trio.run(async_run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_home_that_is_not_stored_is_read_less_often_after_a_while() -> None:
    """Guards against a load of reads by all processes while the fleet has no owner."""
    homes = QueueHomes(revision=1)
    record_of_homes = KeyedRecord(key=QUEUE_HOMES_KEY, value=homes.encode(), offset=0)
    store = FakeStore([record(LAYOUT.encode()), record_of_homes])
    directory = Directory(store=store)
    directory.state.layout, directory.state.queue_homes = LAYOUT, homes
    queue = Queue(name="quotes", host="a.example", path_prefix="/q/", service="desk")
    directory.state.config = Configuration(version=1, queues=[queue])

    async def async_ask_peers() -> LayoutAnswer | None:
        return None

    reader = LayoutReader(
        store=store, partitions=4, directory=directory, async_ask_peers=async_ask_peers
    )

    async def async_run() -> None:
        with trio.move_on_after(QUICK_READS * LAYOUT_RETRY_S + 5 * HOMES_RETRY_S):
            await reader.async_run()

    trio.run(async_run, clock=trio.testing.MockClock(autojump_threshold=0))
    assert QUICK_READS <= store.asked <= QUICK_READS + 6


def test_homes_of_all_pages_are_found() -> None:
    queues = [
        Queue(name=f"n{number}", host="a.example", path_prefix=f"/{number}/", service="desk")
        for number in range(1000)
    ]
    pages = HomePages()
    pages.extend(queues, LAYOUT)
    records = [
        KeyedRecord(key=make_homes_key(number), value=page.encode(), offset=number)
        for number, page in pages.pages.items()
    ]
    assert len(records) > 1
    assert find_queue_homes(records) == pages.merge()


def test_unreadable_page_hides_all_homes() -> None:
    """Guards against a queue that gets another home, since the page with its own can't be read."""
    pages = [HOMES, KeyedRecord(key=make_homes_key(1), value=b"{", offset=1)]
    assert find_queue_homes(pages) is None


def test_further_reads_bring_only_what_has_changed() -> None:
    """Guards against all homes, over and over again, on a small link."""
    store = FakeStore([record(LAYOUT.encode(), offset=0), replace(HOMES, offset=1)])
    directory = Directory(store=store)
    queue = Queue(name="quotes", host="a.example", path_prefix="/q/", service="desk")
    directory.state.layout, directory.state.queue_homes = LAYOUT, QueueHomes(revision=1)
    directory.state.config = Configuration(version=1, queues=[queue])

    async def async_ask_peers() -> LayoutAnswer | None:
        return None

    reader = LayoutReader(
        store=store, partitions=4, directory=directory, async_ask_peers=async_ask_peers
    )

    async def async_run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reader.async_run)
            await trio.sleep(2.0)
            assert store.asked > 3 and store.sent == 2
            pages = HomePages(pages={0: QueueHomes(revision=1)})
            pages.extend([queue], LAYOUT)
            value = pages.pages[0].encode()
            assert store.stored is not None
            store.stored.append(KeyedRecord(key=QUEUE_HOMES_KEY, value=value, offset=2))
            await trio.sleep(1.0)
            assert directory.state.find_home(queue) == "desk" and store.sent == 3
            nursery.cancel_scope.cancel()

    trio.run(async_run, clock=trio.testing.MockClock(autojump_threshold=0))
