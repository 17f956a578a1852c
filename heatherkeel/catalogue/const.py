"""Constants of the catalogue."""

from __future__ import annotations

from typing import Final

MAX_ENTRY_BYTES: Final = 64 * 1024
"""Largest encoded catalogue entry."""

MAX_NAME_CHARS: Final = 64
"""Longest entry name, in characters."""

END_OF_TEXT: Final = r"$(?!\n)"
"""`$` alone would also match before a final line break."""

NAME_PATTERN: Final = rf"^[a-z0-9]([a-z0-9._-]*[a-z0-9])?{END_OF_TEXT}"
"""Names go into paths and metric labels, so only a safe set of characters is taken."""

PATH_PREFIX_PATTERN: Final = rf"^/[^?#\s\x00-\x1f\x7f]*{END_OF_TEXT}"
"""A path as it is after decoding, with nothing that a request line can't carry."""

MAX_NAMES_IN_FAULT: Final = 5
"""How many entries one refusal names; it is kept in the state for a while."""
