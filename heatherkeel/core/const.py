"""Constants of the fold."""

from __future__ import annotations

from typing import Final

MAX_RECORD_BYTES: Final = 256 * 1024
"""Largest record that the fold decodes; a larger one is skipped as malformed."""

MAX_ID_CHARS: Final = 128
"""Maximum length of a record id, in characters."""

MAX_RECORD_LIFETIME_MS: Final = 15 * 60 * 1000
"""Maximum lifetime of a record, in log milliseconds; limits the size of `FleetState.seen`."""

DEFAULT_RECORD_LIFETIME_MS: Final = 60 * 1000
"""Default time in which an author retries to append one record, in log milliseconds."""

SEEN_PURGE_INTERVAL_MS: Final = 10 * 1000
"""Interval at which the fold removes expired record ids, in log milliseconds."""
