"""Tests for HTTP calls: timeouts, errors and connection reuse."""

from __future__ import annotations

import socket

import pytest
import trio
from result import Err

from heatherkeel.platform.caller import HttpCaller
from heatherkeel.platform.errors import Failure


def test_timed_out_call_resets_its_connection() -> None:
    """An order that timed out must not be delivered later, after those of the next owner."""

    async def async_test() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        caller = HttpCaller(address=f"127.0.0.1:{listener.getsockname()[1]}", connections=1)
        called = await caller.async_call("POST", "/order", body=b"{}", timeout_s=0.1)
        assert isinstance(called, Err)
        assert called.err_value.failure is Failure.UNKNOWN
        connection, _ = listener.accept()
        with connection, listener, pytest.raises(ConnectionResetError):
            while connection.recv(65536):
                pass
        await caller.close()

    trio.run(async_test)


def test_call_without_listener_is_refused() -> None:

    async def async_test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
        caller = HttpCaller(address=address, connections=1)
        called = await caller.async_call("GET", "/", timeout_s=1.0)
        assert isinstance(called, Err)
        assert called.err_value.failure is Failure.REFUSED
        await caller.close()

    trio.run(async_test)


def test_connection_is_reused_for_next_call() -> None:

    async def async_test() -> None:
        accepted = 0

        async def async_answer(stream: trio.SocketStream) -> None:
            nonlocal accepted
            accepted += 1
            while await stream.receive_some():
                await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, async_answer, listeners)
            port = listeners[0].socket.getsockname()[1]
            caller = HttpCaller(address=f"127.0.0.1:{port}", connections=1)
            for _ in range(3):
                assert not isinstance(await caller.async_call("GET", "/", timeout_s=1.0), Err)
            await caller.close()
            nursery.cancel_scope.cancel()
        assert accepted == 1

    trio.run(async_test)


def test_response_that_keeps_arriving_is_read_to_its_end() -> None:
    """Guards against giving up large answers on a small link at the timeout of the call."""

    async def async_answer(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n")
        for _ in range(8):
            await trio.sleep(0.05)
            await stream.send_all(b"x")

    async def async_test() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, async_answer, listeners)
            port = listeners[0].socket.getsockname()[1]
            caller = HttpCaller(address=f"127.0.0.1:{port}", connections=1)
            called = await caller.async_call("GET", "/", timeout_s=0.2)
            assert called.unwrap().body == b"x" * 8
            await caller.close()
            nursery.cancel_scope.cancel()

    trio.run(async_test)
