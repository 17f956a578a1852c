"""A server's limits, by what its clients see on their connections."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final

import pytest
import trio
from prometheus_client import CollectorRegistry

from heatherkeel.helpers.asgi import (
    App,
    Message,
    Receive,
    Send,
    async_respond,
    async_run_lifespan,
)
from heatherkeel.http_server import stream as stream_module
from heatherkeel.http_server.const import MAX_FIELDS
from heatherkeel.http_server.metrics import ServerMetrics
from heatherkeel.http_server.models import CloseReason, RequestRefusal, ServerLimits
from heatherkeel.http_server.server import HttpServer

NAME: Final = "callers"
GET: Final = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
CLOSE: Final = b"\r\nConnection: close\r\n\r\n"
"""Ends a head, in place of an empty line."""
WAIT_S: Final = 30.0
LARGE_BYTES: Final = 4_000_000

Client = Callable[[str], Awaitable[Any]]


async def async_answer(scope: Message, receive: Receive, send: Send) -> None:
    """Answer without reading the body."""
    if scope["type"] == "lifespan":
        return await async_run_lifespan(receive, send)
    return await async_respond(send, status=200, body=b"ok")


async def async_serve(
    app: App, limits: ServerLimits, client: Client, registry: CollectorRegistry
) -> Any:
    """Run a client against a server; return what it returns."""
    server = HttpServer(
        app=app,
        bind="127.0.0.1:0",
        name=NAME,
        limits=limits,
        metrics=ServerMetrics(registry=registry),
    )
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        with trio.fail_after(WAIT_S):
            result = await client(server.address)
        await server.close(finish_timeout_s=0.1)
    return result


def run(
    client: Client, *, app: App = async_answer, limits: ServerLimits | None = None
) -> tuple[Any, CollectorRegistry]:
    registry = CollectorRegistry()
    result = trio.run(async_serve, app, limits or ServerLimits(), client, registry)
    return result, registry


def closed(registry: CollectorRegistry, reason: CloseReason) -> float | None:
    labels = {"server": NAME, "reason": reason.value}
    return registry.get_sample_value("heatherkeel_connections_closed_total", labels)


def refused(registry: CollectorRegistry, refusal: RequestRefusal) -> float | None:
    labels = {"server": NAME, "reason": refusal.value}
    return registry.get_sample_value("heatherkeel_requests_refused_early_total", labels)


async def async_open(address: str) -> trio.SocketStream:
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def async_read_all(stream: trio.SocketStream) -> bytes:
    """Return what is received until the connection ends."""
    received = b""
    try:
        while part := await stream.receive_some(65_536):
            received += part
    except trio.BrokenResourceError:
        pass
    return received


async def async_exchange(address: str, *, data: bytes) -> bytes:
    stream = await async_open(address)
    await stream.send_all(data)
    return await async_read_all(stream)


def test_refusal_reaches_a_client_that_reads_only_after_it_has_sent() -> None:
    """Guards against a reset that takes the answer away from a client which is still sending."""
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n"
    answer, _ = run(partial(async_exchange, data=head + b"x" * LARGE_BYTES))
    assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"ok")


def test_answered_client_that_never_stops_sending_is_cut_off() -> None:
    async def async_send_on(address: str) -> bool:
        stream = await async_open(address)
        await stream.send_all(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            while True:
                await stream.send_all(b"1\r\nx\r\n")
                await trio.sleep(0.05)
        except trio.BrokenResourceError:
            return True

    assert run(async_send_on)[0]


def test_head_that_never_ends_is_closed() -> None:
    limits = ServerLimits(read_timeout_s=0.2, grace_s=0.1)
    answer, registry = run(partial(async_exchange, data=GET[:-4]), limits=limits)
    assert answer == b""
    assert closed(registry, CloseReason.READ_TIMEOUT) == 1


def test_client_that_does_not_read_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against answers and connections that are held for ever by shielded sends."""
    monkeypatch.setattr(stream_module, "SEND_TIMEOUT_S", 0.2)
    monkeypatch.setattr(stream_module, "LEAST_BYTES_PER_S", 100 * LARGE_BYTES)

    async def async_large(scope: Message, receive: Receive, send: Send) -> None:
        await async_respond(send, status=200, body=b"x" * LARGE_BYTES)

    async def async_never_read(address: str) -> None:
        stream = await async_open(address)
        await stream.send_all(GET)
        await trio.sleep(1.5)
        await stream.aclose()

    limits = ServerLimits(socket_buffer_bytes=16_384)
    _, registry = run(async_never_read, app=async_large, limits=limits)
    assert closed(registry, CloseReason.SEND_TIMEOUT) == 1


