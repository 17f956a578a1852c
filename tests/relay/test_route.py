"""Tests for calls while the store rejects one process, or is down for all."""

from __future__ import annotations

from typing import cast

import trio
import trio.testing
from prometheus_client import CollectorRegistry
from result import Err, Ok, Result

from heatherkeel.platform.caller import HttpCaller, Reply
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.route import StoreCall
from heatherkeel.platform.transfer import Transfer
from heatherkeel.questions.messages import Answer, RelayAnswer, RelayQuestion
from heatherkeel.relay.const import (
    FAILURES_BEFORE_FORWARDING,
    FORWARD_MARGIN_S,
    FORWARD_PAUSE_S,
    LONGEST_FORWARD_S,
    PROBE_INTERVAL_S,
)
from heatherkeel.relay.metrics import RelayMetrics
from heatherkeel.relay.route import PeerRoute

DONE = Reply(status=200, body=b"done")
BUSY = Reply(status=503, body=b"")
NO_ANSWER: Err[CallError] = Err(CallError(failure=Failure.UNKNOWN, detail="no answer in time"))
APPEND = StoreCall(method="POST", target="/heatherkeel/log-append?x=1", body=b"1", timeout_s=0.4)
READ = StoreCall(method="GET", target="/heatherkeel/log-read?x=1", timeout_s=3.0, wait_s=0.5)


class Scene:
    """A store with separate answers for this process and its peers."""

    def __init__(self) -> None:
        self.direct: Result[Reply, CallError] = Ok(DONE)
        self.peer: Answer | None = RelayAnswer(status=200, body=b"by peer")
        self.attempts: list[str] = []
        self.route = PeerRoute(
            list_peers=lambda: ["p1", "p2"],
            async_ask=self.async_ask,
            metrics=RelayMetrics(registry=CollectorRegistry()),
        )

    async def async_ask(
        self, address: str, asked: RelayQuestion, timeout_s: float
    ) -> Answer | None:
        self.attempts.append(address)
        if self.peer is None:
            await trio.sleep(timeout_s)
        return self.peer

    async def async_call(
        self,
        method: str,
        target: str,
        *,
        body: bytes | None,
        timeout_s: float,
        transfer: Transfer | None = None,
    ) -> Result[Reply, CallError]:
        """Replace the direct HTTP call."""
        self.attempts.append("direct")
        if isinstance(self.direct, Err):
            await trio.sleep(timeout_s)
        return self.direct

    async def async_make(self, call: StoreCall = APPEND) -> Result[Reply, CallError]:
        """Make a call through the route."""
        return await self.route.async_call(cast(HttpCaller, self), call)

    async def async_reject_process(self) -> None:
        """Make the store reject this process until its calls go through a peer."""
        self.direct = Ok(BUSY)
        for _ in range(FAILURES_BEFORE_FORWARDING):
            assert isinstance(await self.async_make(), Ok)
        assert self.route.is_rejected
        self.pop_attempts()

    def pop_attempts(self) -> list[str]:
        """Return and clear the attempted routes."""
        attempts, self.attempts = self.attempts, []
        return attempts


@trio.testing.trio_test
async def test_available_store_is_called_directly() -> None:
    scene = Scene()
    assert await scene.async_make() == Ok(DONE)
    assert scene.pop_attempts() == ["direct"]


@trio.testing.trio_test
async def test_rejected_process_calls_through_a_peer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against direct calls while the store rejects only this process."""
    scene = Scene()
    scene.direct = Ok(BUSY)
    assert await scene.async_make() == Ok(Reply(status=200, body=b"by peer"))
    assert await scene.async_make() == Ok(Reply(status=200, body=b"by peer"))
    assert scene.pop_attempts() == ["direct", "p1", "direct", "p1"]
    assert isinstance(await scene.async_make(), Ok)
    assert scene.pop_attempts() == ["p1"]
    await trio.sleep(PROBE_INTERVAL_S)
    assert isinstance(await scene.async_make(), Ok)
    assert scene.pop_attempts() == ["direct", "p1"]
    scene.direct = Ok(DONE)
    await trio.sleep(PROBE_INTERVAL_S)
    assert await scene.async_make() == Ok(DONE)
    assert await scene.async_make() == Ok(DONE)
    assert scene.pop_attempts() == ["direct", "direct"]


@trio.testing.trio_test
async def test_next_peer_is_asked_immediately_after_a_failure(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A failed peer must not cause a pause while the store rejects this process."""
    scene = Scene()
    await scene.async_reject_process()
    scene.peer = None
    assert isinstance(await scene.async_make(), Err)
    scene.peer = RelayAnswer(status=200, body=b"by peer")
    assert await scene.async_make() == Ok(Reply(status=200, body=b"by peer"))
    assert scene.pop_attempts() == ["p1", "direct", "p2"]


