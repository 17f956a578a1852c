"""HTTP/1.1 server for ASGI applications that answer each request completely.

It imports a fraction of what `helpers/server.py` does, and serves neither TLS nor upgrades.
"""

from __future__ import annotations

from typing import Final

import trio

from .api_connection import ApiConnection
from .asgi import App
from .header_limit import limit_headers

BACKLOG: Final = 100
"""Connections that wait to be accepted."""


class ApiServer:
    """Listens at one address, in the event loop of this process."""

    def __init__(self, *, app: App, bind: str) -> None:
        self.app = limit_headers(app, lambda: None)
        self.address = bind
        self.accepting = trio.CancelScope()
        self.connections: set[ApiConnection] = set()
        self.finish_timeout_s = 10.0
        self.stopped = trio.Event()

    async def start(self, nursery: trio.Nursery) -> str:
        """Start listening and return the address as `host:port`, or raise `OSError` with it."""
        host, _, port = self.address.rpartition(":")
        try:
            listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)
        except OSError as err:
            raise OSError(err.errno, f"{err.strerror}: {self.address}") from err
        self.address = f"{host}:{listeners[0].socket.getsockname()[1]}"
        nursery.start_soon(self._async_serve, listeners)
        return self.address

    async def close(self, *, finish_timeout_s: float) -> None:
        """Stop accepting connections and wait for requests in progress.

        Requests that have not finished after `finish_timeout_s` seconds are cancelled.
        """
        self.finish_timeout_s = finish_timeout_s
        self.accepting.cancel()
        await self.stopped.wait()

    async def _async_serve(self, listeners: list[trio.SocketListener]) -> None:
        try:
            async with trio.open_nursery() as nursery:
                with self.accepting:
                    await trio.serve_listeners(
                        self._async_serve_connection, listeners, handler_nursery=nursery
                    )
                for connection in self.connections:
                    connection.stop()
                nursery.cancel_scope.deadline = trio.current_time() + self.finish_timeout_s
        finally:
            self.stopped.set()

    async def _async_serve_connection(self, stream: trio.SocketStream) -> None:
        connection = ApiConnection(app=self.app, stream=stream)
        self.connections.add(connection)
        try:
            await connection.async_run()
        finally:
            self.connections.discard(connection)
            with trio.CancelScope(shield=True):
                await stream.aclose()
