"""Constants of the settings."""

from __future__ import annotations

from typing import Final

MAX_SETTINGS_BYTES: Final = 256 * 1024
"""Largest settings file that is read: several times what 560 teams need."""

_OCTET: Final = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_NONZERO_PORT: Final = (
    r"(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
)
_IP: Final = rf"{_OCTET}(?:\.{_OCTET}){{3}}"
END: Final = r"$(?!\n)"
"""The end of the text; `$` alone would also match before a final line break."""

BIND_PATTERN: Final = rf"^{_IP}:(?:0|{_NONZERO_PORT}){END}"
ADDRESS_PATTERN: Final = rf"^{_IP}:{_NONZERO_PORT}{END}"
SHORT_NAME_PATTERN: Final = rf"^[a-z0-9]([a-z0-9._-]*[a-z0-9])?{END}"

MIN_RENEWALS_PER_LEASE: Final = 2
"""One lost renewal must not cost an entry instance its routing lease."""
