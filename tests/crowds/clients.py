"""Many clients of one port, each with a connection and a script of what it sends."""

from __future__ import annotations

import errno
import selectors
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from types import TracebackType
from typing import Final

POLL_S: Final = 0.02
RECEIVED_BYTES: Final = 64 * 1024
MAX_KEPT_BYTES: Final = 4096
"""How much of the answers a client keeps, in bytes."""
_CONNECTING: Final = (0, errno.EINPROGRESS)

Script = Callable[[], Iterable[bytes]]
"""Returns what a client sends, piece by piece; its connection stays open after the last one."""


@dataclass(kw_only=True)
class Client:
    """One client; it comes back with a new connection if `returns`."""

    script: Script
    reads: bool
    returns: bool
    pause_s: float
    """Time between two pieces, in seconds."""
    sock: socket.socket | None = None
    pieces: Iterator[bytes] = field(default_factory=lambda: iter(()))
    unsent: bytes = b""
    next_s: float = 0.0
    """When the next piece may be sent."""
    received: bytes = b""
    connections: int = 0
    is_closed: bool = False
    """The server has ended its connection."""
    has_connected: bool = False


@dataclass(kw_only=True)
class Crowd:
    """Clients that one thread drives; they stay until `close`."""

    address: str
    count: int
    script: Script
    reads: bool = True
    returns: bool = False
    pause_s: float = 0.0
    clients: list[Client] = field(default_factory=list)
    stopping: threading.Event = field(default_factory=threading.Event)

    def __enter__(self) -> Crowd:
        self.clients = [
            Client(script=self.script, reads=self.reads, returns=self.returns, pause_s=self.pause_s)
            for _ in range(self.count)
        ]
        self.selector = selectors.DefaultSelector()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        err: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stopping.set()
        self.thread.join()
        for client in self.clients:
            self._disconnect(client)
        self.selector.close()

    def change_script(self, script: Script) -> None:
        """Let all clients go on with another script on the connections that they have."""
        for client in self.clients:
            client.script = script
            client.pieces = iter(script())

    def has_sent_all(self) -> bool:
        """Return whether each client has sent its script, or its connection was ended."""
        return all(client.is_closed or client.next_s == float("inf") for client in self.clients)

    def answers(self) -> list[bytes]:
        """Return the first bytes that each client has received; empty for none."""
        return [client.received for client in self.clients]

    def _run(self) -> None:
        for client in self.clients:
            self._connect(client)
        while not self.stopping.is_set():
            for key, events in self.selector.select(POLL_S):
                self._handle(key.data, events)
            self._resume()

    def _handle(self, client: Client, events: int) -> None:
        if client.sock is not None and events & selectors.EVENT_READ:
            self._receive(client)
        if client.sock is not None and events & selectors.EVENT_WRITE:
            self._send(client)

    def _resume(self) -> None:
        """Go on with clients whose pause is over or that come back."""
        now_s = time.monotonic()
        for client in self.clients:
            if client.sock is None and client.returns:
                self._connect(client)
            elif client.sock is not None and client.has_connected and client.next_s <= now_s:
                self._watch(client, writes=True)

    def _connect(self, client: Client) -> None:
        host, _, port = self.address.rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        code = sock.connect_ex((host, int(port)))
        if code not in _CONNECTING:
            sock.close()
            return
        client.sock = sock
        client.pieces = iter(client.script())
        client.unsent = b""
        client.next_s = 0.0
        client.connections += 1
        client.is_closed = False
        client.has_connected = False
        self.selector.register(sock, selectors.EVENT_WRITE, client)

    def _disconnect(self, client: Client) -> None:
        if client.sock is None:
            return
        with suppress(KeyError, ValueError):
            self.selector.unregister(client.sock)
        client.sock.close()
        client.sock = None
        client.is_closed = True

    def _watch(self, client: Client, *, writes: bool) -> None:
        """Wait for what a client can do next; one that neither reads nor writes isn't watched."""
        assert client.sock is not None
        events = (selectors.EVENT_WRITE if writes else 0) | (
            selectors.EVENT_READ if client.reads else 0
        )
        known = client.sock in self.selector.get_map()
        if known and not events:
            self.selector.unregister(client.sock)
        elif known:
            self.selector.modify(client.sock, events, client)
        elif events:
            self.selector.register(client.sock, events, client)

    def _send(self, client: Client) -> None:
        assert client.sock is not None
        client.has_connected = True
        if not client.unsent:
            if client.next_s > time.monotonic():
                return self._watch(client, writes=False)
            piece = next(client.pieces, None)
            if piece is None:
                client.next_s = float("inf")
                return self._watch(client, writes=False)
            client.unsent = piece
        try:
            sent = client.sock.send(client.unsent)
        except BlockingIOError:
            return None
        except OSError:
            return self._disconnect(client)
        client.unsent = client.unsent[sent:]
        if not client.unsent and client.pause_s:
            client.next_s = time.monotonic() + client.pause_s
            return self._watch(client, writes=False)
        return self._watch(client, writes=True)

    def _receive(self, client: Client) -> None:
        assert client.sock is not None
        try:
            data = client.sock.recv(RECEIVED_BYTES)
        except BlockingIOError:
            return None
        except OSError:
            return self._disconnect(client)
        if not data:
            return self._disconnect(client)
        client.received = (client.received + data)[:MAX_KEPT_BYTES]
        return None
