"""Constants of the settings."""

from __future__ import annotations

from typing import Final

from heatherkeel.catalogue.const import END_OF_TEXT

MAX_SETTINGS_BYTES: Final = 256 * 1024
"""Maximum size of a settings file, in bytes."""

_OCTET: Final = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_NONZERO_PORT: Final = (
    r"(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
)
_IP: Final = rf"{_OCTET}(?:\.{_OCTET}){{3}}"

BIND_PATTERN: Final = rf"^{_IP}:(?:0|{_NONZERO_PORT}){END_OF_TEXT}"
ADDRESS_PATTERN: Final = rf"^{_IP}:{_NONZERO_PORT}{END_OF_TEXT}"

MIN_RENEWALS_PER_LEASE: Final = 2
"""Ensures that one lost renewal doesn't expire the routing lease of an entry instance."""
