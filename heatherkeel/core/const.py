"""Constants of the fold."""

from __future__ import annotations

from typing import Final

MAX_RECORD_BYTES: Final = 256 * 1024
"""Largest record that the fold reads; a larger one is skipped as malformed."""

MAX_ID_CHARS: Final = 128
"""Longest record id, in characters."""

MAX_RECORD_LIFETIME_MS: Final = 15 * 60 * 1000
"""Longest time a record may stay appendable, in log milliseconds: it bounds `FleetState.seen`."""

DEFAULT_RECORD_LIFETIME_MS: Final = 60 * 1000
"""Time an author keeps trying to append one record, in log milliseconds."""

SEEN_PURGE_INTERVAL_MS: Final = 10 * 1000
"""How often, in log milliseconds, the fold forgets record ids that can no longer be appended."""
