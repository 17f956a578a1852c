"""Bounds of what all processes do while the store refuses them, without a network."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import pytest
import trio
import trio.testing
from result import Ok

from heatherkeel.directory import const as directory_const
from heatherkeel.directory import follower
from heatherkeel.dispatch import journal
from heatherkeel.helpers import clock
from heatherkeel.instance.process import InstanceProcess
from heatherkeel.ownership.const import HOLDERS_MIN_AGE_MS, RETRY_INTERVAL_MS
from heatherkeel.ownership.partition_ownership import OwnershipChange
from heatherkeel.ownership.partitions import Layout
from heatherkeel.platform.caller import HttpCaller, Reply
from heatherkeel.platform.settings import InstanceSettings, Limits, ListenAddresses, StoreSettings
from heatherkeel.questions.messages import Answer, Question, RelayQuestion, SlowQuestion
from heatherkeel.relay.const import FORWARD_PAUSE_S

PROCESSES = 6
PARTITIONS_EACH = 2
OUTAGE_S = 30
LOOPS = 4 + PARTITIONS_EACH
"""Loops of a process that call the store: the membership, two topics, the list, the journals."""
CALLERS_PAUSE_S = 0.02
"""Time between lookups of owners on behalf of callers, in seconds."""
CALL_S = 0.002
"""Time in which the store refuses a call, in seconds."""


class Storm:
    """Processes that have just started, own partitions, and reach only each other."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        """Calls to the store, by the last part of their path."""
        self.questions = 0
        self.processes = [self._make_process(number) for number in range(PROCESSES)]
        self.by_address = {process.links.address: process for process in self.processes}

    def _make_process(self, number: int) -> InstanceProcess:
        ip = f"10.0.0.{number + 1}"
        settings = InstanceSettings(
            instance=f"edge-{number}",
            ip=ip,
            zone="a",
            internal_ports=(7000, 7000),
            seeds=[f"10.0.0.{seed}:8000" for seed in (1, 2, 3)],
            listen=ListenAddresses(callers=f"{ip}:80", readiness=f"{ip}:81"),
            limits=Limits(core_share=2.0),
            store=StoreSettings(address="10.9.9.9:80", partitions=PROCESSES * PARTITIONS_EACH + 1),
        )
        process = InstanceProcess(settings=settings)
        process.links.async_ask = self.async_ask  # type: ignore[method-assign]
        return process

    async def async_ask(
        self, address: str, question: Question, *, timeout_s: float = 0.5
    ) -> Answer | None:
        """Ask another process without a network."""
        self.questions += 1
        await trio.sleep(CALL_S)
        asked = self.by_address[address]
        if isinstance(question, SlowQuestion):
            assert isinstance(question, RelayQuestion)
            with trio.move_on_after(timeout_s):
                return await asked._async_answer_slow(question)
            return None
        return asked._answer(question)

    async def async_refuse(self, caller: HttpCaller, target: str) -> Any:
        """Refuse a call as a busy store does."""
        self.calls[target.partition("?")[0].rpartition("/")[2]] += 1
        await trio.sleep(CALL_S)
        return Ok(Reply(status=503, body=b""))

    async def async_run(self) -> None:
        """Let all processes restore their partitions while the store refuses them."""
        async with trio.open_nursery() as nursery:
            for number, process in enumerate(self.processes):
                process.nursery = nursery
                process.directory.start(nursery)
                nursery.start_soon(process.peer_sync.async_run)
                nursery.start_soon(process.layouts.async_run)
                nursery.start_soon(process.reserve.async_run)
                process.member.start(nursery)
                nursery.start_soon(process.isolation.async_run)
                nursery.start_soon(self._async_look_up, process)
                await self._async_own(process, number * PARTITIONS_EACH)
            await trio.sleep(OUTAGE_S)
            nursery.cancel_scope.cancel()

    async def _async_look_up(self, process: InstanceProcess) -> None:
        """Look up owners, as each caller's request does."""
        while True:
            await process.holders.async_find(0)
            await trio.sleep(CALLERS_PAUSE_S)

    async def _async_own(self, process: InstanceProcess, first: int) -> None:
        partitions = range(first, first + PARTITIONS_EACH)
        process.directory.state.layout = Layout(shares={"portal": tuple(partitions)})
        # Else owners would wait for the configuration before they call the store.
        process.directory.operator.caught_up.set()
        process.directory.workers.caught_up.set()
        gained = dict.fromkeys(partitions, 5)
        await process._async_handle_change(OwnershipChange(gained=gained, lost=frozenset()))


