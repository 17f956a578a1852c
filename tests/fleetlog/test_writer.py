"""Tests for the log writer: each author gets a correct result when appends fail."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, Final

import httpcore
import pytest
import trio
from result import Err, Ok, Result

import heatherkeel.subjects  # noqa: F401
from heatherkeel.core.models import Duplicate, LogRecord, Settled
from heatherkeel.core.reducer import fold
from heatherkeel.core.state import FleetState
from heatherkeel.fleetlog import client as client_module
from heatherkeel.fleetlog.errors import PlatformFailure
from heatherkeel.fleetlog.log_clock import LogClock
from heatherkeel.fleetlog.models import Appended
from heatherkeel.fleetlog.writer import MAX_PENDING_RECORDS, LogWriter, WriteFailure
from heatherkeel.membership.models import EntryJoin

from .fake import LOST_ANSWER, FakeClient, run

Outcome = Result[Settled, WriteFailure]
STREAM: Final = "fleet"


def body(number: int = 1, *, address: str = "") -> EntryJoin:
    name = f"e-{number}"
    return EntryJoin(instance=name, incarnation="1", zone="a", peer_address=address, lease_ms=1_000)


class Author:
    """A writer with its own fold of the log."""

    def __init__(self) -> None:
        self.client = FakeClient()
        self.clock = LogClock()
        self.clock.update(self.client.platform.now_ms())
        self.writer = LogWriter(
            client=self.client, stream=STREAM, author="e-1", clock=self.clock, interval_ms=1
        )
        self.state = FleetState()
        self.outcomes: dict[int, Outcome] = {}

    def read(self) -> None:
        """Fold all new records of the log."""
        for stored in self.client.platform.read(STREAM, self.state.next_offset, 512).records:
            record = LogRecord(offset=stored.offset, at_ms=stored.at_ms, data=stored.data)
            for effect in fold(self.state, record):
                if isinstance(effect, Settled):
                    self.writer.settle(effect)
                if isinstance(effect, Duplicate) and hasattr(self.writer, "hear_duplicate"):
                    self.writer.hear_duplicate(effect)
        self.clock.update(self.client.platform.now_ms())

    async def follow(self) -> None:
        while True:
            self.read()
            await trio.sleep(0.01)

    async def write(self, number: int = 1, **options: Any) -> Outcome:
        address = options.pop("address", "")
        outcome = await self.writer.async_write(
            body(number, address=address), timeout_s=options.pop("timeout_s", 5.0), **options
        )
        self.outcomes[number] = outcome
        return outcome

    def stored(self) -> int:
        return len(self.client.platform.read(STREAM, 0, 512).records)


def scenario(
    test: Callable[[Author, trio.Nursery], Coroutine[Any, Any, None]],
) -> Callable[[], None]:
    """Run a test with a running writer; its fold reads only on request."""

    def run_scenario() -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                author = Author()
                author.writer.start(nursery)
                await test(author, nursery)
                nursery.cancel_scope.cancel()

        run(main)

    run_scenario.__name__ = test.__name__
    run_scenario.__doc__ = test.__doc__
    return run_scenario


@scenario
async def test_record_read_back_before_its_lost_answer_is_settled(
    author: Author, _: trio.Nursery
) -> None:
    # The record is read back before its append fails with a lost answer. The author must get the
    # decision, not "unknown".
    async def read() -> None:
        author.read()

    author.client.on_append = read
    author.client.plan = [LOST_ANSWER]
    assert isinstance(await author.write(), Ok)


@scenario
async def test_lost_answer_is_never_reported_as_not_appended(
    author: Author, nursery: trio.Nursery
) -> None:
    # The first append takes effect without an answer and the retry gets no connection. The record
    # is in the log, so "not appended" would be wrong.
    author.client.plan = [LOST_ANSWER, PlatformFailure.NOT_SENT, PlatformFailure.REFUSED]
    outcome = await author.write(timeout_s=0.5)
    assert outcome == Err(WriteFailure.UNKNOWN) and author.stored() >= 1
    author.client.plan = []
    author.read()
    nursery.start_soon(author.follow)
    assert isinstance(await author.write(2), Ok)


@scenario
async def test_rejected_record_does_not_fail_its_batch(
    author: Author, nursery: trio.Nursery
) -> None:
    # The platform rejects one record of a batch, for example for its size. The others must still
    # be appended, and later batches too.
    nursery.start_soon(author.follow)
    author.client.invalid_data = b"never"
    async with trio.open_nursery() as writes:
        for number in range(5):
            address = "never" if number == 0 else ""
            writes.start_soon(lambda n=number, a=address: author.write(n, address=a))  # type: ignore[misc]
    assert author.outcomes[0] == Err(WriteFailure.NOT_APPENDED)
    assert all(isinstance(author.outcomes[number], Ok) for number in range(1, 5))


@scenario
async def test_rejected_record_that_may_be_appended_does_not_block_others(
    author: Author, nursery: trio.Nursery
) -> None:
    # A record gets no answer first and is rejected as invalid later. It stays "unknown" and must
    # not block the records behind it.
    author.client.plan = [PlatformFailure.UNKNOWN]
    nursery.start_soon(lambda: author.write(0, address="never"))
    await trio.sleep(0.05)
    author.client.invalid_data = b"never"
    author.read()
    nursery.start_soon(author.follow)
    await trio.sleep(0.01)
    assert isinstance(await author.write(1), Ok)
    assert author.outcomes[0] == Err(WriteFailure.UNKNOWN)


@scenario
async def test_records_of_cancelled_authors_are_removed(
    author: Author, nursery: trio.Nursery
) -> None:
    # Records of cancelled authors must not fill the queue, or the writer stays overloaded.
    with trio.move_on_after(0.1):
        async with trio.open_nursery() as writes:
            for number in range(MAX_PENDING_RECORDS):
                writes.start_soon(author.write, number)
    nursery.start_soon(author.follow)
    assert isinstance(await author.write(1), Ok)


@scenario
async def test_authors_of_the_same_record_get_the_same_result(
    author: Author, nursery: trio.Nursery
) -> None:
    # A repeated request writes a record with the same id while the first one is pending. Neither
    # may be left waiting.
    nursery.start_soon(author.follow)
    async with trio.open_nursery() as writes:
        writes.start_soon(lambda: author.write(1, record_id="same"))
        writes.start_soon(lambda: author.write(1, record_id="same"))
    assert isinstance(author.outcomes[1], Ok) and author.stored() == 1


@scenario
async def test_record_decided_before_is_unknown_immediately(
    author: Author, nursery: trio.Nursery
) -> None:
    # A record whose id was decided before a restart won't be settled again, so its author must
    # not wait for the whole timeout.
    nursery.start_soon(author.follow)
    assert isinstance(await author.write(1, record_id="same"), Ok)
    started = trio.current_time()
    assert await author.write(2, record_id="same", timeout_s=50) == Err(WriteFailure.UNKNOWN)
    assert trio.current_time() - started < 50


@scenario
async def test_writes_are_refused_while_platform_is_unresponsive(
    author: Author, nursery: trio.Nursery
) -> None:
    # While the platform is unresponsive, writes must fail immediately as not appended, and
    # succeed again once it responds.
    author.client.plan = [PlatformFailure.UNKNOWN] * 2
    await author.write(1, timeout_s=0.05)
    started = trio.current_time()
    assert await author.write(2) == Err(WriteFailure.NOT_APPENDED)
    assert trio.current_time() == started
    nursery.start_soon(author.follow)
    await trio.sleep(2)
    assert isinstance(await author.write(3), Ok)
    assert author.outcomes[2] == Err(WriteFailure.NOT_APPENDED)


@scenario
async def test_nothing_is_sealed_before_log_time_is_known(author: Author, _: trio.Nursery) -> None:
    # Without a log time, a record would be sealed at 0 and be expired when it is appended.
    author.writer.clock = LogClock()
    assert await author.write(1) == Err(WriteFailure.NOT_APPENDED)
    assert author.stored() == 0


@scenario
async def test_batch_size_is_limited_in_bytes(author: Author, nursery: trio.Nursery) -> None:
    # An append of many large records would time out repeatedly.
    nursery.start_soon(author.follow)
    async with trio.open_nursery() as writes:
        for number in range(20):
            writes.start_soon(lambda n=number: author.write(n, address="x" * 200_000))  # type: ignore[misc]
    assert all(isinstance(outcome, Ok) for outcome in author.outcomes.values())
    assert max(sum(map(len, batch)) for batch in author.client.batches) <= 1024 * 1024


def test_clock_follows_constant_log_time(monkeypatch: pytest.MonkeyPatch) -> None:
    # While the log's time is constant, a rising estimate would give records a lifetime that is
    # rejected.
    now = [1_000]
    monkeypatch.setattr("heatherkeel.fleetlog.log_clock.monotonic_ms", lambda: now[0])
    clock = LogClock()
    clock.update(5_000_000)
    for _ in range(60):
        now[0] += 60_000
        clock.update(5_000_000)
    assert clock.now_ms() == 5_000_000
    clock.update(4_000_000)
    assert clock.now_ms() == 5_000_000


@pytest.mark.parametrize(
    ("status", "failure"),
    [
        (503, PlatformFailure.REFUSED),
        (429, PlatformFailure.REFUSED),
        (500, PlatformFailure.UNKNOWN),
        (502, PlatformFailure.UNKNOWN),
        (504, PlatformFailure.UNKNOWN),
        (408, PlatformFailure.UNKNOWN),
        (413, PlatformFailure.INVALID),
        (410, PlatformFailure.UNKNOWN),
    ],
)
def test_error_status_maps_to_failure(status: int, failure: PlatformFailure) -> None:
    # A gateway may answer 504 after the append was stored, so that isn't a refusal.
    response = httpcore.Response(status, content=b"<html>")
    response.read()
    decoded = client_module._decode(response, Appended)
    assert isinstance(decoded, Err) and decoded.err_value.failure is failure
