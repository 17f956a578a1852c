"""Constants of the administration API."""

from __future__ import annotations

from typing import Final

from heatherkeel.catalogue.const import MAX_ENTRY_BYTES

MAX_BODY_BYTES: Final = MAX_ENTRY_BYTES
"""Largest body of a request: nothing larger could become an entry."""

MAX_JOBS_BODY_BYTES: Final = 1024 * 1024
"""Room for the ids of several thousand jobs to cancel."""

MAX_JOBS_LISTED: Final = 1_000
"""Jobs that one list shows; it says whether there are more."""

BODY_TIMEOUT_S: Final = 10.0
"""How long the whole body of a request may take to come."""

REPEAT_FOR_S: Final = 30.0
"""How long a client repeats an edit of unknown outcome under its key."""

EDIT_LIFETIME_MS: Final = 10 * 60 * 1000
"""How long an edit can be repeated under one key, and asked for, in log milliseconds."""

RETRY_AFTER_S: Final = 5
"""When to come back after the log did not answer."""

IN_PROGRESS_RETRY_AFTER_S: Final = 1

IDEMPOTENCY_KEY_PATTERN: Final = r"[A-Za-z0-9._-]{1,60}"
"""Short and plain enough to become part of a record id."""

RECORD_HEADER: Final = "heatherkeel-record"
"""Names the log record that carried an edit."""

OFFSET_HEADER: Final = "heatherkeel-offset"
"""The offset in force at the entry instance that answered."""
