"""The operator's switch for learned durations."""

from __future__ import annotations

import os
from typing import Final

SWITCH_VARIABLE: Final = "HEATHERKEEL_LEARNED_DURATIONS"
"""Environment variable; `off` means that declared durations are always used."""


def is_switched_on() -> bool:
    """Return whether learned durations may be used in this process."""
    return os.environ.get(SWITCH_VARIABLE, "") != "off"
