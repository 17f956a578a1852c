"""Timeouts and intervals of questions between processes."""

from __future__ import annotations

from typing import Final

ANSWER_TIMEOUT_S: Final = 0.5
"""Timeout for one answer, in seconds; leaves callers time for a retry and a read of the store."""
CONNECT_POLL_S: Final = 0.01
"""Interval between attempts to send while a connection is being established, in seconds."""
CONNECT_TIMEOUT_MS: Final = 500
"""Timeout for a new connection, in milliseconds; TCP itself would wait a second, then three, before
it tries again after a network partition."""
MAX_RECONNECT_MS: Final = 400
"""Longest pause between attempts to connect, in milliseconds."""
MAX_SLOW_BYTES: Final = 8_000_000
"""Maximum size of the questions that wait for calls to the store at once, in bytes; more than a
thousand ordinary jobs."""
UNUSED_AFTER_MS: Final = 20_000
"""Idle time after which a connection is closed, in milliseconds.

ZeroMQ would try to reconnect to a removed machine for as long as the socket is open.
"""
UNANSWERED_BEFORE_REPLACING: Final = 2
"""Consecutive unanswered questions after which a connection may be dead."""
REPLACED_AFTER_MS: Final = 500
"""Time without any message after which it then counts as dead, in milliseconds; a busy process
answers within it."""
