"""Calls to the store while it turns one process away, and while it is down for all."""

from __future__ import annotations

from typing import cast

import pytest
import trio
import trio.testing
from prometheus_client import CollectorRegistry
from result import Err, Ok, Result

from heatherkeel.platform.caller import HttpCaller, Reply
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.route import StoreCall
from heatherkeel.questions.messages import Answer, RelayAnswer, RelayQuestion
from heatherkeel.relay.const import (
    FAILURES_TO_TURN,
    FORWARD_MARGIN_S,
    LONGEST_FORWARD_S,
    PROBE_INTERVAL_S,
    REST_S,
)
from heatherkeel.relay.metrics import RelayMetrics
from heatherkeel.relay.route import PeerRoute

DONE = Reply(status=200, body=b"done")
BUSY = Reply(status=503, body=b"")
SILENCE: Err[CallError] = Err(CallError(failure=Failure.UNKNOWN, detail="no answer in time"))
APPEND = StoreCall(method="POST", target="/heatherkeel/log-append?x=1", body=b"1", timeout_s=0.4)
READ = StoreCall(method="GET", target="/heatherkeel/log-read?x=1", timeout_s=3.0, wait_s=0.5)


@pytest.fixture
def autojump_clock() -> trio.testing.MockClock:
    """Return a clock that jumps over every sleep."""
    return trio.testing.MockClock(autojump_threshold=0)


class Scene:
    """A store that treats this process in one way, and its peer in another."""

    def __init__(self) -> None:
        self.direct: Result[Reply, CallError] = Ok(DONE)
        self.peer: Answer | None = RelayAnswer(status=200, body=b"by peer")
        self.tried: list[str] = []
        self.route = PeerRoute(
            list_peers=lambda: ["p1", "p2"],
            async_ask=self.async_ask,
            metrics=RelayMetrics(registry=CollectorRegistry()),
        )

    async def async_ask(
        self, address: str, asked: RelayQuestion, timeout_s: float
    ) -> Answer | None:
        self.tried.append(address)
        if self.peer is None:
            await trio.sleep(timeout_s)
        return self.peer

    async def async_call(
        self, method: str, target: str, *, body: bytes | None, timeout_s: float
    ) -> Result[Reply, CallError]:
        """Stand in for the caller that goes directly."""
        self.tried.append("direct")
        if isinstance(self.direct, Err):
            await trio.sleep(timeout_s)
        return self.direct

    async def async_make(self, call: StoreCall = APPEND) -> Result[Reply, CallError]:
        """Make a call by the route."""
        return await self.route.async_call(cast(HttpCaller, self), call)

    async def async_turn_away(self) -> None:
        """Let the store refuse this process until its calls go through a peer."""
        self.direct = Ok(BUSY)
        for _ in range(FAILURES_TO_TURN):
            assert isinstance(await self.async_make(), Ok)
        assert self.route.is_turned_away
        self.take_tried()

    def take_tried(self) -> list[str]:
        """Return the ways tried since the last look."""
        tried, self.tried = self.tried, []
        return tried


@trio.testing.trio_test
async def test_store_that_answers_is_called_directly() -> None:
    scene = Scene()
    assert await scene.async_make() == Ok(DONE)
    assert scene.take_tried() == ["direct"]


@trio.testing.trio_test
async def test_call_that_only_this_process_is_refused_goes_through_a_peer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The store answers 503 to this process and serves another.

    Two calls find that out, the next ones go through the peer at once. From time to time one
    is tried directly; when the store takes it, all go directly again.
    """
    scene = Scene()
    scene.direct = Ok(BUSY)
    assert await scene.async_make() == Ok(Reply(status=200, body=b"by peer"))
    assert await scene.async_make() == Ok(Reply(status=200, body=b"by peer"))
    assert scene.take_tried() == ["direct", "p1", "direct", "p1"]
    assert isinstance(await scene.async_make(), Ok)
    assert scene.take_tried() == ["p1"]
    await trio.sleep(PROBE_INTERVAL_S)
    assert isinstance(await scene.async_make(), Ok)
    assert scene.take_tried() == ["direct", "p1"]
    scene.direct = Ok(DONE)
    await trio.sleep(PROBE_INTERVAL_S)
    assert await scene.async_make() == Ok(DONE)
    assert await scene.async_make() == Ok(DONE)
    assert scene.take_tried() == ["direct", "direct"]


@trio.testing.trio_test
async def test_next_peer_is_asked_at_once_when_one_fails(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """While the store turns this process away, the peer that it goes through fails too.

    With a rest after the first failure its owner couldn't store anything for a second.
    """
    scene = Scene()
    await scene.async_turn_away()
    scene.peer = None
    assert isinstance(await scene.async_make(), Err)
    scene.peer = RelayAnswer(status=200, body=b"by peer")
    assert await scene.async_make() == Ok(Reply(status=200, body=b"by peer"))
    assert scene.take_tried() == ["p1", "direct", "p2"]


@trio.testing.trio_test
async def test_store_that_refuses_everybody_is_not_asked_twice_by_each_call(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The store is down for all: the peer is refused too.

    The caller hears that nothing was done. Only one call in a while is forwarded, to another peer
    each time, so the store's load hardly grows.
    """
    scene = Scene()
    scene.direct = Ok(BUSY)
    scene.peer = RelayAnswer(status=503)
    assert await scene.async_make() == Ok(BUSY)
    assert scene.take_tried() == ["direct", "p1"]
    assert await scene.async_make() == Ok(BUSY)
    assert scene.take_tried() == ["direct"]
    await trio.sleep(REST_S)
    assert await scene.async_make() == Ok(BUSY)
    assert scene.take_tried() == ["direct", "p2"]


