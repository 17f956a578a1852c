"""Tests of the exchange of the operator's records between processes."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import Final

import trio
from result import Err, Ok, Result

from heatherkeel.directory.const import (
    ANSWER_TIMEOUT_S,
    DEFAULT_APPLY_MS,
    GREETING_INTERVAL_S,
    PART_BYTES,
)
from heatherkeel.directory.directory import Directory
from heatherkeel.directory.peer_sync import PeerSync
from heatherkeel.directory.peers import PeerList
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.ownership.holders import HolderCache
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.store import StoreClient
from heatherkeel.platform.store_answers import ReadRecords
from heatherkeel.platform.transfer import Transfer, begin_transfer
from heatherkeel.questions.messages import (
    Answer,
    OperatorAnswer,
    OperatorPartQuestion,
    OperatorQuestion,
)

from .test_directory import configuration

READ_TIMEOUT_S: Final = 0.05
SLOW_ANSWER_S: Final = 1.0


class SilentStore(StoreClient):
    """A store that answers nothing."""

    async def async_read_at_once(
        self,
        topic: str,
        partition: int,
        *,
        start: int,
        max_kb: int | None = None,
        transfer: Transfer | None = None,
    ) -> Result[ReadRecords, CallError]:
        """Run out of time."""
        await trio.sleep(READ_TIMEOUT_S)
        return Err(CallError(failure=Failure.UNKNOWN, detail="no answer in time"))


class SlowStore(StoreClient):
    """A store that answers late."""

    async def async_read_at_once(
        self,
        topic: str,
        partition: int,
        *,
        start: int,
        max_kb: int | None = None,
        transfer: Transfer | None = None,
    ) -> Result[ReadRecords, CallError]:
        """Answer that there is nothing new."""
        await trio.sleep(SLOW_ANSWER_S)
        return Ok(ReadRecords(start=start, end=start, records=[]))


class Process:
    """A process that the store doesn't answer, and the processes that it reaches."""

    def __init__(self, address: str, network: dict[str, Process], *reached: str) -> None:
        self.address = address
        self.network = network
        self.directory = Directory(store=SilentStore(address="127.0.0.1:1"))
        holders = HolderCache(store=self.directory.store)
        holders.addresses = dict(enumerate(reached))
        self.peers = PeerList(holders=holders, find_own=lambda: address)
        self.sync = PeerSync(
            directory=self.directory,
            peers=self.peers,
            find_own=lambda: address,
            reaches_store=lambda: False,
            async_ask=self.async_ask,
        )
        self.delay_s = 0.0
        """Delay of the answers of this process, in seconds."""
        self.asked = 0
        network[address] = self

    async def async_ask(
        self, address: str, question: OperatorQuestion | OperatorPartQuestion, timeout_s: float
    ) -> Answer | None:
        """Ask another process, which may answer late."""
        self.asked += 1
        other = self.network[address]
        answer: Answer
        if isinstance(question, OperatorPartQuestion):
            answer = other.sync.answer_part(question)
        else:
            answer = other.sync.answer(question)
        with trio.move_on_after(timeout_s):
            await trio.sleep(other.delay_s)
            return answer
        return None

    def read(self, version: int, *, age_ms: int = 0) -> None:
        """Apply what the store answered a while ago."""
        record = replace(configuration(version, f"q{version}"), offset=version)
        self.directory.operator.on_records([record])
        self.directory.state.operator_records.confirm(
            end=version + 1, as_of_ms=monotonic_ms() - age_ms
        )

    def version(self) -> int:
        """Return the version in force."""
        return self.directory.state.config_version()


async def async_run_for(seconds: float, *processes: Process) -> None:
    """Run the exchange of some processes for a while."""
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for process in processes:
                nursery.start_soon(process.sync.async_run)


def test_configuration_passes_through_processes_that_do_not_reach_the_store() -> None:
    """Guards against a process that reaches nobody but refused ones staying behind."""
    network: dict[str, Process] = {}
    first = Process("a", network)
    second, third = Process("b", network, "a"), Process("c", network, "b")
    first.read(2)
    second.read(1, age_ms=DEFAULT_APPLY_MS)
    third.read(1, age_ms=DEFAULT_APPLY_MS)
    trio.run(partial(async_run_for, 1.0, second, third))
    assert (second.version(), third.version()) == (2, 2)
    assert third.directory.state.is_config_recent()


