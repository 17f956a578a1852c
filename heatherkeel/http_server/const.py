"""Limits of connections and requests that no setting changes."""

from __future__ import annotations

from typing import Final

MAX_HEADER_BYTES: Final = 16 * 1024
"""Maximum size of the request target and headers in bytes; a larger request gets 431."""
MAX_FIELDS: Final = 128
"""Maximum number of headers of a request; parsed, each takes many times its bytes."""
KEEP_ALIVE_S: Final = 75.0
"""Idle timeout of a caller's connection in seconds.

It exceeds the idle timeout of load balancers (60 s), so that a connection isn't closed while a
request is in transit.
"""
RECEIVE_BYTES: Final = 16 * 1024
"""Maximum number of bytes taken from a connection at once, so that one doesn't hold the loop."""
SEND_BYTES: Final = 16 * 1024
"""Bytes of an answer after which its progress is recorded."""
SOCKET_BUFFER_BYTES: Final = 16 * 1024
"""Size requested for each of the kernel's buffers of a connection, in bytes; it doubles that."""
CONNECTION_BYTES: Final = 128 * 1024
"""Memory that a connection may take without a body, in bytes: its tasks and objects 24 KiB, a head
and its parsed form 32 KiB, a piece on its way to the application 16 KiB, the kernel's buffers
48 KiB, and `FREE_BODY_BYTES`."""
FREE_BODY_BYTES: Final = 8 * 1024
"""Part of a body that is covered by its connection, in bytes: small requests are served while large
ones take all the memory for bodies."""
GRACE_S: Final = 3.0
"""How long a connection may stand still before a full server may close it, in seconds; as long as
callers wait for an answer where they don't say how long."""
IDLE_GRACE_S: Final = 0.25
"""Likewise between two requests, so that the next one isn't cut off while it is in transit."""
LEAST_BYTES_PER_S: Final = 4 * 1024
"""Rate of a body below which a full server may close its connection after `GRACE_S`. The largest
body would take a minute."""
READ_TIMEOUT_S: Final = 10.0
"""Timeout for a request's head, and for its body unless its caller waits for longer."""
MAX_READ_TIMEOUT_S: Final = 30.0
"""Longest timeout for a request's body, in seconds."""
SEND_TIMEOUT_S: Final = 10.0
"""Timeout for an answer, in seconds, to which its size at `LEAST_BYTES_PER_S` is added."""
DISCARD_S: Final = 3.0
"""How long the rest of a refused request is read, in seconds.

A connection that is closed with unread bytes is reset, and its client may lose the answer."""
SWEEP_INTERVAL_MS: Final = 500
"""Interval at which connections over their timeouts are closed, in milliseconds."""
ROOM_CHECK_S: Final = 0.05
"""Interval at which a full server looks for a connection to close, in seconds."""
ACCEPT_PAUSE_S: Final = 0.1
"""Pause after a failed accept, in seconds."""
RETRY_AFTER_S: Final = 1
"""Retry-After of a request for which there is no room, in seconds."""
REFUSED_SHARE: Final = 8
"""One in so many connections is left for requests that are refused at once."""
PRESSED_SHARE: Final = 4
"""With fewer than one in so many connections free, each is closed after its answer."""
LONGEST_ERROR_CHARS: Final = 200
"""Characters of an error that are logged."""
