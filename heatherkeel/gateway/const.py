"""Timeouts and limits of the job API."""

from __future__ import annotations

from typing import Final

DEFAULT_DEADLINE_MS: Final = 3000
"""Deadline of a request without a deadline header, in milliseconds."""
MAX_DEADLINE_DIGITS: Final = 9
"""Maximum number of digits of a deadline; Python refuses to convert some thousands."""
ANSWER_MARGIN_MS: Final = 150
"""Part of the deadline that is reserved for sending the response, in milliseconds."""
APPEND_TIMEOUT_S: Final = 1.0
"""Timeout of one append of a submission, in seconds. Appends are idempotent and can be retried."""
NOT_READY_LOOKUP_TIMEOUT_S: Final = 0.8
"""Timeout of a job lookup in a process that is not ready, in seconds, so that the caller can soon
retry at another process."""
OWNER_TIME_FRACTION: Final = 0.7
"""Fraction of the remaining time that a partition's owner has to store a record; the rest is for
finding out whether it was stored."""
APPEND_RETRY_DELAY_S: Final = 0.1
CONFIG_WAIT_S: Final = 0.3
"""How long a request waits for a recent configuration, in seconds; long enough for one question to
another process."""
HOME_WAIT_S: Final = 0.8
"""How long a request waits for the home of a new queue, in seconds; long enough for the fleet's
owner to store it and for this process to read it."""
HOME_CHECK_S: Final = 0.05
RETRY_SOON_S: Final = 1
"""Retry-After for short conditions such as the store's rate limit per second, in seconds."""
RETRY_LATER_S: Final = 2
"""Retry-After when the store is unavailable, in seconds."""
MAX_AWAY_RETRY_S: Final = 4
"""Longest Retry-After while the store answers nothing, in seconds."""
RECENT_JOBS_MS: Final = 10_000
"""How long an accepted job is remembered, in milliseconds; longer than its owner takes to read it
from the store."""
CACHED_MAX_AGE_MS: Final = 800
"""Longest age of cached partition records when the owner is unresponsive, in milliseconds."""
