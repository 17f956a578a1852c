"""The directory follows the operator's and the workers' records."""

from __future__ import annotations

from base64 import b64encode

import msgspec
import pytest
import trio
from result import Ok

from heatherkeel.directory.coverage import Reading
from heatherkeel.directory.directory import Directory
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.ownership.const import KEEP_REMOVED_MS
from heatherkeel.ownership.partitions import Layout
from heatherkeel.ownership.queue_homes import HomePages
from heatherkeel.platform.caller import Reply
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient
from tests.instance.site import QUEUE, open_site
from tests.platform.entries import ENTRY


def make_directory() -> Directory:
    """Return a directory that isn't started."""
    return Directory(store=StoreClient(address="127.0.0.1:1"))


def configuration(version: int, *names: str) -> KeyedRecord:
    """Return the record of a configuration with these queues."""
    queues = [QUEUE | {"name": name, "pathPrefix": f"/{name}/"} for name in names]
    value = msgspec.json.encode({"version": version, "routes": queues, "services": []})
    return KeyedRecord(key="config", value=value)


def test_older_configuration_is_ignored() -> None:
    """A stale replica or a late answer must not revert a configuration that callers have seen."""
    directory = make_directory()
    directory.operator.on_records([configuration(7, "new"), configuration(5, "old")])
    assert directory.state.config is not None
    assert directory.state.config.version == 7


def test_removed_queue_is_kept_for_its_accepted_jobs() -> None:
    directory = make_directory()
    directory.operator.on_records([configuration(1, "one", "two")])
    directory.operator.on_records([configuration(2, "two")])
    assert directory.state.config is not None
    assert [queue.name for queue in directory.state.config.queues] == ["two"]
    assert set(directory.state.queues) == {"one", "two"}


def test_unreadable_configuration_leaves_the_previous_one_in_force() -> None:
    directory = make_directory()
    directory.operator.on_records([configuration(1, "one"), KeyedRecord(key="config", value=b"{")])
    assert directory.state.config is not None
    assert directory.state.config.version == 1


def worker_record(worker_id: str, **change: object) -> KeyedRecord:
    """Return the record of a worker's entry with these fields changed."""
    return KeyedRecord(key=worker_id, value=msgspec.json.encode(ENTRY | change))


def test_unchanged_heartbeats_notify_no_subscriber() -> None:
    """Guards against comparing all entries after each heartbeat, and against missing a change."""
    directory = make_directory()
    notified: list[int] = []
    directory.subscribe(lambda: notified.append(len(directory.state.workers)))
    directory.workers.on_records([worker_record("w1", sequence=1), worker_record("w2", sequence=1)])
    directory.workers.on_records([worker_record("w1", sequence=2), worker_record("w2", sequence=2)])
    assert notified == [2]
    directory.workers.on_records([worker_record("w1", sequence=3, state="draining")])
    directory.workers.on_records([KeyedRecord(key="w2", value=b"")])
    assert notified == [2, 2, 1]


def test_workers_missing_after_a_full_read_notify_subscribers() -> None:
    """A deletion in forgotten history has no record; subscribers must be notified all the same."""
    directory = make_directory()
    directory.workers.on_records([worker_record("w1"), worker_record("w2")])
    notified: list[int] = []
    directory.subscribe(lambda: notified.append(len(directory.state.workers)))
    directory.workers.on_keys({"w1"})
    directory.workers.on_records([worker_record("w1")])
    assert notified == [1]


