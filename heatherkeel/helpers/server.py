"""Starts and stops an HTTP server on a given port."""

from __future__ import annotations

import logging

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from .asgi import App


class HttpServer:
    """One hypercorn server in this process's loop."""

    def __init__(self, *, app: App, bind: str, graceful_timeout_s: float = 10.0) -> None:
        self.app = app
        self.address = bind
        self.config = Config()
        self.config.bind = [bind]
        self.config.accesslog = None
        # Without a logger the library drops what an application raises, and the caller's 500
        # has no trace anywhere.
        self.config.errorlog = logging.getLogger("hypercorn.error")
        self.config.graceful_timeout = graceful_timeout_s
        self.config.include_server_header = False
        self.config.use_reloader = False
        self.started = False
        self.stopping = trio.Event()
        self.stopped = trio.Event()

    async def start(self, nursery: trio.Nursery) -> str:
        """Open the port and return its address as `host:port`."""
        urls = await nursery.start(self._async_serve)
        self.started = True
        self.address = str(urls[0]).split("//", 1)[1]
        return self.address

    async def _async_serve(self, task_status: trio.TaskStatus[list[str]]) -> None:
        try:
            await serve(
                self.app,  # type: ignore[arg-type]
                self.config,
                shutdown_trigger=self.stopping.wait,
                task_status=task_status,
                mode="asgi",
            )
        finally:
            self.stopped.set()

    async def close(self, *, finish_timeout_s: float | None = None) -> None:
        """Take no new connection, let requests in progress finish, then return.

        What has not finished after `finish_timeout_s` seconds is cut off.
        """
        if finish_timeout_s is not None:
            self.config.graceful_timeout = finish_timeout_s
        self.stopping.set()
        await self.stopped.wait()
