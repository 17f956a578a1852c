"""The limits of one server, and the phases of its connections."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .const import (
    GRACE_S,
    MAX_FIELDS,
    READ_TIMEOUT_S,
    REFUSED_SHARE,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLimits:
    """Limits of one HTTP server; the defaults suit servers without unknown clients."""

    connections: int = 10_000
    """Maximum number of open connections."""
    body_bytes: int = 1 << 30
    """Maximum size in bytes of all that requests hold at once beyond what is free for each."""
    fields: int = MAX_FIELDS
    """Maximum number of headers of a request."""
    grace_s: float = GRACE_S
    """How long a connection may stand still while the server is full, in seconds."""
    read_timeout_s: float = READ_TIMEOUT_S
    """Timeout for a request's head and, unless its caller waits for longer, its body."""
    socket_buffer_bytes: int = 0
    """Size of the kernel's buffers of a connection in bytes; 0 leaves it to the kernel."""

    def requests(self) -> int:
        """Return how many requests may be in progress at once."""
        return max(1, self.connections - self.connections // REFUSED_SHARE)


class Phase(StrEnum):
    """What a connection is doing."""

    NEW = "new"
    """Nothing has been received."""
    HEAD = "head"
    BODY = "body"
    RUNNING = "running"
    """A request has been received completely and isn't answered yet."""
    IDLE = "idle"
    CLOSING = "closing"
    """Its last answer was sent; what still arrives is discarded."""


class CloseReason(StrEnum):
    """Why a server has ended a connection, as used in logs and metrics."""

    FULL = "full"
    """It stood still or was slow, and another connection or request needed its room."""
    READ_TIMEOUT = "read_timeout"
    SEND_TIMEOUT = "send_timeout"
    ERROR = "error"
    """Its bytes, or the handling of them, raised an exception."""


class RequestRefusal(StrEnum):
    """Why a server has refused a request before the application saw it."""

    BUSY = "server_busy"
    TOO_MANY_FIELDS = "too_many_headers"
    HEADERS_TOO_LARGE = "headers_too_large"
    WRONG_VERSION = "wrong_http_version"
