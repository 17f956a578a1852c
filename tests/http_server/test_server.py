"""Tests of the HTTP server's idle connections."""

from __future__ import annotations

from typing import Final

import httpcore
import trio

from heatherkeel.helpers.asgi import Message, Receive, Send, async_respond, async_run_lifespan
from heatherkeel.http_server.server import HttpServer

LIBRARY_KEEP_ALIVE_S: Final = 5.0
"""Default idle timeout of hypercorn in seconds."""


async def async_answer(scope: Message, receive: Receive, send: Send) -> None:
    if scope["type"] == "lifespan":
        return await async_run_lifespan(receive, send)
    return await async_respond(send, status=200)


async def async_request_twice() -> list[int]:
    """Send two requests on one connection, which is idle for longer than hypercorn's default."""
    server = HttpServer(app=async_answer, bind="127.0.0.1:0")
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        host, port = server.address.split(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        connection = httpcore.AsyncHTTPConnection(origin=origin)
        url = f"http://{server.address}/"
        statuses = [(await connection.request("GET", url)).status]
        await trio.sleep(LIBRARY_KEEP_ALIVE_S + 0.5)
        statuses.append((await connection.request("GET", url)).status)
        await connection.aclose()
        await server.close()
    return statuses


def test_idle_connection_outlives_library_default() -> None:
    # A load balancer must not send a request on a connection that the server is closing.
    assert trio.run(async_request_twice) == [200, 200]
