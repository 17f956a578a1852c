"""Constants of the catalogue."""

from __future__ import annotations

from typing import Final

MAX_ENTRY_BYTES: Final = 64 * 1024
"""Maximum size of an encoded catalogue entry, in bytes."""

MAX_NAME_CHARS: Final = 64
"""Maximum length of an entry name, in characters."""

END_OF_TEXT: Final = r"$(?!\n)"
"""Matches only at the end of the text; `$` alone also matches before a final line break."""

NAME_PATTERN: Final = rf"^[a-z0-9]([a-z0-9._-]*[a-z0-9])?{END_OF_TEXT}"
"""Allowed entry names; they are used in paths and metric labels."""

PATH_PREFIX_PATTERN: Final = rf"^/[^?#\s\x00-\x1f\x7f]*{END_OF_TEXT}"
"""A decoded path without characters that can't appear in a request line."""

MAX_NAMES_IN_FAULT: Final = 5
"""Maximum number of entries listed in a rejection, which is stored in the state."""
