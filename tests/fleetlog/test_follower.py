"""The follower folds exactly the log, or says that it can't."""

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
            take=self.records.append,
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


def test_an_offset_out_of_retention_is_never_skipped() -> None:
    # The log dropped records that were not read. Going on from its oldest one would lose
    # accepted edits; the follower asks for a newer state, again and again, and takes nothing.
    async def scenario() -> None:
        reader = Reader()
        reader.client.platform.faults.retain_records = 2
        reader.append(b"a", b"b", b"c")
        await reader.run_for(10)
        assert reader.rebuilds > 1 and reader.records == []
        assert reader.follower.out_of_retention and not reader.follower.caught_up.is_set()

    run(scenario)


def test_a_log_that_lost_its_end_is_not_taken_for_the_same_log() -> None:
    # The store comes back from a crash without its last records and gives their offsets to
    # others. This process has folded the lost ones: its state is no longer the log's, and it
    # must stop rather than decide otherwise than all other readers.
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


def test_a_lagging_copy_of_the_log_is_waited_for() -> None:
    # A read is answered by a copy that lags. Nothing is taken twice, and when the copy has come
    # up the follower goes on.
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


def test_a_platform_that_answers_empty_at_once_is_not_asked_without_pause() -> None:
    # Something between us and the platform answers long polls at once. Without a pause each
    # process would ask thousands of times a second.
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


def test_a_relayed_record_that_the_log_dropped_does_not_stop_the_follower() -> None:
    # A peer relayed records during a cut. When the log answers again, it no longer keeps the
    # last of them, but still has the next one. Nothing is lost, so the follower goes on.
    async def scenario() -> None:
        reader = Reader()
        reader.append(b"a", b"b")
        relayed = reader.client.platform.read(STREAM, 0, 2).records
        for stored in relayed:
            record = LogRecord(offset=stored.offset, at_ms=stored.at_ms, data=stored.data)
            reader.records.append(record)
            reader.follower.note_folded(record)
        reader.client.platform.faults.retain_records = 1
        reader.append(b"c")
        await reader.run_for(5)
        assert reader.data() == [b"a", b"b", b"c"] and reader.rebuilds == 0

    run(scenario)


def test_after_an_outage_processes_do_not_come_back_together() -> None:
    # The platform is down for a minute, and 50 processes wait for it. Their tries must not fall
    # into the same moment again and again, nor come more often than every second or so.
    async def scenario() -> None:
        starts: list[float] = []
        for _ in range(50):
            reader = Reader()
            pauses = [reader.follower.backoff.next_s() for _ in range(20)]
            assert sum(pauses[5:]) >= 15
            starts.append(sum(pauses))
        assert max(starts) - min(starts) > 1 and len(set(starts)) == 50

    run(scenario)


def test_an_answer_that_was_overtaken_by_a_relayed_record_is_not_folded_twice() -> None:
    # While a read is on its way a peer relays the same record. Folded twice, it would be a gap
    # in the offsets, and the process would stop.
    async def scenario() -> None:
        reader = Reader()
        reader.append(b"a", b"b")
        relayed = reader.client.platform.read(STREAM, 0, 1).records[0]
        record = LogRecord(offset=0, at_ms=relayed.at_ms, data=relayed.data)
        answer: ReadAnswer = reader.client.platform.read(STREAM, 0, 512)
        reader.records.append(record)
        reader.follower.note_folded(record)
        await reader.follower._async_take_all(answer)
        assert reader.data() == [b"a", b"b"] and not reader.follower.in_doubt

    run(scenario)
