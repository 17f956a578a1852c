"""The writer tells the truth about each record, whatever happens to its append."""

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
    """One writer with its own fold of the log."""

    def __init__(self) -> None:
        self.client = FakeClient()
        self.clock = LogClock()
        self.clock.hear(self.client.platform.now_ms())
        self.writer = LogWriter(
            client=self.client, stream=STREAM, author="e-1", clock=self.clock, interval_ms=1
        )
        self.state = FleetState()
        self.outcomes: dict[int, Outcome] = {}

    def read(self) -> None:
        """Fold all records of the log that are not folded yet."""
        for stored in self.client.platform.read(STREAM, self.state.next_offset, 512).records:
            record = LogRecord(offset=stored.offset, at_ms=stored.at_ms, data=stored.data)
            for effect in fold(self.state, record):
                if isinstance(effect, Settled):
                    self.writer.settle(effect)
                if isinstance(effect, Duplicate) and hasattr(self.writer, "hear_duplicate"):
                    self.writer.hear_duplicate(effect)
        self.clock.hear(self.client.platform.now_ms())

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
    """Run a test with an author whose writer works; its fold reads only when told to."""

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
async def test_a_record_read_back_before_its_lost_answer_is_settled(
    author: Author, _: trio.Nursery
) -> None:
    # The append takes effect and the fold reads the record, all before the append's answer,
    # which is lost. The author must hear the decision, not "unknown".
    async def read() -> None:
        author.read()

    author.client.on_append = read
    author.client.plan = [LOST_ANSWER]
    assert isinstance(await author.write(), Ok)


@scenario
async def test_a_lost_answer_never_becomes_not_appended(
    author: Author, nursery: trio.Nursery
) -> None:
    # The first append takes effect and its answer is lost; the second try finds no connection.
    # The record stands in the log, so "not appended" would be a lie.
    author.client.plan = [LOST_ANSWER, PlatformFailure.NOT_SENT, PlatformFailure.REFUSED]
    outcome = await author.write(timeout_s=0.5)
    assert outcome == Err(WriteFailure.UNKNOWN) and author.stored() >= 1
    author.client.plan = []
    author.read()
    nursery.start_soon(author.follow)
    assert isinstance(await author.write(2), Ok)


@scenario
async def test_a_record_that_the_platform_never_takes_fails_alone(
    author: Author, nursery: trio.Nursery
) -> None:
    # One record of a group is refused for good by the platform (too large for it, say). The
    # others must come into the log, in order, and later groups too.
    nursery.start_soon(author.follow)
    author.client.poison = b"never"
    async with trio.open_nursery() as writes:
        for number in range(5):
            address = "never" if number == 0 else ""
            writes.start_soon(lambda n=number, a=address: author.write(n, address=a))  # type: ignore[misc]
    assert author.outcomes[0] == Err(WriteFailure.NOT_APPENDED)
    assert all(isinstance(author.outcomes[number], Ok) for number in range(1, 5))


@scenario
async def test_a_poisoned_record_that_was_perhaps_appended_blocks_nobody(
    author: Author, nursery: trio.Nursery
) -> None:
    # Its first answer is lost, from then on the platform calls it invalid. It stays "unknown";
    # the records behind it must not be refused together with it until its lifetime ends.
    author.client.plan = [PlatformFailure.UNKNOWN]
    nursery.start_soon(lambda: author.write(0, address="never"))
    await trio.sleep(0.05)
    author.client.poison = b"never"
    author.read()
    nursery.start_soon(author.follow)
    await trio.sleep(0.01)
    assert isinstance(await author.write(1), Ok)
    assert author.outcomes[0] == Err(WriteFailure.UNKNOWN)


@scenario
async def test_cancelled_authors_leave_nothing_behind(
    author: Author, nursery: trio.Nursery
) -> None:
    # Callers hang up while their records wait. What they leave must not fill the writer, or it
    # refuses everybody as overloaded for ever.
    with trio.move_on_after(0.1):
        async with trio.open_nursery() as writes:
            for number in range(MAX_PENDING_RECORDS):
                writes.start_soon(author.write, number)
    nursery.start_soon(author.follow)
    assert isinstance(await author.write(1), Ok)


@scenario
async def test_two_authors_of_one_record_hear_the_same(
    author: Author, nursery: trio.Nursery
) -> None:
    # A caller repeats its request while the first one's claim is on its way: both write a
    # record with the id of the request. Neither may be left waiting.
    nursery.start_soon(author.follow)
    async with trio.open_nursery() as writes:
        writes.start_soon(lambda: author.write(1, record_id="same"))
        writes.start_soon(lambda: author.write(1, record_id="same"))
    assert isinstance(author.outcomes[1], Ok) and author.stored() == 1


@scenario
async def test_a_record_decided_long_ago_is_unknown_at_once(
    author: Author, nursery: trio.Nursery
) -> None:
    # A restarted process writes a record whose id was decided before its start. Nothing will
    # settle it again, so waiting for the whole timeout would tell no more.
    nursery.start_soon(author.follow)
    assert isinstance(await author.write(1, record_id="same"), Ok)
    started = trio.current_time()
    assert await author.write(2, record_id="same", timeout_s=50) == Err(WriteFailure.UNKNOWN)
    assert trio.current_time() - started < 50


@scenario
async def test_while_the_platform_is_silent_writes_are_refused_at_once(
    author: Author, nursery: trio.Nursery
) -> None:
    # An append gets no answer, and nothing is heard of the platform. A caller whose request
    # needs a decision is told "not run" at once instead of after its timeout; when the platform
    # is heard again, the next one goes through.
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
async def test_before_any_log_time_is_heard_nothing_is_sealed(
    author: Author, _: trio.Nursery
) -> None:
    # A process that never reached the platform knows no log time. A record sealed at 0 would
    # lie in the log as expired, though its author was told that it may come.
    author.writer.clock = LogClock()
    assert await author.write(1) == Err(WriteFailure.NOT_APPENDED)
    assert author.stored() == 0


@scenario
async def test_a_batch_is_bounded_in_bytes(author: Author, nursery: trio.Nursery) -> None:
    # Hundreds of large records in one append would time out together, again and again.
    nursery.start_soon(author.follow)
    async with trio.open_nursery() as writes:
        for number in range(20):
            writes.start_soon(lambda n=number: author.write(n, address="x" * 200_000))  # type: ignore[misc]
    assert all(isinstance(outcome, Ok) for outcome in author.outcomes.values())
    assert max(sum(map(len, batch)) for batch in author.client.batches) <= 1024 * 1024


def test_the_clock_follows_a_log_that_stands_still(monkeypatch: pytest.MonkeyPatch) -> None:
    # The platform's clock is set back by an hour; the log holds its highest time until then.
    # An estimate that goes on rising would seal records that live too long, all of them refused.
    now = [1_000]
    monkeypatch.setattr("heatherkeel.fleetlog.log_clock.monotonic_ms", lambda: now[0])
    clock = LogClock()
    clock.hear(5_000_000)
    for _ in range(60):
        now[0] += 60_000
        clock.hear(5_000_000)
    assert clock.now_ms() == 5_000_000
    clock.hear(4_000_000)
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
def test_error_answers_say_only_what_is_known(status: int, failure: PlatformFailure) -> None:
    # A gateway between us and a slow store answers 504 after the append was stored. Were that
    # taken as refused, an author would be told that its record is not in the log.
    response = httpcore.Response(status, content=b"<html>")
    response.read()
    decoded = client_module._decode(response, Appended)
    assert isinstance(decoded, Err) and decoded.err_value.failure is failure
