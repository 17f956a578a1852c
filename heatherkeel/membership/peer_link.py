"""The connection to one peer, and the detection that it is unresponsive."""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio
import zmq

from .ack_timeout import AckTimeout
from .messages import Heartbeat, HeartbeatAck, PeerMessage, encode_message
from .sockets import EdgeSocket, Frames

_LOGGER = logging.getLogger(__name__)

MAX_TRACKED_HEARTBEATS = 16


class PeerLink:
    """One DEALER connected to a peer's ROUTER; it is replaced when answers are missing."""

    def __init__(
        self,
        *,
        context: zmq.Context[zmq.Socket[bytes]],
        address: str,
        handle_frames: Callable[[PeerLink, Frames], None],
    ) -> None:
        self.context = context
        self.address = address
        self.handle_frames = handle_frames
        self.incarnation = ""
        """Incarnation of the process that answered last."""
        self.socket: EdgeSocket | None = None
        self.ack_timeout = AckTimeout()
        self.number = 0
        self.sent_ms: dict[int, int] = {}
        self.acked_ms = 0
        self.unacked_since_ms = 0
        """When the first unanswered heartbeat was sent; 0 if all are answered."""

    def open(self, nursery: trio.Nursery) -> None:
        """Connect; an invalid address leaves the link without a socket.

        Addresses come from records and messages of other processes. An invalid one must not end
        every process that reads it.
        """
        self.unacked_since_ms = 0
        self.acked_ms = 0
        socket = EdgeSocket(context=self.context, kind=zmq.DEALER, handle=self._handle_frames)
        try:
            socket.socket.connect(f"tcp://{self.address}")
        except zmq.ZMQError as err:
            extra = {"event": "peer_address_bad", "address": self.address}
            _LOGGER.warning("can't connect to a peer: %s", err, extra=extra)
            socket.close()
            return
        socket.start(nursery)
        self.socket = socket

    def close(self) -> None:
        """Disconnect; messages in transit are lost."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def send(self, message: PeerMessage) -> bool:
        """Send a message without waiting; it may be lost."""
        return self.socket is not None and self.socket.send([encode_message(message)])

    def next_number(self) -> int:
        """Return the number of the next heartbeat."""
        self.number += 1
        return self.number

    def send_heartbeat(self, heartbeat: Heartbeat, now_ms: int) -> None:
        """Send a heartbeat, and store when it was sent."""
        if self.socket is None:
            return
        self.sent_ms[heartbeat.number] = now_ms
        self.sent_ms.pop(heartbeat.number - MAX_TRACKED_HEARTBEATS, None)
        self.unacked_since_ms = self.unacked_since_ms or now_ms
        self.send(heartbeat)

    def record_ack(self, ack: HeartbeatAck, now_ms: int) -> int | None:
        """Record an answer, and return when its heartbeat was sent."""
        if self.acked_ms:
            self.ack_timeout.record_interval(now_ms - self.acked_ms)
        self.acked_ms = now_ms
        self.unacked_since_ms = 0
        self.incarnation = ack.incarnation
        return self.sent_ms.pop(ack.number, None)

    def is_unresponsive(self, now_ms: int) -> bool:
        """Return whether heartbeats have been unanswered for too long.

        A device between both ends can drop a connection without an error, while a new connection
        works.
        """
        if not self.unacked_since_ms:
            return False
        return now_ms - self.unacked_since_ms > self.ack_timeout.timeout_ms()

    def _handle_frames(self, frames: Frames) -> None:
        self.handle_frames(self, frames)
