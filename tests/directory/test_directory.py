"""What operators and workers have written, as one process follows it."""

from __future__ import annotations

from base64 import b64encode

import msgspec
import pytest
import trio
from result import Ok

from heatherkeel.directory.directory import Directory
from heatherkeel.platform.caller import Reply
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient
from tests.instance.site import QUEUE, open_site
from tests.platform.entries import ENTRY


def make_directory() -> Directory:
    """Return a directory that reads nothing by itself."""
    return Directory(store=StoreClient(address="127.0.0.1:1"))


def configuration(version: int, *names: str) -> KeyedRecord:
    """Return the record of a configuration with some queues."""
    queues = [QUEUE | {"name": name} for name in names]
    value = msgspec.json.encode({"version": version, "routes": queues, "services": []})
    return KeyedRecord(key="config", value=value)


def test_older_configuration_is_not_taken_back() -> None:
    """A store that reads behind, or a late answer, tells an older version after a newer one.

    Taken, callers would see what they have already seen go: a queue that is there is refused.
    """
    directory = make_directory()
    directory.operator.take([configuration(7, "new"), configuration(5, "old")])
    assert directory.state.config is not None
    assert directory.state.config.version == 7


def test_queue_that_was_removed_is_still_known_for_the_jobs_that_it_took() -> None:
    directory = make_directory()
    directory.operator.take([configuration(1, "one", "two")])
    directory.operator.take([configuration(2, "two")])
    assert directory.state.config is not None
    assert [queue.name for queue in directory.state.config.queues] == ["two"]
    assert set(directory.state.queues) == {"one", "two"}


def test_record_that_cannot_be_read_leaves_the_last_one_in_force() -> None:
    directory = make_directory()
    directory.operator.take([configuration(1, "one"), KeyedRecord(key="config", value=b"{")])
    assert directory.state.config is not None
    assert directory.state.config.version == 1


def worker_record(worker_id: str, **change: object) -> KeyedRecord:
    """Return the record of a worker's entry, as the worker writes it but for a change."""
    return KeyedRecord(key=worker_id, value=msgspec.json.encode(ENTRY | change))


def test_heartbeats_that_say_the_same_again_are_told_to_nobody() -> None:
    """Three hundred workers write two hundred times a second, nearly always what they said before.

    Told of each reading, every owner would compare all entries with all its workers four times a
    second. What is new is told: a worker that comes, drains, or goes.
    """
    directory = make_directory()
    told: list[int] = []
    directory.subscribe(lambda: told.append(len(directory.state.workers)))
    directory.workers.take([worker_record("w1", sequence=1), worker_record("w2", sequence=1)])
    directory.workers.take([worker_record("w1", sequence=2), worker_record("w2", sequence=2)])
    assert told == [2]
    directory.workers.take([worker_record("w1", sequence=3, state="draining")])
    directory.workers.take([KeyedRecord(key="w2", value=b"")])
    assert told == [2, 2, 1]


def test_workers_that_are_gone_when_all_are_read_anew_are_told() -> None:
    """The history was forgotten while a worker's entry was dropped; no record tells of that."""
    directory = make_directory()
    directory.workers.take([worker_record("w1"), worker_record("w2")])
    told: list[int] = []
    directory.subscribe(lambda: told.append(len(directory.state.workers)))
    directory.workers.keep_only({"w1"})
    directory.workers.take([worker_record("w1")])
    assert told == [1]


def test_entry_that_cannot_be_read_takes_its_worker_out_and_no_other(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Another writer puts something under a worker's key, again and again; another worker stays.

    The older entry holds no longer, so nothing is sent to it. When the worker has written again,
    it is used again. The log tells of it once, not with each heartbeat.
    """
    directory = make_directory()
    known = directory.state.workers
    directory.workers.take([worker_record("w1"), worker_record("w2")])
    for _ in range(3):
        directory.workers.take([worker_record("w1", state="resting")])
    assert set(known) == {"w2"}
    told = [row for row in caplog.records if getattr(row, "event", "") == "worker_unreadable"]
    assert len(told) == 1
    directory.workers.take([KeyedRecord(key="w1", value=b"\xff{")])
    assert set(known) == {"w2"}
    directory.workers.take([worker_record("w1")])
    assert set(known) == {"w1", "w2"}


def test_unreadable_entry_among_the_newest_records_hides_no_other() -> None:
    """The history is forgotten, and the newest records hold entries by another writer.

    One has a value that is no base64, one a key that is a number: read as one document they would
    cost the whole page, and all workers with it, for as long as they stand.
    """
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
        directory.workers.take(read.ok_value.records)
        assert set(directory.state.workers) == {"w1"}

    trio.run(async_test)


def test_workers_that_went_while_the_history_was_forgotten_are_dropped() -> None:
    """The store forgets its history, and with it the records that say which workers went.

    Read on from there, they would stay for good. The newest records are read anew, and what
    isn't among them is gone.
    """

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
