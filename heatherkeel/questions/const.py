"""Timeouts and intervals of questions between processes."""

from __future__ import annotations

from typing import Final

ANSWER_TIMEOUT_S: Final = 0.5
"""Timeout for one answer, in seconds; leaves callers time for a retry and a read of the store."""
CONNECT_POLL_S: Final = 0.01
"""Interval between attempts to send while a connection is being established, in seconds."""
UNUSED_AFTER_MS: Final = 20_000
"""Idle time after which a connection is closed, in milliseconds.

ZeroMQ would try to reconnect to a removed machine for as long as the socket is open.
"""
