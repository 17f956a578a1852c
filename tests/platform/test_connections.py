"""Tests for persistent connections: reuse, limits, and what happens when one is lost."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress

import h11
import pytest
import trio
from result import Err, Ok

from heatherkeel.platform.caller import HttpCaller
from heatherkeel.platform.connections import make_request
from heatherkeel.platform.errors import Failure

_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n"
AsyncServe = Callable[[trio.SocketStream], Awaitable[None]]
AsyncUse = Callable[[HttpCaller], Awaitable[None]]


def run(async_serve: AsyncServe, async_use: AsyncUse, *, connections: int = 2) -> int:
    """Use a caller of a server; return how many connections the server accepted."""
    accepted = 0

    async def async_accept(stream: trio.SocketStream) -> None:
        nonlocal accepted
        accepted += 1
        await async_serve(stream)

    async def async_test() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, async_accept, listeners)
            port = listeners[0].socket.getsockname()[1]
            caller = HttpCaller(address=f"127.0.0.1:{port}", connections=connections)
            await async_use(caller)
            await caller.close()
            nursery.cancel_scope.cancel()

    trio.run(async_test)
    return accepted


async def async_answer_all(stream: trio.SocketStream) -> None:
    """Answer each request with its number on its connection."""
    number = 0
    while await stream.receive_some():
        number += 1
        await stream.send_all(_ANSWER + f"{number:02}".encode())


def test_calls_beyond_connections_wait_for_one() -> None:
    """A burst of calls must not open more connections than the platform allows."""
    answered: list[int] = []

    async def async_use(caller: HttpCaller) -> None:
        async def async_call() -> None:
            called = await caller.async_call("GET", "/", timeout_s=5.0)
            answered.append(called.unwrap().status)

        async with trio.open_nursery() as nursery:
            for _ in range(10):
                nursery.start_soon(async_call)

    assert run(async_answer_all, async_use) == 2
    assert answered == [200] * 10


def test_caller_stays_usable_after_a_burst_of_calls_without_answers() -> None:
    """Guards against connections that stay taken by waiting calls which all time out at once."""
    is_silent = True

    async def async_answer_unless_silent(stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            while await stream.receive_some():
                if not is_silent:
                    await stream.send_all(_ANSWER + b"{}")

    async def async_use(caller: HttpCaller) -> None:
        nonlocal is_silent

        async def async_call() -> None:
            assert isinstance(await caller.async_call("GET", "/", timeout_s=0.1), Err)

        for _ in range(5):
            async with trio.open_nursery() as nursery:
                for _ in range(60):
                    nursery.start_soon(async_call)
                    await trio.lowlevel.checkpoint()
        is_silent = False
        for _ in range(3):
            assert isinstance(await caller.async_call("GET", "/", timeout_s=1.0), Ok)

    run(async_answer_unless_silent, async_use, connections=4)


def test_connection_closed_while_idle_is_replaced() -> None:
    """A worker that closes idle connections must not make the next call fail."""

    async def async_answer_once(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(_ANSWER + b"{}")
        await stream.aclose()

    async def async_use(caller: HttpCaller) -> None:
        for _ in range(3):
            called = await caller.async_call("GET", "/", timeout_s=5.0)
            assert isinstance(called, Ok)
            await trio.sleep(0.02)

    assert run(async_answer_once, async_use) == 3


def test_late_answer_is_not_taken_for_that_of_next_call() -> None:
    async def async_answer_late(stream: trio.SocketStream) -> None:
        request = await stream.receive_some()
        if b"/slow" in request:
            await trio.sleep(0.1)
        try:
            await stream.send_all(_ANSWER + (b"sl" if b"/slow" in request else b"ok"))
        except trio.BrokenResourceError:
            return

    async def async_use(caller: HttpCaller) -> None:
        slow = await caller.async_call("GET", "/slow", timeout_s=0.05)
        assert isinstance(slow, Err)
        assert slow.err_value.failure is Failure.UNKNOWN
        assert (await caller.async_call("GET", "/", timeout_s=5.0)).unwrap().body == b"ok"

    assert run(async_answer_late, async_use, connections=1) == 2


def test_timed_out_call_frees_its_connection() -> None:
    """Calls that time out one after another must not use up the connections."""

    async def async_ignore(stream: trio.SocketStream) -> None:
        try:
            while await stream.receive_some():
                pass
        except trio.BrokenResourceError:
            return

    async def async_use(caller: HttpCaller) -> None:
        for _ in range(5):
            called = await caller.async_call("GET", "/", timeout_s=0.02)
            assert isinstance(called, Err)
        assert not caller.pool.open
        assert caller.pool.slots.value == 2

    assert run(async_ignore, async_use) == 5


def test_answer_cut_short_is_unknown() -> None:
    """An order whose answer was lost may have been carried out."""

    async def async_cut(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(_ANSWER + b"a")
        await stream.aclose()

    async def async_use(caller: HttpCaller) -> None:
        called = await caller.async_call("POST", "/", body=b"x", timeout_s=5.0)
        assert isinstance(called, Err)
        assert called.err_value.failure is Failure.UNKNOWN

    run(async_cut, async_use)


@pytest.mark.parametrize(
    "answer",
    [
        b"SSH-2.0-x\r\n\r\n",
        b"HTTP/1.1 2x0 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n-1\r\n",
        b"HTTP/1.1 200 OK\r\na: " + b"x" * 200_000,
    ],
)
def test_faulty_answer_is_unknown(answer: bytes) -> None:
    """A faulty or hostile worker must not stop the process that calls it."""

    async def async_answer(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        try:
            await stream.send_all(answer)
        except trio.BrokenResourceError:
            return

    async def async_use(caller: HttpCaller) -> None:
        called = await caller.async_call("GET", "/", timeout_s=5.0)
        assert isinstance(called, Err)
        assert called.err_value.failure is Failure.UNKNOWN
        assert not caller.pool.open

    run(async_answer, async_use)


def test_surplus_after_an_answer_is_not_taken_for_the_next_one() -> None:
    async def async_answer_twice(stream: trio.SocketStream) -> None:
        try:
            while await stream.receive_some():
                await stream.send_all(_ANSWER + b"ok" + _ANSWER + b"no")
        except trio.BrokenResourceError:
            return

    async def async_use(caller: HttpCaller) -> None:
        for _ in range(2):
            assert (await caller.async_call("GET", "/", timeout_s=5.0)).unwrap().body == b"ok"

    assert run(async_answer_twice, async_use, connections=1) == 2


def test_closing_ends_calls_in_progress() -> None:
    async def async_ignore(stream: trio.SocketStream) -> None:
        await trio.sleep_forever()

    async def async_use(caller: HttpCaller) -> None:
        async with trio.open_nursery() as nursery:

            async def async_call() -> None:
                called = await caller.async_call("GET", "/", timeout_s=5.0)
                assert isinstance(called, Err)
                assert called.err_value.failure is Failure.UNKNOWN

            nursery.start_soon(async_call)
            await trio.sleep(0.05)
            with trio.fail_after(1.0):
                await caller.close()

    run(async_ignore, async_use)


def test_faulty_addresses_are_refused() -> None:
    """An address comes from a worker's own entry and may be anything."""

    async def async_test() -> None:
        for address in ("", "nowhere", "127.0.0.1:99999", "127.0.0.1:x", "." * 300 + ":1"):
            caller = HttpCaller(address=address, connections=1)
            called = await caller.async_call("GET", "/", timeout_s=2.0)
            assert isinstance(called, Err)
            assert called.err_value.failure is Failure.REFUSED

    trio.run(async_test)


@pytest.mark.parametrize(
    ("target", "headers"),
    [("/a b", []), ("/a\r\nb: c", []), ("/", [("a", "b\nc: d")]), ("/", [("a", "\u00e9")])],
)
def test_values_with_delimiters_are_not_sent(target: str, headers: list[tuple[str, str]]) -> None:
    """A worker's id must not add headers to a request."""
    with pytest.raises(h11.LocalProtocolError):
        make_request("GET", target, host="a", headers=headers, body=None)
