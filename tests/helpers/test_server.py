"""Connections of callers between two requests."""

from __future__ import annotations

from typing import Final

import httpcore
import trio

from heatherkeel.helpers.asgi import Message, Receive, Send, async_respond, async_run_lifespan
from heatherkeel.helpers.server import HttpServer

LIBRARY_KEEP_ALIVE_S: Final = 5.0
"""After so long the library's own default closes an idle connection."""


async def async_answer(scope: Message, receive: Receive, send: Send) -> None:
    if scope["type"] == "lifespan":
        return await async_run_lifespan(receive, send)
    return await async_respond(send, status=200)


async def async_ask_twice() -> list[int]:
    """Ask twice on one connection, idle for a little longer than the library's default between."""
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


def test_an_idle_connection_outlives_the_balancers_patience() -> None:
    # The balancer keeps idle connections for longer than we do and sends the next request on one
    # that we are closing. The caller then hears nothing, and nobody knows whether it ran. So we
    # must be the ones who wait longer.
    assert trio.run(async_ask_twice) == [200, 200]
