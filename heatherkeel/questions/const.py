"""Times of questions between processes."""

from __future__ import annotations

from typing import Final

ANSWER_TIMEOUT_S: Final = 0.5
"""Longest wait for one answer, in seconds; owners answer within a few milliseconds, and callers
wait for 3 s, so that a second try and a look into the store still fit."""
CONNECT_POLL_S: Final = 0.01
"""Pause between tries to send on a connection that is being made, in seconds."""
UNUSED_AFTER_MS: Final = 20_000
"""A connection that nobody has used for this long is closed, in milliseconds. The library goes on
trying to connect to a machine that has been removed, for as long as the socket is open."""
