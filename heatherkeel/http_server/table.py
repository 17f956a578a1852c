"""The open connections of a server, and which of them a full server closes."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from .budget import MemoryBudget, RequestAccount
from .const import (
    DISCARD_S,
    IDLE_GRACE_S,
    LEAST_BYTES_PER_S,
    MAX_READ_TIMEOUT_S,
    PRESSED_SHARE,
    ROOM_CHECK_S,
)
from .metrics import ServerMetrics
from .models import CloseReason, Phase, RequestRefusal, ServerLimits

_LOGGER = logging.getLogger(__name__)


@dataclass(kw_only=True, eq=False)
class OpenConnection:
    """One connection of a client; times are trio's, in seconds."""

    peer: str
    began_s: float
    """When it entered its phase."""
    moved_s: float
    """When bytes were last received or sent."""
    phase: Phase = Phase.NEW
    moved_bytes: int = 0
    """Bytes that were received in its phase."""
    is_sending: bool = False
    account: RequestAccount | None = None
    """What its request holds; None while it has none."""
    abort: Callable[[], None] = lambda: None
    """Resets it."""
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    """Ends its tasks."""

    def enter(self, phase: Phase, now_s: float) -> None:
        """Begin a phase."""
        self.phase = phase
        self.began_s = self.moved_s = now_s
        self.moved_bytes = 0

    def record_received(self, size: int, now_s: float) -> None:
        """Record received bytes, which begin a request if there is none."""
        if self.phase in (Phase.NEW, Phase.IDLE):
            self.enter(Phase.HEAD, now_s)
        self.moved_s = now_s
        self.moved_bytes += size

    def charged_bytes(self) -> int:
        """Return what its request takes of the budget, in bytes."""
        return self.account.charged_bytes if self.account is not None else 0

    def is_dispensable(self, now_s: float, *, grace_s: float) -> bool:
        """Return whether a full server may close it; never while its request runs."""
        age_s = now_s - self.began_s
        still_s = now_s - self.moved_s
        match self.phase:
            case Phase.IDLE:
                return age_s >= IDLE_GRACE_S
            case Phase.RUNNING:
                return self.is_sending and still_s >= grace_s
            case Phase.BODY if still_s < grace_s:
                return age_s >= grace_s and self.moved_bytes < LEAST_BYTES_PER_S * age_s
        return age_s >= grace_s

    def is_overdue(self, now_s: float, *, read_timeout_s: float) -> bool:
        """Return whether its phase has lasted for too long on any server.

        The application limits the time for a body; the limit here holds where it doesn't.
        """
        age_s = now_s - self.began_s
        match self.phase:
            case Phase.HEAD:
                return age_s >= read_timeout_s
            case Phase.BODY:
                return age_s >= max(read_timeout_s, MAX_READ_TIMEOUT_S) + DISCARD_S
            case Phase.CLOSING:
                return age_s >= 2 * DISCARD_S
        return False


class ConnectionTable:
    """The open connections and the memory of their requests."""

    def __init__(self, *, limits: ServerLimits, metrics: ServerMetrics, name: str) -> None:
        self.limits = limits
        self.metrics = metrics
        self.name = name
        self.connections: set[OpenConnection] = set()
        self.budget = MemoryBudget(limit_bytes=limits.body_bytes)
        self.on_headers_too_large: Callable[[], None] = lambda: None
        self.requests = 0
        """Requests in progress."""
        self.removed = trio.Event()
        metrics.add_server(name)
        metrics.connection_limit.labels(name).set(limits.connections)
        metrics.body_limit.labels(name).set(limits.body_bytes)
        metrics.body_bytes.labels(name).set_function(lambda: self.budget.taken_bytes)

    def add(self, connection: OpenConnection) -> None:
        """Add a connection that was accepted."""
        self.connections.add(connection)
        self._show()

    def remove(self, connection: OpenConnection) -> None:
        """Remove a connection that has ended, or that is about to."""
        if connection not in self.connections:
            return
        self.connections.discard(connection)
        self.removed.set()
        self.removed = trio.Event()
        self._show()

    def is_pressed(self) -> bool:
        """Return whether connections should be closed after their answers."""
        free = self.limits.connections - len(self.connections)
        return free * PRESSED_SHARE < self.limits.connections

    def has_room_for_request(self) -> bool:
        """Return whether a request may begin; closes one that stands still if there is no room."""
        if self.requests < self.limits.requests():
            return True
        return self._close_one(lambda item: item.phase in (Phase.BODY, Phase.RUNNING))

    def count_refusal(self, refusal: RequestRefusal) -> None:
        """Count a request that was refused before the application saw it."""
        self.metrics.refused.labels(self.name, refusal.value).inc()
        if refusal in (RequestRefusal.HEADERS_TOO_LARGE, RequestRefusal.TOO_MANY_FIELDS):
            self.on_headers_too_large()

    def open_account(self) -> RequestAccount:
        """Return an account for a new request."""
        return RequestAccount(budget=self.budget, make_room=self._make_room_for)

    async def async_make_room(self) -> None:
        """Wait until another connection may be accepted; close one that stands still if possible.

        The newest isn't refused: connections that stand still would keep everyone else out.
        """
        while len(self.connections) >= self.limits.connections:
            if self._close_one():
                return
            with trio.move_on_after(ROOM_CHECK_S):
                await self.removed.wait()

    async def async_sweep(self) -> None:
        """Close the connections that are over their timeouts; called by a timer."""
        now_s = trio.current_time()
        timeout_s = self.limits.read_timeout_s
        for connection in list(self.connections):
            if connection.is_overdue(now_s, read_timeout_s=timeout_s):
                self.close(connection, CloseReason.READ_TIMEOUT)

    def close(self, connection: OpenConnection, reason: CloseReason) -> None:
        """Reset a connection and end its tasks; what its request held is free at once."""
        self.metrics.closed.labels(self.name, reason.value).inc()
        _LOGGER.info(
            "connection closed",
            extra={
                "event": "connection_closed",
                "server": self.name,
                "reason": reason.value,
                "peer": connection.peer,
                "phase": connection.phase.value,
                "phase_ms": round(1000 * (trio.current_time() - connection.began_s)),
                "moved_bytes": connection.moved_bytes,
                "held_bytes": connection.charged_bytes(),
                "connections": len(self.connections),
            },
        )
        if connection.account is not None:
            connection.account.close()
        self.remove(connection)
        connection.abort()
        connection.scope.cancel()

    def _close_one(self, can_close: Callable[[OpenConnection], bool] = lambda item: True) -> bool:
        """Close the dispensable connection that holds most, or else has stood still longest."""
        now_s = trio.current_time()
        grace_s = self.limits.grace_s
        found = [
            item
            for item in self.connections
            if can_close(item) and item.is_dispensable(now_s, grace_s=grace_s)
        ]
        if not found:
            return False
        chosen = max(found, key=lambda item: (item.charged_bytes(), now_s - item.moved_s))
        self.close(chosen, CloseReason.FULL)
        return True

    def _make_room_for(self, size: int) -> bool:
        """Close requests that hold memory and stand still, until so many bytes are free."""
        while self.budget.taken_bytes + size > self.budget.limit_bytes:
            if not self._close_one(lambda item: item.charged_bytes() > 0):
                return False
        return True

    def _show(self) -> None:
        self.metrics.connections.labels(self.name).set(len(self.connections))