@trio.testing.trio_test
async def test_nothing_done_is_said_only_if_neither_way_may_have_done_it(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """One way says that nothing was done, and the other doesn't answer.

    The call may have been done by the one that is silent. Taken for not done, a caller would be
    told that its job never runs, and it runs.
    """
    scene = Scene()
    scene.direct = Ok(BUSY)
    scene.peer = None
    made = await scene.async_make()
    assert isinstance(made, Err)
    assert made.err_value.failure is Failure.UNKNOWN
    await trio.sleep(REST_S)
    scene.direct = SILENCE
    scene.peer = RelayAnswer(failure=Failure.REFUSED, detail="ConnectError")
    made = await scene.async_make()
    assert isinstance(made, Err)
    assert made.err_value.failure is Failure.UNKNOWN


@trio.testing.trio_test
async def test_reading_that_waits_in_vain_is_made_again_through_a_peer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The store doesn't answer this process at all, while a reading waits for new jobs.

    Its own time would run out after seconds, and the owner would see no job until then. An append
    finds out that a peer is served; the reading is given up at that moment.
    """
    scene = Scene()
    scene.direct = SILENCE
    began_s = trio.current_time()
    read: list[Result[Reply, CallError]] = []

    async def async_read() -> None:
        read.append(await scene.async_make(READ))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(async_read)
        await trio.sleep(0.01)
        for _ in range(FAILURES_TO_TURN):
            assert isinstance(await scene.async_make(), Ok)
    assert read == [Ok(Reply(status=200, body=b"by peer"))]
    assert trio.current_time() - began_s < 1.0


@trio.testing.trio_test
async def test_reading_whose_connection_is_reset_does_not_go_through_a_peer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The store forgets its history, and resets the connections of all readings that wait.

    Taken for being turned away, each process went through a peer, whose link had gone silent at
    the same moment: three missed a change of the configuration for four seconds, and refused
    callers by the old one. A reading that fails is tried again directly.
    """
    scene = Scene()
    scene.direct = Err(CallError(failure=Failure.UNKNOWN, detail="ReadError"))
    assert isinstance(await scene.async_make(READ), Err)
    assert scene.take_tried() == ["direct"]
    assert not scene.route.is_turned_away


@trio.testing.trio_test
async def test_reading_through_a_silent_link_is_given_up_soon(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The link to the peer goes silent while readings go through it.

    The reading is given up half a second after its own wait, and the next one goes through another
    peer; it is not made directly in between, where it would wait for three seconds more.
    """
    scene = Scene()
    await scene.async_turn_away()
    scene.peer = None
    began_s = trio.current_time()
    assert isinstance(await scene.async_make(READ), Err)
    assert trio.current_time() - began_s <= READ.wait_s + LONGEST_FORWARD_S + FORWARD_MARGIN_S
    scene.peer = RelayAnswer(status=200, body=b"by peer")
    assert isinstance(await scene.async_make(READ), Ok)
    assert scene.take_tried() == ["p1", "p2"]


@trio.testing.trio_test
async def test_process_without_peers_hears_what_the_store_says(
    autojump_clock: trio.testing.MockClock,
) -> None:
    scene = Scene()
    scene.route.list_peers = lambda: []
    scene.direct = Ok(BUSY)
    assert await scene.async_make() == Ok(BUSY)
