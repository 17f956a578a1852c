"""Serves one connection with hypercorn."""

from __future__ import annotations

from contextlib import suppress

import trio
from hypercorn.config import Config
from hypercorn.trio.task_group import TaskGroup
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState, LifespanState
from hypercorn.utils import parse_socket_addr

from .app import CONNECTION_KEY
from .models import Phase
from .protocol import BoundedTaskGroup, Http11Protocol
from .stream import GuardedStream
from .table import ConnectionTable, OpenConnection


class ConnectionServer(TCPServer):
    """Reads requests from a connection and sends the answers of the application."""

    def __init__(
        self,
        *,
        app: AppWrapper,
        config: Config,
        context: WorkerContext,
        table: ConnectionTable,
        connection: OpenConnection,
        guarded: GuardedStream,
        stream: trio.abc.Stream,
    ) -> None:
        state = LifespanState({CONNECTION_KEY: connection})
        super().__init__(app, config, context, state, stream)  # type: ignore[arg-type]
        self.table = table
        self.open_connection = connection
        self.guarded = guarded
        """The connection below TLS."""

    async def run(self) -> None:
        """Serve the connection until it ends."""
        try:
            if not await self._async_shake_hands():
                return
            async with BoundedTaskGroup() as task_group:
                self._task_group = task_group
                self.protocol = self._make_protocol(task_group)  # type: ignore[assignment]
                await self.idle_task.restart(task_group, self._idle_timeout)
                await self._read_data()
        except OSError:
            # The client has gone.
            return
        finally:
            with trio.CancelScope(shield=True):
                await super()._close()

    async def _async_shake_hands(self) -> bool:
        if not isinstance(self.stream, trio.SSLStream):
            return True
        with trio.move_on_after(self.config.ssl_handshake_timeout) as scope:
            try:
                await self.stream.do_handshake()
            except trio.BrokenResourceError:
                return False
        return not scope.cancelled_caught

    def _make_protocol(self, task_group: TaskGroup) -> Http11Protocol:
        socket = self.guarded.socket
        protocol = Http11Protocol(
            self.app,
            self.config,
            self.context,
            task_group,
            ConnectionState(self.state),
            isinstance(self.stream, trio.SSLStream),
            parse_socket_addr(socket.family, socket.getpeername()),
            parse_socket_addr(socket.family, socket.getsockname()),
            self.protocol_send,
        )
        protocol.open_connection = self.open_connection
        protocol.max_fields = self.table.limits.fields
        protocol.on_refusal = self.table.count_refusal
        return protocol

    async def _close(self) -> None:
        """Close the connection; first discard what a client that was answered still sends.

        The reading task does that, and it ends the connection then.
        """
        is_plain = not isinstance(self.stream, trio.SSLStream)
        protocol: Http11Protocol = self.protocol  # type: ignore[assignment]
        if not is_plain or self.guarded.is_discarding or not protocol.has_unread_input():
            return await super()._close()
        self.open_connection.enter(Phase.CLOSING, trio.current_time())
        self.guarded.discard_input()
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError):
            await self.guarded.send_eof()
        return None