@trio.testing.trio_test
async def test_forwarding_pauses_while_the_store_rejects_all(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Forwarding must not multiply the load on a store that is down for all processes."""
    scene = Scene()
    scene.direct = Ok(BUSY)
    scene.peer = RelayAnswer(status=503)
    assert await scene.async_make() == Ok(BUSY)
    assert scene.pop_attempts() == ["direct", "p1"]
    assert await scene.async_make() == Ok(BUSY)
    assert scene.pop_attempts() == ["direct"]
    await trio.sleep(FORWARD_PAUSE_S)
    assert await scene.async_make() == Ok(BUSY)
    assert scene.pop_attempts() == ["direct", "p2"]


@trio.testing.trio_test
async def test_refused_is_reported_only_if_neither_route_may_have_made_the_call(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A call that may have been made on one route must not be reported as not made."""
    scene = Scene()
    scene.direct = Ok(BUSY)
    scene.peer = None
    made = await scene.async_make()
    assert isinstance(made, Err)
    assert made.err_value.failure is Failure.UNKNOWN
    await trio.sleep(FORWARD_PAUSE_S)
    scene.direct = NO_ANSWER
    scene.peer = RelayAnswer(failure=Failure.REFUSED, detail="ConnectError")
    made = await scene.async_make()
    assert isinstance(made, Err)
    assert made.err_value.failure is Failure.UNKNOWN


@trio.testing.trio_test
async def test_waiting_read_is_repeated_through_a_peer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A waiting read must be repeated once a peer is known to be served."""
    scene = Scene()
    scene.direct = NO_ANSWER
    began_s = trio.current_time()
    read: list[Result[Reply, CallError]] = []

    async def async_read() -> None:
        read.append(await scene.async_make(READ))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(async_read)
        await trio.sleep(0.01)
        for _ in range(FAILURES_BEFORE_FORWARDING):
            assert isinstance(await scene.async_make(), Ok)
    assert read == [Ok(Reply(status=200, body=b"by peer"))]
    assert trio.current_time() - began_s < 1.0


@trio.testing.trio_test
async def test_read_with_reset_connection_does_not_go_through_a_peer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A reset of a waiting read's connection must not be taken for a rejection."""
    scene = Scene()
    scene.direct = Err(CallError(failure=Failure.UNKNOWN, detail="ReadError"))
    assert isinstance(await scene.async_make(READ), Err)
    assert scene.pop_attempts() == ["direct"]
    assert not scene.route.is_rejected


@trio.testing.trio_test
async def test_read_through_a_dead_link_times_out_early(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A dead link to a peer must not block a read for its full timeout; the next peer is asked."""
    scene = Scene()
    await scene.async_reject_process()
    scene.peer = None
    began_s = trio.current_time()
    assert isinstance(await scene.async_make(READ), Err)
    assert trio.current_time() - began_s <= READ.wait_s + LONGEST_FORWARD_S + FORWARD_MARGIN_S
    scene.peer = RelayAnswer(status=200, body=b"by peer")
    assert isinstance(await scene.async_make(READ), Ok)
    assert scene.pop_attempts() == ["p1", "p2"]


@trio.testing.trio_test
async def test_process_without_peers_gets_the_direct_answer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    scene = Scene()
    scene.route.list_peers = lambda: []
    scene.direct = Ok(BUSY)
    assert await scene.async_make() == Ok(BUSY)