@pytest.fixture(name="storm")
def fixture_storm(monkeypatch: pytest.MonkeyPatch) -> Iterator[Storm]:
    """Return the processes, with a store that refuses and the event loop's clock."""
    fake_time = SimpleNamespace(
        clock_gettime_ns=lambda kind: round((1000 + trio.current_time()) * 1e9),
        time_ns=lambda: round((1e9 + trio.current_time()) * 1e9),
    )
    storms: list[Storm] = []

    async def async_call(caller: HttpCaller, method: str, target: str, **options: Any) -> Any:
        return await storms[0].async_refuse(caller, target)

    monkeypatch.setattr(HttpCaller, "async_call", async_call)

    async def async_test() -> None:
        monkeypatch.setattr(clock, "time", fake_time)
        storms.append(Storm())
        await storms[0].async_run()

    trio.run(async_test, clock=trio.testing.MockClock(autojump_threshold=0))
    yield storms[0]
    for process in storms[0].processes:
        process.links.context.destroy(linger=0)


def test_calls_of_owners_that_restart_without_the_store_are_bounded(storm: Storm) -> None:
    """Guards against processes that use up their cores, and load the store, in an outage.

    Each process renews, follows two topics, reads the list of owners and opens its partitions'
    journals; each of these has one call in flight and its own pause after a failure. A failed call
    is forwarded through a peer at most once per loop and pause. No process calls more because
    there are more processes or more callers.
    """
    renewals = 1000 / RETRY_INTERVAL_MS
    followed = 2 / follower.RETRY_PAUSE_S
    lists = 1000 / HOLDERS_MIN_AGE_MS
    journals = PARTITIONS_EACH / journal.RETRY_PAUSE_S
    forwarded = LOOPS / FORWARD_PAUSE_S
    bound_per_s = renewals + followed + lists + journals + forwarded
    assert sum(storm.calls.values()) <= bound_per_s * OUTAGE_S * PROCESSES
    assert storm.calls.keys() == {"log-join", "log-newest", "log-append", "log-owners"}


def test_questions_to_peers_in_an_outage_are_bounded(storm: Storm) -> None:
    """Guards against processes that ask each other without end for what none of them knows."""
    rounds = 1 / directory_const.MAX_ROUND_PAUSE_S
    forwarded = LOOPS / FORWARD_PAUSE_S
    greetings = 1 / directory_const.GREETING_INTERVAL_S
    bound_per_s = rounds * directory_const.PEERS_PER_ROUND + forwarded + greetings
    first_rounds = (directory_const.MAX_DOUBLINGS + 1) * directory_const.PEERS_PER_ROUND
    assert storm.questions <= (bound_per_s * OUTAGE_S + first_rounds) * PROCESSES


def test_log_lines_in_an_outage_are_few(storm: Storm, caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a line for each failed call: an outage has a begin and an end."""
    events = Counter(str(vars(record).get("event")) for record in caplog.get_records("setup"))
    assert sum(events.values()) <= 12 * PROCESSES, events


@pytest.fixture(autouse=True)
def fixture_log_level(caplog: pytest.LogCaptureFixture) -> None:
    """Capture all lines."""
    caplog.set_level(logging.INFO)
