"""The connection to one peer, and whether it is silent."""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio
import zmq

from .messages import Heartbeat, HeartbeatAck, PeerMessage, encode_message
from .sockets import EdgeSocket, Frames
from .suspicion import SilenceBound

_LOGGER = logging.getLogger(__name__)

REMEMBERED_HEARTBEATS = 16


class PeerLink:
    """One DEALER connected to a peer's ROUTER; it is opened anew when no answer comes."""

    def __init__(
        self,
        *,
        context: zmq.Context[zmq.Socket[bytes]],
        address: str,
        hear: Callable[[PeerLink, Frames], None],
    ) -> None:
        self.context = context
        self.address = address
        self.hear = hear
        self.incarnation = ""
        """Of the process that answered last."""
        self.socket: EdgeSocket | None = None
        self.silence = SilenceBound()
        self.number = 0
        self.sent_ms: dict[int, int] = {}
        self.heard_ms = 0
        self.waiting_since_ms = 0
        """When the first heartbeat without an answer was sent; 0 if all are answered."""

    def open(self, nursery: trio.Nursery) -> None:
        """Connect; an address that is none leaves the link without a socket.

        Addresses come from records and messages of other processes. One bad record must not end
        every process that reads it.
        """
        self.waiting_since_ms = 0
        self.heard_ms = 0
        socket = EdgeSocket(context=self.context, kind=zmq.DEALER, handle=self._hear)
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
        """Disconnect; what is under way is lost."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def send(self, message: PeerMessage) -> bool:
        """Send a message that may be lost."""
        return self.socket is not None and self.socket.send([encode_message(message)])

    def next_number(self) -> int:
        """Return the number of the next heartbeat."""
        self.number += 1
        return self.number

    def beat(self, heartbeat: Heartbeat, now_ms: int) -> None:
        """Send a heartbeat, and remember when."""
        if self.socket is None:
            return
        self.sent_ms[heartbeat.number] = now_ms
        self.sent_ms.pop(heartbeat.number - REMEMBERED_HEARTBEATS, None)
        self.waiting_since_ms = self.waiting_since_ms or now_ms
        self.send(heartbeat)

    def hear_ack(self, ack: HeartbeatAck, now_ms: int) -> int | None:
        """Note an answer, and return when its heartbeat was sent."""
        if self.heard_ms:
            self.silence.hear(now_ms - self.heard_ms)
        self.heard_ms = now_ms
        self.waiting_since_ms = 0
        self.incarnation = ack.incarnation
        return self.sent_ms.pop(ack.number, None)

    def is_silent(self, now_ms: int) -> bool:
        """Say whether heartbeats were without an answer for too long.

        Something between both ends can lose track of a connection: nothing comes any more and no
        error is told, while a new connection works.
        """
        if not self.waiting_since_ms:
            return False
        return now_ms - self.waiting_since_ms > self.silence.bound_ms()

    def _hear(self, frames: Frames) -> None:
        self.hear(self, frames)