def test_process_that_is_behind_makes_no_other_recent() -> None:
    """Guards against two refused processes taking each other's old configuration for new."""
    network: dict[str, Process] = {}
    first, second = Process("a", network, "b"), Process("b", network, "a")
    for process in (first, second):
        process.read(1, age_ms=DEFAULT_APPLY_MS)
    trio.run(partial(async_run_for, 1.0, first, second))
    assert not first.directory.state.is_config_recent()
    assert not second.directory.state.is_config_recent()


def test_age_of_a_delayed_answer_includes_its_delay() -> None:
    network: dict[str, Process] = {}
    first, second = Process("a", network), Process("b", network, "a")
    first.read(2, age_ms=300)
    first.delay_s = 0.15
    second.read(1, age_ms=DEFAULT_APPLY_MS)
    trio.run(partial(async_run_for, 0.2, second))
    assert second.version() == 2
    age_ms = second.directory.state.config_age_ms()
    assert age_ms is not None
    assert age_ms >= 449


def test_refused_process_that_knows_nobody_learns_from_a_greeting() -> None:
    """Guards against a process that restarts while the store refuses it staying alone."""
    network: dict[str, Process] = {}
    served, restarted = Process("a", network, "b"), Process("b", network)
    served.read(2)
    trio.run(partial(async_run_for, GREETING_INTERVAL_S, served, restarted))
    assert restarted.version() == 2


def test_request_after_a_freeze_waits_for_one_round() -> None:
    """Guards against 503 for requests that were sent to a process just after its freeze."""
    network: dict[str, Process] = {}
    served, frozen = Process("a", network), Process("b", network, "a")
    served.read(2)
    frozen.read(1, age_ms=DEFAULT_APPLY_MS)

    async def async_test() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(frozen.sync.async_run)
            await frozen.sync.async_wait_recent(5.0)
            nursery.cancel_scope.cancel()

    trio.run(async_test)
    assert frozen.directory.state.is_config_recent()


def test_round_lasts_until_a_slow_store_has_answered() -> None:
    """Guards against refusing requests, since others that know no more answer before the store."""
    network: dict[str, Process] = {}
    other, process = Process("a", network), Process("b", network, "a")
    for each in (other, process):
        each.read(1, age_ms=DEFAULT_APPLY_MS)
    process.directory.reads.store = SlowStore(address="127.0.0.1:1")
    trio.run(partial(async_run_for, 0.9 * SLOW_ANSWER_S, process))
    assert process.sync.fruitless_rounds == 0


def test_request_does_not_wait_for_processes_that_cannot_help() -> None:
    """Guards against delaying each request while nobody reaches the store."""
    network: dict[str, Process] = {}
    alone = Process("a", network)
    alone.read(1, age_ms=DEFAULT_APPLY_MS)

    async def async_test() -> float:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(alone.sync.async_run)
            await alone.sync.async_wait_recent(10.0)
            began_s = trio.current_time()
            await alone.sync.async_wait_recent(10.0)
            nursery.cancel_scope.cancel()
        return trio.current_time() - began_s

    assert trio.run(async_test) < 0.05


def test_unknown_version_is_requested_at_once() -> None:
    """Guards against an owner that acts on a version of which it learns only later."""
    network: dict[str, Process] = {}
    served, owner = Process("a", network), Process("b", network, "a")
    served.read(2)
    owner.read(1)
    owner.directory.record_named_version(2)
    assert owner.directory.state.is_config_superseded()
    trio.run(partial(async_run_for, 0.2, owner))
    assert owner.version() == 2
    assert not owner.directory.state.is_config_superseded()


def test_version_that_no_later_read_finds_is_not_waited_for() -> None:
    """Guards against refusing callers for good after a version that can't be decoded here."""
    process = Process("a", {})
    process.read(1)
    process.directory.record_named_version(9)
    assert process.directory.state.is_config_superseded()
    process.read(1, age_ms=-1)
    process.directory.record_named_version(9)
    assert not process.directory.state.is_config_superseded()


def test_answer_names_no_record_that_the_other_process_knows() -> None:
    process = Process("a", {})
    process.read(1)
    question = OperatorQuestion(sender="b", reaches_store=True, version=1, end=2)
    answer = process.sync.answer(question)
    assert isinstance(answer, OperatorAnswer)
    assert answer.records == []


