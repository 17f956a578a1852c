"""The operator's switch for learned durations."""

from __future__ import annotations

from typing import Final

from heatherkeel.helpers import switch

SWITCH_VARIABLE: Final = "HEATHERKEEL_LEARNED_DURATIONS"
"""Environment variable; `off` means that declared durations are always used."""


def is_switched_on() -> bool:
    """Return whether learned durations may be used in this process."""
    return switch.is_switched_on(SWITCH_VARIABLE)