def test_too_many_headers_are_refused() -> None:
    fields = b"a:\r\n" * (MAX_FIELDS + 1)
    data = b"GET / HTTP/1.1\r\nHost: a\r\n" + fields + b"\r\n"
    answer, registry = run(partial(async_exchange, data=data))
    assert answer.startswith(b"HTTP/1.1 431 ")
    assert refused(registry, RequestRefusal.TOO_MANY_FIELDS) == 1


def test_as_many_headers_as_allowed_are_taken() -> None:
    fields = b"a:\r\n" * (MAX_FIELDS - 2)
    data = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + fields + b"\r\n"
    assert run(partial(async_exchange, data=data))[0].startswith(b"HTTP/1.1 200 ")


def test_requests_beyond_the_limit_are_refused_at_once() -> None:
    """Guards against clients that wait in vain until their deadline."""
    release = trio.Event()

    async def async_wait(scope: Message, receive: Receive, send: Send) -> None:
        await release.wait()
        await async_respond(send, status=200)

    async def async_fill(address: str) -> tuple[bytes, list[bytes]]:
        answers: list[bytes] = []

        async def async_ask() -> None:
            answers.append(await async_exchange(address, data=GET.replace(b"\r\n\r\n", CLOSE)))

        async with trio.open_nursery() as nursery:
            for _ in range(limits.requests()):
                nursery.start_soon(async_ask)
            await trio.sleep(0.3)
            refusal = await async_exchange(address, data=GET)
            release.set()
        return refusal, answers

    limits = ServerLimits(connections=8)
    (refusal, answers), registry = run(async_fill, app=async_wait, limits=limits)
    assert refusal.startswith(b"HTTP/1.1 503 ") and b"\r\nretry-after: 1\r\n" in refusal
    assert all(answer.startswith(b"HTTP/1.1 200 ") for answer in answers)
    assert refused(registry, RequestRefusal.BUSY) == 1


def test_nearly_full_server_closes_connections_after_their_answers() -> None:
    answer, _ = run(partial(async_exchange, data=GET), limits=ServerLimits(connections=1))
    assert b"\r\nconnection: close\r\n" in answer


def test_exception_of_the_application_is_answered_and_others_are_served() -> None:
    async def async_fail(scope: Message, receive: Receive, send: Send) -> None:
        if scope["path"] == "/fail":
            raise ValueError("broken")
        await async_respond(send, status=200)

    async def async_ask_twice(address: str) -> list[bytes]:
        data = GET.replace(b"\r\n\r\n", CLOSE)
        failing = data.replace(b"GET /", b"GET /fail")
        return [await async_exchange(address, data=item) for item in (failing, data)]

    answers, _ = run(async_ask_twice, app=async_fail)
    assert [answer[:13] for answer in answers] == [b"HTTP/1.1 500 ", b"HTTP/1.1 200 "]


def test_exception_of_the_protocol_ends_its_connection_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an exception of the library that ends the server, and the process with it."""
    from heatherkeel.http_server.protocol import Http11Protocol

    async def async_break(self: Http11Protocol, request: Any) -> None:
        raise RuntimeError("broken")

    async def async_ask(address: str) -> list[bytes]:
        with monkeypatch.context() as patched:
            patched.setattr(Http11Protocol, "_create_stream", async_break)
            broken = await async_exchange(address, data=GET)
        return [broken, await async_exchange(address, data=GET.replace(b"\r\n\r\n", CLOSE))]

    answers, registry = run(async_ask)
    assert answers[0] == b"" and answers[1].startswith(b"HTTP/1.1 200 ")
    assert closed(registry, CloseReason.ERROR) == 1
