"""Tests of the HTTP/1.1 server of the instance process, over real connections."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import pytest
import trio

from heatherkeel.helpers import api_connection
from heatherkeel.helpers.api_server import ApiServer
from heatherkeel.helpers.asgi import Message, Receive, Send, async_respond, parse_request
from heatherkeel.helpers.header_limit import MAX_HEADER_BYTES

LIMIT_BYTES = 200_000
AsyncUse = Callable[[ApiServer, trio.SocketStream], Awaitable[None]]


async def async_echo(scope: Message, receive: Receive, send: Send) -> None:
    """Answer with the request; what is special depends on its path."""
    request = parse_request(scope, receive)
    if request.path == "/early":
        return await async_respond(send, status=403, body=b"early")
    if request.path == "/crash":
        raise ValueError("crash")
    if request.path == "/slow":
        await trio.sleep(0.2)
    body = (await request.async_body(limit_bytes=LIMIT_BYTES)).unwrap()
    shown = f"{request.method} {request.path} {request.query} ".encode() + body
    return await async_respond(send, status=200, body=shown)


def run(async_use: AsyncUse) -> None:
    """Use a server and a connection to it."""

    async def async_test() -> None:
        server = ApiServer(app=async_echo, bind="127.0.0.1:0")
        async with trio.open_nursery() as nursery:
            await server.start(nursery)
            host, _, port = server.address.rpartition(":")
            with trio.fail_after(10.0):
                stream = await trio.open_tcp_stream(host, int(port))
                await async_use(server, stream)
                await stream.aclose()
                await server.close(finish_timeout_s=1.0)

    trio.run(async_test)


async def async_read(stream: trio.SocketStream, until: bytes) -> bytes:
    """Read until the received bytes end so, or to the end of the connection."""
    received = b""
    while not received.endswith(until):
        data = await stream.receive_some()
        if not data:
            break
        received += data
    return received


async def async_read_all(stream: trio.SocketStream) -> bytes:
    """Read to the end of the connection."""
    received = b""
    while data := await stream.receive_some():
        received += data
    return received


def encode(method: str, target: str, body: bytes = b"", *headers: str) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1", "host: a", f"content-length: {len(body)}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


def test_requests_of_a_connection_are_answered_in_order() -> None:
    async def async_use(server: ApiServer, stream: trio.SocketStream) -> None:
        for number in range(3):
            await stream.send_all(encode("POST", f"/a%20b/?n={number}", b"body"))
            answer = await async_read(stream, b"body")
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert b"date: " in answer
            assert answer.endswith(f"POST /a b/ {{'n': '{number}'}} body".encode())

    run(async_use)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def async_use(server: ApiServer, stream: trio.SocketStream) -> None:
        await stream.send_all(encode("PUT", "/slow", b"one") + encode("PUT", "/", b"two"))
        answers = await async_read(stream, b"two")
        assert answers.index(b"PUT /slow {} one") < answers.index(b"PUT / {} two")

    run(async_use)


def test_request_may_arrive_in_small_parts_and_chunks() -> None:
    async def async_use(server: ApiServer, stream: trio.SocketStream) -> None:
        request = (
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
        )
        for byte in request:
            await stream.send_all(bytes([byte]))
        assert (await async_read(stream, b"abcdefg")).endswith(b"POST / {} abcdefg")

    run(async_use)


def test_caller_that_waits_for_continue_gets_it() -> None:
    async def async_use(server: ApiServer, stream: trio.SocketStream) -> None:
        request = encode("POST", "/", b"body", "expect: 100-continue")
        await stream.send_all(request.removesuffix(b"body"))
        assert (await async_read(stream, b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        await stream.send_all(b"body")
        assert (await async_read(stream, b"body")).startswith(b"HTTP/1.1 200 ")

    run(async_use)


def test_response_to_head_has_no_body() -> None:
    async def async_use(server: ApiServer, stream: trio.SocketStream) -> None:
        await stream.send_all(encode("HEAD", "/"))
        answer = await async_read(stream, b"\r\n\r\n")
        assert b"content-length: 10\r\n" in answer
        await stream.send_all(encode("GET", "/"))
        assert (await async_read(stream, b"GET / {} ")).startswith(b"HTTP/1.1 200 ")

    run(async_use)


def test_early_response_to_a_large_body_arrives() -> None:
    """Guards against a reset that takes away a refusal, as its caller would try elsewhere."""

    async def async_use(server: ApiServer, stream: trio.SocketStream) -> None:
        body = b"x" * 500_000
        await stream.send_all(encode("POST", "/early", body))
        assert (await async_read(stream, b"early")).startswith(b"HTTP/1.1 403 ")
        await stream.send_all(encode("POST", "/", b"next"))
        assert (await async_read(stream, b"next")).startswith(b"HTTP/1.1 200 ")

    run(async_use)


def test_endless_body_ends_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a caller that keeps a process busy with a body that nobody reads."""
    monkeypatch.setattr(api_connection, "MAX_SURPLUS_BYTES", 1000)

    async def async_use(server: ApiServer, stream: trio.SocketStream) -> None:
        head = b"POST /early HTTP/1.1\r\nhost: a\r\ncontent-length: 900000000\r\n\r\n"
        await stream.send_all(head)
        with pytest.raises(trio.BrokenResourceError):
            while True:
                await stream.send_all(b"x" * 10_000)
                await trio.sleep(0.01)

    run(async_use)


