"""Times of the callers' side."""

from __future__ import annotations

from typing import Final

DEFAULT_DEADLINE_MS: Final = 3000
"""How long a caller waits that doesn't say so, in milliseconds."""
ANSWER_MARGIN_MS: Final = 150
"""Time for the answer's way back to its caller, in milliseconds."""
APPEND_TIMEOUT_S: Final = 2.2
"""Longest wait for one append of submissions, in seconds: a partition refuses what would wait for
more than two. Where the store is as fast as usual, an answer is given up after 0.3 s and the
record sent again on a new connection, which changes nothing if it was stored."""
UNSENT_WAIT_S: Final = 1.0
"""How long a submission waits to be sent, in seconds. Then it is refused, so that its caller can
try another process in time."""
OVERDUE_FACTOR: Final = 3.0
"""An append that takes this many times as long as usual no longer holds up those behind it."""
OVERDUE_LEAST_S: Final = 0.03
"""Nor does one that takes this long where answers usually take some milliseconds, in seconds."""
MAX_GROUP_BYTES: Final = 512 * 1024
"""Bytes of one append at the most, a quarter of what the store takes."""
REPEAT_PAUSE_S: Final = 0.1
RETRY_BUSY_S: Final = 1
"""Retry-After where the store's rate was exceeded, in seconds: it counts by the second."""
RETRY_AWAY_S: Final = 2
"""Retry-After where the store is away, in seconds: outages last for some seconds, and callers
who come back sooner mostly meet the same answer."""
RECENT_MS: Final = 10_000
"""How long a front remembers what it accepted, in milliseconds; the owner reads it from the store
within a second or two, also when the partition changes hands."""
STORED_MAX_AGE_MS: Final = 800
"""How old a reading of a partition's records may be, in milliseconds, where its owner is silent."""
