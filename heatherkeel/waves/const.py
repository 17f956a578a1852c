"""Constants of drains and waves."""

from __future__ import annotations

from typing import Final

MINUTE_MS: Final = 60 * 1000
MINUTES_PER_DAY: Final = 24 * 60
HOUR_MS: Final = 60 * MINUTE_MS

DEFAULT_RETURN_TIMEOUT_MS: Final = 15 * MINUTE_MS
"""Return timeout of repairs in a pool without a MaintenanceEntry."""

DEFAULT_POLICY: Final = "spread"
"""Name of the production policy; the other policies are baselines for comparison."""

FIXED_SHARE_DIVISOR: Final = 4
"""The baseline policy `fixed_share` drains one in this many instances at a time."""

MAX_FAILED_REPAIRS: Final = 2
"""Consecutive failed repairs after which an instance is no longer repaired automatically."""

EARLY_START_DIVISOR: Final = 4
"""A wave starts at most its period divided by this before the first instance is due."""

MAX_DRAINS_PER_PLAN: Final = 64
"""Number of drains after which one call plans no further pools."""
