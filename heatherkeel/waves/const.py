"""Constants of drains and waves."""

from __future__ import annotations

from typing import Final

MINUTE_MS: Final = 60 * 1000
MINUTES_PER_DAY: Final = 24 * 60
HOUR_MS: Final = 60 * MINUTE_MS

DEFAULT_RETURN_TIMEOUT_MS: Final = 15 * MINUTE_MS
"""Time to come back, where no MaintenanceEntry names one: repairs in a pool without it."""
