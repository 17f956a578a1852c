"""HTTP server that runs an ASGI application."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable, Mapping
from contextlib import suppress
from functools import partial

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.utils import repr_socket_addr
from prometheus_client import CollectorRegistry

from heatherkeel.helpers.asgi import App
from heatherkeel.helpers.timers import TimerService

from .app import GuardedApp
from .connection import ConnectionServer
from .const import (
    ACCEPT_PAUSE_S,
    KEEP_ALIVE_S,
    LONGEST_ERROR_CHARS,
    MAX_HEADER_BYTES,
    SWEEP_INTERVAL_MS,
)
from .metrics import ServerMetrics
from .models import CloseReason, ServerLimits
from .stream import GuardedStream
from .table import ConnectionTable, OpenConnection

_LOGGER = logging.getLogger(__name__)


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
        name: str = "http",
        limits: ServerLimits | None = None,
        metrics: ServerMetrics | None = None,
        refusal_headers: Mapping[str, str] | None = None,
    ) -> None:
        self.limits = limits or ServerLimits()
        self.metrics = metrics or ServerMetrics(registry=CollectorRegistry())
        self.table = ConnectionTable(limits=self.limits, metrics=self.metrics, name=name)
        self.table.on_headers_too_large = on_headers_too_large
        guarded = GuardedApp(app=app, table=self.table, refusal_headers=refusal_headers or {})
        self.app = ASGIWrapper(guarded)  # type: ignore[arg-type]
        self.address = bind
        self.config = _make_config(bind, certfile=certfile, keyfile=keyfile)
        self.config.graceful_timeout = graceful_timeout_s
        self.config.ssl_handshake_timeout = self.limits.read_timeout_s
        self.ssl_context = self.config.create_ssl_context()
        self.context = WorkerContext(None)
        self.timers = TimerService()
        self.timers.subscribe(
            name="sweep", interval_ms=SWEEP_INTERVAL_MS, callback=self.table.async_sweep
        )
        self.started = False
        self.stopping = trio.Event()
        self.stopped = trio.Event()

    async def start(self, nursery: trio.Nursery) -> str:
        """Start listening and return the address as `host:port`, or raise `OSError` with it."""
        try:
            listening = self._listen()
        except OSError as err:
            raise OSError(err.errno, f"{err.strerror}: {self.address}") from err
        self.address = repr_socket_addr(listening.family, listening.getsockname())
        self.started = True
        nursery.start_soon(self._async_serve, listening)
        return self.address

    def _listen(self) -> socket.socket:
        sockets = self.config.create_sockets()
        listening = [*sockets.secure_sockets, *sockets.insecure_sockets][0]
        size = self.limits.socket_buffer_bytes
        if size:
            # Accepted connections inherit them.
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
        listening.listen(self.config.backlog)
        return listening

    async def close(self, *, finish_timeout_s: float | None = None) -> None:
        """Stop accepting connections and wait for requests in progress.

        Requests that have not finished after `finish_timeout_s` seconds are cancelled.
        """
        if finish_timeout_s is not None:
            self.config.graceful_timeout = finish_timeout_s
        self.stopping.set()
        await self.stopped.wait()

    async def _async_serve(self, listening: socket.socket) -> None:
        try:
            async with trio.open_nursery() as connections:
                async with trio.open_nursery() as accepting:
                    self.timers.start(accepting)
                    accepting.start_soon(self._async_accept, listening, connections)
                    await self.stopping.wait()
                    accepting.cancel_scope.cancel()
                await self.context.terminated.set()
                timeout_s = self.config.graceful_timeout
                connections.cancel_scope.deadline = trio.current_time() + timeout_s
        finally:
            self.stopped.set()

    async def _async_accept(self, listening: socket.socket, connections: trio.Nursery) -> None:
        with trio.socket.from_stdlib_socket(listening) as sock:
            listener = trio.SocketListener(sock)
            while True:
                await trio.lowlevel.wait_readable(sock)
                await self.table.async_make_room()
                try:
                    stream = await listener.accept()
                except OSError as err:
                    self._log_failed_accept(err)
                    await trio.sleep(ACCEPT_PAUSE_S)
                else:
                    connection = _open(stream)
                    self.table.add(connection)
                    connections.start_soon(self._async_handle, stream, connection)

    async def _async_handle(self, stream: trio.SocketStream, connection: OpenConnection) -> None:
        """Serve a connection; an exception ends this connection only."""
        guarded = GuardedStream(
            stream=stream,
            connection=connection,
            on_send_timeout=partial(self.table.close, connection, CloseReason.SEND_TIMEOUT),
        )
        connection.abort = guarded.reset
        try:
            with connection.scope:
                await self._async_serve_connection(guarded, connection)
        except Exception as err:
            self._end_after_error(connection, err)
        except BaseExceptionGroup as group:
            cancelled, errors = group.split(trio.Cancelled)
            if errors is not None:
                self._end_after_error(connection, errors)
            if cancelled is not None:
                raise cancelled from None
        finally:
            self.table.remove(connection)
            guarded.reset()

    async def _async_serve_connection(
        self, guarded: GuardedStream, connection: OpenConnection
    ) -> None:
        stream: trio.abc.Stream = guarded
        if self.ssl_context is not None:
            stream = trio.SSLStream(
                guarded, self.ssl_context, server_side=True, https_compatible=True
            )
        server = ConnectionServer(
            app=self.app,
            config=self.config,
            context=self.context,
            table=self.table,
            connection=connection,
            guarded=guarded,
            stream=stream,
        )
        await server.run()

    def _end_after_error(self, connection: OpenConnection, err: BaseException) -> None:
        """Close a connection whose bytes raised an exception, which would end the process."""
        error = repr(_first_error(err))[:LONGEST_ERROR_CHARS]
        _LOGGER.warning(
            "connection failed",
            extra={"event": "connection_failed", "server": self.table.name, "error": error},
        )
        self.table.close(connection, CloseReason.ERROR)

    def _log_failed_accept(self, err: OSError) -> None:
        _LOGGER.error(
            "cannot accept a connection",
            extra={"event": "accept_failed", "server": self.table.name, "detail": str(err)},
        )


def _make_config(bind: str, *, certfile: str, keyfile: str) -> Config:
    config = Config()
    config.bind = [bind]
    config.accesslog = None
    # Without a logger hypercorn discards the exceptions of the application.
    config.errorlog = logging.getLogger("hypercorn.error")
    config.include_server_header = False
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.certfile = certfile or None
    config.keyfile = keyfile or None
    # Use HTTP/1.1 only, so that the same limits apply with and without TLS.
    config.alpn_protocols = ["http/1.1"]
    config.keep_alive_timeout = KEEP_ALIVE_S
    return config


def _open(stream: trio.SocketStream) -> OpenConnection:
    peer = ""
    with suppress(OSError):
        peer = str(stream.socket.getpeername()[0])
    now_s = trio.current_time()
    return OpenConnection(peer=peer, began_s=now_s, moved_s=now_s)


def _first_error(err: BaseException) -> BaseException:
    """Return the first error of a group."""
    while isinstance(err, BaseExceptionGroup):
        err = err.exceptions[0]
    return err
