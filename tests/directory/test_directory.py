"""What operators and workers have written, as one process follows it."""

from __future__ import annotations

import msgspec
import trio

from heatherkeel.directory.directory import Directory
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient
from tests.instance.site import QUEUE, open_site


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
