"""HTTP server that runs an ASGI application."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from .asgi import App, Message, Receive, Send, async_respond_problem
from .groups import find_system_error

MAX_HEADER_BYTES: Final = 16 * 1024
"""Maximum size of the request target and headers in bytes; a larger request gets 431."""

KEEP_ALIVE_S: Final = 75.0
"""Idle timeout of a caller's connection in seconds.

It exceeds the idle timeout of load balancers (60 s), so that a connection isn't closed while a
request is in transit.
"""


class HttpServer:
    """A hypercorn server in the event loop of this process."""

    def __init__(
        self,
        *,
        app: App,
        bind: str,
        graceful_timeout_s: float = 10.0,
        certfile: str = "",
        keyfile: str = "",
        on_headers_too_large: Callable[[], None] = lambda: None,
    ) -> None:
        self.app = limit_headers(app, on_headers_too_large)
        self.address = bind
        self.config = Config()
        self.config.bind = [bind]
        self.config.accesslog = None
        # Without a logger hypercorn discards the exceptions of the application.
        self.config.errorlog = logging.getLogger("hypercorn.error")
        self.config.graceful_timeout = graceful_timeout_s
        self.config.include_server_header = False
        self.config.use_reloader = False
        self.started = False
        self.config.h11_max_incomplete_size = MAX_HEADER_BYTES
        self.config.certfile = certfile or None
        self.config.keyfile = keyfile or None
        # Use HTTP/1.1 only, so that the same limits apply with and without TLS.
        self.config.alpn_protocols = ["http/1.1"]
        self.config.keep_alive_timeout = KEEP_ALIVE_S
        self.stopping = trio.Event()
        self.stopped = trio.Event()

    async def start(self, nursery: trio.Nursery) -> str:
        """Start listening and return the address as `host:port`, or raise `OSError` with it."""
        try:
            urls = await nursery.start(self._async_serve)
        except (OSError, BaseExceptionGroup) as err:
            error = find_system_error(err)
            if error is None:
                raise
            raise OSError(error.errno, f"{error.strerror}: {self.address}") from err
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
        """Stop accepting connections and wait for requests in progress.

        Requests that have not finished after `finish_timeout_s` seconds are cancelled.
        """
        if finish_timeout_s is not None:
            self.config.graceful_timeout = finish_timeout_s
        self.stopping.set()
        await self.stopped.wait()


def limit_headers(app: App, on_refusal: Callable[[], None]) -> App:
    """Reject requests with too large headers, and call `on_refusal` for each.

    hypercorn checks its own limit only for incomplete headers, so it would accept or reject the
    same request depending on timing.
    """

    async def async_limited(scope: Message, receive: Receive, send: Send) -> None:
        size = _header_size(scope) if scope["type"] == "http" else 0
        if size <= MAX_HEADER_BYTES:
            return await app(scope, receive, send)
        on_refusal()
        return await async_respond_problem(
            send,
            status=431,
            kind="headers_too_large",
            title="The headers are too large",
            detail=f"{size} bytes, at most {MAX_HEADER_BYTES} are taken",
            headers={"connection": "close"},
        )

    return async_limited


def _header_size(scope: Message) -> int:
    fields = sum(len(name) + len(value) for name, value in scope["headers"])
    return fields + len(scope["raw_path"]) + len(scope["query_string"])
