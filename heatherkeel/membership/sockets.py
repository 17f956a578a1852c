"""ZeroMQ sockets in a trio loop."""

from __future__ import annotations

import logging
from collections.abc import Callable
from contextlib import suppress

import trio
import zmq

from .const import (
    HANDSHAKE_TIMEOUT_MS,
    MAX_MESSAGE_BYTES,
    MAX_MESSAGES_PER_DRAIN,
    MAX_QUEUED_MESSAGES,
    MAX_QUEUED_QUESTIONS,
    ROUTER_BUFFER_BYTES,
)

_LOGGER = logging.getLogger(__name__)

Frames = list[bytes]
ZMQ_HEARTBEAT_INTERVAL_MS = 1_000
ZMQ_HEARTBEAT_TIMEOUT_MS = 5_000
RECONNECT_MS = 100
MAX_RECONNECT_MS = 5_000


class EdgeSocket:
    """One ZeroMQ socket; `handle` gets the frames of every message.

    ZeroMQ's file descriptor is edge-triggered, and any call on the socket, including a send, may
    consume the edge. So the socket is read until it would block after each wake-up, and its
    events are checked again after each send. Otherwise a message that arrives during a send
    would stay unread until the next one.
    """

    def __init__(
        self,
        *,
        context: zmq.Context[zmq.Socket[bytes]],
        kind: int,
        handle: Callable[[Frames], None],
    ) -> None:
        self.socket = context.socket(kind)
        self.handle = handle
        self.draining = False
        self.scope = trio.CancelScope()
        self.nursery: trio.Nursery | None = None
        self.dropped = 0
        """Messages that couldn't be sent without waiting."""
        for option, value in (
            (zmq.LINGER, 0),
            (zmq.IMMEDIATE, 1 if kind == zmq.DEALER else 0),
            (zmq.SNDHWM, MAX_QUEUED_MESSAGES),
            (zmq.RCVHWM, MAX_QUEUED_MESSAGES),
            (zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES),
            (zmq.HEARTBEAT_IVL, ZMQ_HEARTBEAT_INTERVAL_MS),
            (zmq.HEARTBEAT_TIMEOUT, ZMQ_HEARTBEAT_TIMEOUT_MS),
            (zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS),
            (zmq.RECONNECT_IVL, RECONNECT_MS),
            (zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS),
        ):
            self.socket.setsockopt(option, value)
        if kind == zmq.ROUTER:
            # Anybody may send to it, and the kernel's own limits are megabytes for a connection.
            self.socket.setsockopt(zmq.RCVBUF, ROUTER_BUFFER_BYTES)
            self.socket.setsockopt(zmq.SNDBUF, ROUTER_BUFFER_BYTES)
            self.socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_QUESTIONS)

    def start(self, nursery: trio.Nursery) -> None:
        """Start receiving."""
        self.nursery = nursery
        nursery.start_soon(self._async_run)

    def close(self) -> None:
        """Close the socket; queued messages are lost."""
        if self.socket.closed:
            return
        self.scope.cancel()
        trio.lowlevel.notify_closing(self.socket.fileno())
        self.socket.close()

    def send(self, frames: Frames) -> bool:
        """Send without waiting; False if the queue is full or nobody is connected."""
        if self.socket.closed:
            return False
        try:
            self.socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.Again:
            self.dropped += 1
            return False
        finally:
            self._drain_soon()
        return True

    async def _async_run(self) -> None:
        with self.scope, suppress(trio.ClosedResourceError):
            while not self.socket.closed:
                if self._drain():
                    await trio.lowlevel.checkpoint()
                else:
                    await trio.lowlevel.wait_readable(self.socket.fileno())

    def _drain_soon(self) -> None:
        """Start a task that handles messages that arrived during a send."""
        if self.draining or self.socket.closed or self.nursery is None:
            return
        if self._has_message():
            self.nursery.start_soon(self._async_drain)

    async def _async_drain(self) -> None:
        while self._drain():
            await trio.lowlevel.checkpoint()

    def _drain(self) -> bool:
        """Handle received messages; return True if there may be more."""
        if self.draining:
            return False
        self.draining = True
        try:
            for _ in range(MAX_MESSAGES_PER_DRAIN):
                if self.socket.closed or not self._has_message():
                    return False
                self.handle(self.socket.recv_multipart(zmq.NOBLOCK))
        finally:
            self.draining = False
        return True

    def _has_message(self) -> bool:
        return bool(int(self.socket.getsockopt(zmq.EVENTS)) & zmq.POLLIN)
