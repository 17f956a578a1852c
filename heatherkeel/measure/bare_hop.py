"""The bare hop: hypercorn in, httpcore out, and nothing else; the entry hop's fair baseline.

It knows its targets from the command line, takes them in turn, and passes the whole answer on.
It holds no limits, decides nothing and checks nothing, so no entry hop can do less.
"""

from __future__ import annotations

import itertools
import logging
import sys

import httpcore
import trio

from heatherkeel.helpers.asgi import Message, Receive, Send, async_run_lifespan
from heatherkeel.helpers.logs import set_up_logs
from heatherkeel.helpers.signals import async_wait_for_stop
from heatherkeel.http_server.server import HttpServer

_LOGGER = logging.getLogger(__name__)


class BareHop:
    """The ASGI application of the bare hop."""

    def __init__(self, *, targets: list[str]) -> None:
        self.turn = itertools.cycle(targets)
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=1024, max_keepalive_connections=256, keepalive_expiry=30, retries=0
        )

    async def close(self) -> None:
        """Close the connections to targets."""
        await self.pool.aclose()

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Pass one request on, and its answer back."""
        if scope["type"] == "lifespan":
            return await async_run_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        body = await _async_read_body(receive)
        url = f"http://{next(self.turn)}{scope['path']}"
        response = await self.pool.request(
            scope["method"], url, headers=scope["headers"], content=body
        )
        # A target closes a connection after some requests and says so. Passed on, that would
        # close the caller's connection, which has nothing to do with it.
        headers = [item for item in response.headers if item[0].lower() != b"connection"]
        start = {"type": "http.response.start", "status": response.status}
        await send({**start, "headers": headers})
        return await send({"type": "http.response.body", "body": response.content})


async def _async_read_body(receive: Receive) -> bytes:
    parts: list[bytes] = []
    more = True
    while more:
        message = await receive()
        parts.append(message.get("body", b""))
        more = message.get("more_body", False)
    return b"".join(parts)


async def async_run_bare_hop(targets: list[str]) -> None:
    """Run the bare hop until it is told to stop."""
    hop = BareHop(targets=targets)
    server = HttpServer(app=hop, bind="127.0.0.1:0", graceful_timeout_s=0.1)
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        _LOGGER.info("listening", extra={"event": "listening", "http": server.address})
        await async_wait_for_stop()
        nursery.cancel_scope.cancel()
    await hop.close()


if __name__ == "__main__":
    set_up_logs(instance="bare-hop", zone="")
    trio.run(async_run_bare_hop, sys.argv[1:])
