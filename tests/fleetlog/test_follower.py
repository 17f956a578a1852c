"""Tests for the log follower."""

from __future__ import annotations

import pytest
import trio

from heatherkeel.core.models import LogRecord
from heatherkeel.fleetlog.follower import LogFollower, LogRewrittenError
from heatherkeel.fleetlog.log_clock import LogClock
from heatherkeel.fleetlog.models import ReadAnswer
from heatherkeel.standins.platform import PlatformStandin

from .fake import FakeClient, run

STREAM = "fleet"


class Reader:
    """A follower whose fold is a list of records."""

    def __init__(self) -> None:
        self.client = FakeClient()
        self.records: list[LogRecord] = []
        self.rebuilds = 0
        self.start_offset = 0
        self.follower = LogFollower(
            client=self.client,
            stream=STREAM,
            clock=LogClock(),
            wait_ms=1000,
            next_offset=lambda: self.start_offset + len(self.records),
            apply_record=self.records.append,
            rebuild=self.async_rebuild,
        )

    async def async_rebuild(self) -> bool:
        self.rebuilds += 1
        return False

    def append(self, *records: bytes) -> None:
        self.client.platform.append(STREAM, list(records))

    def data(self) -> list[bytes]:
        return [record.data for record in self.records]

    async def run_for(self, seconds: float) -> None:
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                self.follower.start(nursery)


def test_offset_out_of_retention_is_never_skipped() -> None:
    # Continuing from the oldest retained record would lose accepted edits; the follower must
    # request a rebuild instead.
    async def scenario() -> None:
        reader = Reader()
        reader.client.platform.faults.retain_records = 2
        reader.append(b"a", b"b", b"c")
        await reader.run_for(10)
        assert reader.rebuilds > 1 and reader.records == []
        assert reader.follower.out_of_retention and not reader.follower.caught_up.is_set()

    run(scenario)


def test_rewritten_log_stops_the_follower() -> None:
    # The log lost records that were folded here and reassigned their offsets. The process must
    # stop, because its state differs from that of other readers.
    async def scenario() -> None:
        reader = Reader()
        reader.append(b"a", b"b")
        await reader.run_for(1)
        reader.client.platform = PlatformStandin()
        reader.append(b"a")
        await reader.run_for(1)
        assert reader.data() == [b"a", b"b"]
        reader.append(b"B", b"c")
        with pytest.raises(BaseExceptionGroup) as raised:
            await reader.run_for(5)
        assert raised.group_contains(LogRewrittenError)
        assert reader.data() == [b"a", b"b"]

    run(scenario)


def test_follower_waits_for_lagging_replica() -> None:
    # Records from a lagging replica must not be folded twice; the follower continues after it
    # has caught up.
    async def scenario() -> None:
        reader = Reader()
        reader.append(b"a", b"b")
        await reader.run_for(1)
        reader.client.platform = PlatformStandin()
        reader.append(b"a")
        await reader.run_for(1)
        reader.append(b"b", b"c")
        await reader.run_for(5)
        assert reader.data() == [b"a", b"b", b"c"]

    run(scenario)


def test_empty_responses_do_not_cause_a_busy_loop() -> None:
    # An intermediary that answers long polls immediately must not cause a busy loop.
    async def scenario() -> None:
        reader = Reader()
        reads = 0
        original = reader.client.async_read

        async def count(*args: object, **kwargs: object) -> object:
            nonlocal reads
            reads += 1
            return await original(*args, **kwargs)  # type: ignore[arg-type]

        reader.client.async_read = count  # type: ignore[method-assign, assignment]
        await reader.run_for(10)
        assert 0 < reads <= 201

    run(scenario)


def test_relayed_record_out_of_retention_does_not_stop_the_follower() -> None:
    # The log no longer retains the last relayed record, but has the next one: the follower must
    # continue without a rebuild.
    async def scenario() -> None:
        reader = Reader()
        reader.append(b"a", b"b")
        relayed = reader.client.platform.read(STREAM, 0, 2).records
        for stored in relayed:
            record = LogRecord(offset=stored.offset, at_ms=stored.at_ms, data=stored.data)
            reader.records.append(record)
            reader.follower.record_relayed(record)
        reader.client.platform.faults.retain_records = 1
        reader.append(b"c")
        await reader.run_for(5)
        assert reader.data() == [b"a", b"b", b"c"] and reader.rebuilds == 0

    run(scenario)


def test_retries_after_an_outage_are_spread_out() -> None:
    # Retries of many processes after an outage must be spread out and limited in rate.
    async def scenario() -> None:
        starts: list[float] = []
        for _ in range(50):
            reader = Reader()
            pauses = [reader.follower.backoff.next_s() for _ in range(20)]
            assert sum(pauses[5:]) >= 15
            starts.append(sum(pauses))
        assert max(starts) - min(starts) > 1 and len(set(starts)) == 50

    run(scenario)


def test_relayed_record_is_not_folded_twice() -> None:
    # A record that a peer relays during a read must not be folded twice.
    async def scenario() -> None:
        reader = Reader()
        reader.append(b"a", b"b")
        relayed = reader.client.platform.read(STREAM, 0, 1).records[0]
        record = LogRecord(offset=0, at_ms=relayed.at_ms, data=relayed.data)
        answer: ReadAnswer = reader.client.platform.read(STREAM, 0, 512)
        reader.records.append(record)
        reader.follower.record_relayed(record)
        await reader.follower._async_apply_answer(answer)
        assert reader.data() == [b"a", b"b"] and not reader.follower.in_doubt

    run(scenario)