def make_large(process: Process, version: int) -> None:
    """Let a process know a version that takes several parts."""
    names = [f"queue-{version}-{number}" for number in range(2000)]
    process.directory.operator.on_records([replace(configuration(version, *names), offset=version)])
    process.directory.state.operator_records.confirm(end=version + 1, as_of_ms=monotonic_ms())


def test_large_configuration_passes_though_all_of_it_takes_longer_than_an_answer_may() -> None:
    """Guards against processes that never learn a large version from those that have it."""
    network: dict[str, Process] = {}
    first, second = Process("a", network), Process("b", network, "a")
    make_large(first, 2)
    assert len(first.directory.state.operator_records.newest["config"].value) > PART_BYTES
    first.delay_s = 0.8 * ANSWER_TIMEOUT_S
    second.read(1, age_ms=DEFAULT_APPLY_MS)
    trio.run(partial(async_run_for, 2.0, second))
    assert second.version() == 2


def test_others_are_asked_while_a_large_answer_of_the_store_arrives() -> None:
    """Guards against waiting for the store's bytes on a small link though others have them."""
    network: dict[str, Process] = {}
    first, second = Process("a", network), Process("b", network, "a")
    first.read(1)
    second.read(1)
    first.delay_s = 0.02

    async def async_receive() -> None:
        await trio.sleep(0.1)
        # Behind the greeting, so that the next one is a second away.
        make_large(first, 2)
        transfer = begin_transfer()
        transfer.listeners.append(lambda: second.directory.reads.watch_follower(transfer))
        while True:
            transfer.record(100)
            await trio.sleep(0.01)

    async def async_test() -> None:
        with trio.move_on_after(0.5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(second.sync.async_run)
                nursery.start_soon(async_receive)

    trio.run(async_test)
    assert second.version() == 2


def test_answer_without_news_does_not_end_a_transfer_from_another_process() -> None:
    """Guards against dropping the parts of a large version, and its bytes from the store, anew."""
    network: dict[str, Process] = {}
    first, other = Process("a", network), Process("c", network)
    second = Process("b", network, "a", "c")
    for process in (first, other, second):
        process.read(1)
    first.delay_s, other.delay_s = 0.02, 0.06

    async def async_receive() -> None:
        await trio.sleep(0.2)
        make_large(first, 2)
        transfer = begin_transfer()
        transfer.listeners.append(lambda: second.directory.reads.watch_follower(transfer))
        while not second.directory.operator.reading.cancel_called:
            transfer.record(100)
            await trio.sleep(0.01)
        second.directory.reads.forget_transfer()

    async def async_test() -> None:
        with trio.move_on_after(0.5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(second.sync.async_run)
                nursery.start_soon(async_receive)

    trio.run(async_test)
    assert second.version() == 2


def test_process_of_an_earlier_release_gets_whole_values() -> None:
    """Guards against an empty configuration at processes that can't ask for parts."""
    process = Process("a", {})
    make_large(process, 2)
    question = OperatorQuestion(sender="b", reaches_store=True, version=1, end=2)
    (record,) = process.sync.answer(question).records
    assert record.value == process.directory.state.operator_records.newest["config"].value
    assert not record.size


def test_process_survives_any_number_of_fruitless_rounds() -> None:
    """Guards against a process that ends after minutes without the store and other processes."""
    alone = Process("a", {})
    alone.read(1, age_ms=DEFAULT_APPLY_MS)
    alone.sync.fruitless_rounds = 5000
    trio.run(partial(async_run_for, 0.2, alone))
    assert alone.sync.fruitless_rounds > 5000


def test_rounds_of_an_earlier_outage_do_not_count_in_the_next() -> None:
    """Guards against refusing a request at once, after a freeze, for an outage that is over."""
    process = Process("a", {})
    process.sync.fruitless_rounds = 5
    process.read(1)
    trio.run(partial(async_run_for, 0.2, process))
    assert process.sync.fruitless_rounds == 0


def test_version_that_another_process_knows_refuses_no_caller() -> None:
    """Guards against 503 for all callers for as long as a large version is on its way."""
    process = Process("a", {})
    process.read(1)
    process.sync.answer(OperatorQuestion(sender="b", reaches_store=True, version=2, end=3))
    assert process.directory.superseded.is_set()
    assert process.directory.state.is_config_recent()
    assert process.sync._should_ask()