def test_fault_of_the_application_ends_its_connection_only(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def async_use(server: ApiServer, stream: trio.SocketStream) -> None:
        await stream.send_all(encode("GET", "/crash"))
        assert (await async_read_all(stream)).startswith(b"HTTP/1.1 500 ")
        host, _, port = server.address.rpartition(":")
        other = await trio.open_tcp_stream(host, int(port))
        await other.send_all(encode("GET", "/"))
        assert (await async_read(other, b"GET / {} ")).startswith(b"HTTP/1.1 200 ")
        await other.aclose()

    with caplog.at_level(logging.ERROR):
        run(async_use)
    assert [vars(record)["event"] for record in caplog.records] == ["request_crashed"]


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n", 400),
        (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nhost: a\r\nb: " + b"x" * (MAX_HEADER_BYTES + 1), 431),
    ],
)
def test_faulty_request_is_refused_and_ends_its_connection(
    request_bytes: bytes, status: int
) -> None:
    """Guards against callers whose bytes stop the process or are taken for another request."""

    async def async_use(server: ApiServer, stream: trio.SocketStream) -> None:
        await stream.send_all(request_bytes)
        answer = await async_read_all(stream)
        assert answer.startswith(f"HTTP/1.1 {status} ".encode())
        assert b"connection: close" in answer

    run(async_use)


def test_upgrade_is_not_made() -> None:
    async def async_use(server: ApiServer, stream: trio.SocketStream) -> None:
        upgrade = ("connection: Upgrade", "upgrade: websocket", "sec-websocket-key: a")
        await stream.send_all(encode("GET", "/", b"", *upgrade))
        assert (await async_read(stream, b"GET / {} ")).startswith(b"HTTP/1.1 200 ")

    run(async_use)


def test_caller_that_leaves_midway_disturbs_nobody() -> None:
    async def async_use(server: ApiServer, stream: trio.SocketStream) -> None:
        host, _, port = server.address.rpartition(":")
        for part in (b"", b"GET", encode("POST", "/slow", b"body")[:-2], encode("GET", "/slow")):
            leaving = await trio.open_tcp_stream(host, int(port))
            await leaving.send_all(part)
            await leaving.aclose()
        await stream.send_all(encode("GET", "/"))
        assert (await async_read(stream, b"GET / {} ")).startswith(b"HTTP/1.1 200 ")
        while len(server.connections) > 1:
            await trio.sleep(0.01)

    run(async_use)


def test_idle_connection_is_closed_after_its_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Also one that sends half a head: each connection takes a descriptor."""
    monkeypatch.setattr(api_connection, "KEEP_ALIVE_S", 0.2)

    async def async_use(server: ApiServer, stream: trio.SocketStream) -> None:
        await stream.send_all(encode("GET", "/"))
        await async_read(stream, b"GET / {} ")
        await stream.send_all(b"GET / HTTP/1.1\r\nhost")
        assert await async_read_all(stream) == b""

    run(async_use)


def test_close_ends_idle_connections_and_finishes_requests() -> None:
    """A planned stop must not cost a caller its response."""

    async def async_use(server: ApiServer, stream: trio.SocketStream) -> None:
        host, _, port = server.address.rpartition(":")
        busy = await trio.open_tcp_stream(host, int(port))
        await busy.send_all(encode("GET", "/slow"))
        await trio.sleep(0.05)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: server.close(finish_timeout_s=2.0))
            assert await async_read_all(stream) == b""
            answer = await async_read_all(busy)
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert b"connection: close" in answer
        await busy.aclose()
        with pytest.raises(OSError):
            await trio.open_tcp_stream(host, int(port))

    run(async_use)


def test_close_cancels_requests_that_take_too_long() -> None:
    async def async_use(server: ApiServer, stream: trio.SocketStream) -> None:
        await stream.send_all(encode("GET", "/slow"))
        await trio.sleep(0.05)
        await server.close(finish_timeout_s=0.05)
        assert await async_read_all(stream) == b""

    run(async_use)


def test_address_in_use_is_named() -> None:
    async def async_use(server: ApiServer, stream: trio.SocketStream) -> None:
        other = ApiServer(app=async_echo, bind=server.address)
        async with trio.open_nursery() as nursery:
            with pytest.raises(OSError, match=server.address):
                await other.start(nursery)

    run(async_use)
