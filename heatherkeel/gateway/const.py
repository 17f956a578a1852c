"""Times of the callers' side."""

from __future__ import annotations

from typing import Final

DEFAULT_DEADLINE_MS: Final = 3000
"""How long a caller waits that doesn't say so, in milliseconds."""
ANSWER_MARGIN_MS: Final = 150
"""Time for the answer's way back to its caller, in milliseconds."""
APPEND_TIMEOUT_S: Final = 1.0
"""Longest wait for one append of a submission, in seconds. It can be repeated, since a second
record of the same job changes nothing, so it pays to try again on a new connection."""
CUT_OFF_LOOKUP_S: Final = 0.8
"""Longest wait for a job's state in a process that the store doesn't answer, in seconds. Its owner
answers within milliseconds if it can be reached; if not, the caller's next try meets another
process. Waiting for the store until the caller's deadline would cost it two seconds more."""
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
