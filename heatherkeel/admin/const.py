"""Constants of the administration API."""

from __future__ import annotations

from typing import Final

from heatherkeel.catalogue.const import MAX_ENTRY_BYTES

MAX_BODY_BYTES: Final = MAX_ENTRY_BYTES
"""Maximum size of a catalogue request body."""

MAX_JOBS_BODY_BYTES: Final = 1024 * 1024
"""Maximum size of a job request body; fits several thousand job ids."""

MAX_JOBS_LISTED: Final = 1_000
"""Maximum number of jobs in one list response."""

BODY_TIMEOUT_S: Final = 10.0
"""Timeout for reading a whole request body."""

REPEAT_FOR_S: Final = 30.0
"""How long a client retries an edit of unknown outcome under its idempotency key."""

EDIT_LIFETIME_MS: Final = 10 * 60 * 1000
"""How long an edit can be retried under its key and its outcome queried, in log milliseconds."""

RETRY_AFTER_S: Final = 5
"""Value of `Retry-After` when the log did not answer."""

IN_PROGRESS_RETRY_AFTER_S: Final = 1

IDEMPOTENCY_KEY_PATTERN: Final = r"[A-Za-z0-9._-]{1,60}"
"""Restricted because the key becomes part of a record id."""

RECORD_HEADER: Final = "heatherkeel-record"
"""Response header with the id of the edit's log record."""

OFFSET_HEADER: Final = "heatherkeel-offset"
"""Response header with the offset in force at this entry instance."""
