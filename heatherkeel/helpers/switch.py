"""Operators' switches: environment variables by which a part is switched off."""

from __future__ import annotations

import os


def is_switched_on(variable: str) -> bool:
    """Return whether a part may be used in this process; `off` in its variable forbids it."""
    return os.environ.get(variable, "") != "off"
