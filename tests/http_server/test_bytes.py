"""Whatever bytes a client sends, only its own connection ends."""

from __future__ import annotations

from functools import partial
from typing import Final

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from prometheus_client import CollectorRegistry

from heatherkeel.helpers.asgi import Message, Receive, Send, async_respond, parse_request
from heatherkeel.http_server.metrics import ServerMetrics
from heatherkeel.http_server.models import ServerLimits
from heatherkeel.http_server.server import HttpServer

REQUESTS: Final = [
    b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET / HTTP/1.0\r\n\r\n",
    b"HEAD /x?y=%zz HTTP/1.1\r\nHost: a\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nhi",
    b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n\x00\x01",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00",
    b"GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
    b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
    b"\x81\x85\x01\x02\x03\x04hello",
    b"GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    b"HTTP2-Settings: AAMAAABk\r\n\r\n",
    b"GET / HTTP/9.9\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
]
MAX_BODY_BYTES: Final = 1000
ANSWER_S: Final = 30.0
PIECES = st.lists(
    st.one_of(
        st.sampled_from(REQUESTS),
        st.binary(max_size=60),
        st.tuples(st.sampled_from(REQUESTS), st.integers(0, 200)).map(lambda cut: cut[0][: cut[1]]),
        st.tuples(st.sampled_from(REQUESTS), st.integers(0, 99), st.integers(0, 255)).map(
            lambda change: mutate(*change)
        ),
    ),
    max_size=6,
)


def mutate(request: bytes, place: int, value: int) -> bytes:
    """Return a request with one byte changed."""
    place %= len(request)
    return request[:place] + bytes([value]) + request[place + 1 :]


async def async_read_and_answer(scope: Message, receive: Receive, send: Send) -> None:
    """Read the body, as a handler does, and answer with its size."""
    body = await parse_request(scope, receive).async_body(limit_bytes=MAX_BODY_BYTES)
    await async_respond(send, status=200, body=str(body).encode()[:100])


async def async_send(address: str, pieces: list[bytes]) -> None:
    """Send pieces on one connection and read what comes, if anything."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    with trio.move_on_after(0.05):
        try:
            for piece in pieces:
                await stream.send_all(piece)
            while await stream.receive_some(4096):
                pass
        except trio.BrokenResourceError:
            pass
    await trio.aclose_forcefully(stream)


async def async_ask(address: str) -> bytes:
    """Make one ordinary request."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    with trio.fail_after(ANSWER_S):
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        answer = b""
        while part := await stream.receive_some(4096):
            answer += part
    return answer


async def async_play(connections: list[list[bytes]]) -> tuple[bytes, int, int]:
    """Serve the connections at once; return an ordinary answer afterwards, and what is left."""
    limits = ServerLimits(connections=4, body_bytes=10_000, grace_s=0.01)
    metrics = ServerMetrics(registry=CollectorRegistry())
    server = HttpServer(
        app=async_read_and_answer, bind="127.0.0.1:0", limits=limits, metrics=metrics
    )
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        async with trio.open_nursery() as clients:
            for pieces in connections:
                clients.start_soon(partial(async_send, server.address, pieces))
        answer = await async_ask(server.address)
        await server.close(finish_timeout_s=0.1)
    return answer, server.table.budget.taken_bytes, server.table.requests


@settings(max_examples=60)
@given(connections=st.lists(PIECES, min_size=1, max_size=6))
def test_any_bytes_end_their_own_connection_only(connections: list[list[bytes]]) -> None:
    """Guards against one client's bytes that end the server, and with it the process."""
    answer, held, requests = trio.run(async_play, connections)
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert (held, requests) == (0, 0)