def test_unreadable_entry_drops_only_its_worker(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against using an outdated entry, and against logging its error with each heartbeat."""
    directory = make_directory()
    known = directory.state.workers
    directory.workers.on_records([worker_record("w1"), worker_record("w2")])
    for _ in range(3):
        directory.workers.on_records([worker_record("w1", state="resting")])
    assert set(known) == {"w2"}
    logged = [row for row in caplog.records if getattr(row, "event", "") == "worker_unreadable"]
    assert len(logged) == 1
    directory.workers.on_records([KeyedRecord(key="w1", value=b"\xff{")])
    assert set(known) == {"w2"}
    directory.workers.on_records([worker_record("w1")])
    assert set(known) == {"w1", "w2"}


def test_unreadable_record_in_a_page_hides_no_other() -> None:
    """Records with malformed keys or values must not make the whole page of entries unreadable."""
    answer = msgspec.json.encode(
        {
            "items": [
                {"key": "w1", "value": b64encode(worker_record("w1").value).decode(), "offset": 3},
                {"key": "w2", "value": "%%%", "offset": 4},
                {"key": 5, "value": "", "offset": 5},
                {"key": "w3", "value": b64encode(b"{").decode(), "offset": 6},
            ],
            "hasMore": False,
            "endKey": 7,
        }
    )

    async def async_test() -> None:
        directory = make_directory()
        store = directory.workers.store

        async def async_call(*_: object, **__: object) -> Ok[Reply]:
            return Ok(Reply(status=200, body=answer))

        store.reads.async_call = async_call  # type: ignore[method-assign]
        read = await store.async_read_all_newest("keyed.servers", 0)
        assert isinstance(read, Ok)
        directory.workers.on_records(read.ok_value.records)
        assert set(directory.state.workers) == {"w1"}

    trio.run(async_test)


def test_workers_deleted_in_forgotten_history_are_dropped() -> None:
    """Workers whose deletion is in dropped history must not stay in the directory for good."""

    async def async_test() -> None:
        async with open_site(processes=1, machines=2) as site:
            process = site.processes[0]
            workers = process.directory.state.workers
            await site.async_wait(lambda: len(workers) == 2)
            machine = site.platform.machines["m0"]
            assert machine.worker is not None
            gone = machine.worker.id
            site.platform.faults.store_refuses = True
            await site.platform.async_end_worker(machine)
            newest = site.platform.log.newest("keyed.servers", 0)
            await site.async_wait(lambda: gone not in site.platform.log.newest("keyed.servers", 0))
            assert gone in newest
            site.platform.log.forget("keyed.servers", 0)
            site.platform.faults.store_refuses = False
            await site.async_wait(lambda: gone not in workers)

    trio.run(async_test)


def test_process_that_names_absurd_versions_keeps_no_other_from_serving() -> None:
    """Guards against refusing every request for as long as a faulty process names versions."""
    directory = make_directory()
    directory.apply_peer_records([configuration(7)], Reading(known_end=1, log_end=1, seen_ms=0))
    refused = 0
    for number in range(50):
        directory.record_named_version(10**9 + number)
        refused += directory.state.is_config_superseded()
        # The read that each new version causes finds nothing newer.
        directory.state.operator_records.confirm(end=1, as_of_ms=directory.state.named_ms + 1)
        assert not directory.state.is_config_superseded()
    assert refused == 1


def test_home_of_a_queue_that_returns_is_read_again() -> None:
    """Guards against a home that was dropped and set anew meanwhile, so that two owners accept."""
    directory = make_directory()
    directory.operator.on_records([configuration(1, "quotes", "books")])
    quotes, books = directory.state.queues["quotes"], directory.state.queues["books"]
    pages = HomePages()
    pages.extend([quotes, books], Layout(shares={quotes.service: (0,)}))
    homes = pages.merge()
    directory.apply_queue_homes(homes)
    directory.state.operator_records.confirm(end=1, as_of_ms=monotonic_ms())
    directory.operator.on_records([configuration(2, "books")])
    directory.operator.on_records([configuration(3, "quotes", "books")])
    assert directory.state.find_home(quotes) is None
    assert directory.state.find_home(books) == books.service
    directory.apply_queue_homes(homes)
    assert directory.state.find_home(quotes) == quotes.service


def test_homes_are_read_again_after_versions_may_have_been_missed_for_long() -> None:
    """Guards against a home that was dropped and set anew while this process was cut off."""
    directory = make_directory()
    directory.operator.on_records([configuration(1, "quotes")])
    quotes = directory.state.queues["quotes"]
    layout = Layout(shares={quotes.service: (0,)})
    pages = HomePages()
    pages.extend([quotes], layout)
    directory.apply_queue_homes(pages.merge())
    directory.state.operator_records.as_of_ms = monotonic_ms() - KEEP_REMOVED_MS
    directory.operator.on_records([configuration(2, "quotes")])
    assert directory.state.find_home(quotes) is None
