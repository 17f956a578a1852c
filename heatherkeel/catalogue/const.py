"""Constants of the catalogue."""

from __future__ import annotations

from typing import Final

MAX_ENTRY_BYTES: Final = 64 * 1024
"""Largest encoded catalogue entry."""

MAX_NAME_CHARS: Final = 64
"""Longest entry name, in characters."""

NAME_PATTERN: Final = r"^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$"
"""Names go into paths and metric labels, so only a safe set of characters is taken."""

MAX_NAMES_IN_FAULT: Final = 5
"""How many entries one refusal names; it is kept in the state for a while."""
