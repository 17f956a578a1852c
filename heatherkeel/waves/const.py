"""Constants of drains and waves."""

from __future__ import annotations

from typing import Final

MINUTE_MS: Final = 60 * 1000
MINUTES_PER_DAY: Final = 24 * 60
HOUR_MS: Final = 60 * MINUTE_MS

DEFAULT_RETURN_TIMEOUT_MS: Final = 15 * MINUTE_MS
"""Time to come back, where no MaintenanceEntry names one: repairs in a pool without it."""

DEFAULT_POLICY: Final = "spread"
"""Name of the policy that production uses; the others are baselines to measure against."""

FIXED_SHARE_DIVISOR: Final = 4
"""The baseline `fixed_share` drains one instance in so many at a time."""

MAX_FAILED_REPAIRS: Final = 2
"""Repairs in a row after which an instance is left to its operators."""

EARLY_START_DIVISOR: Final = 4
"""A wave starts at most this part of its period before the first instance is due."""

MAX_DRAINS_PER_PLAN: Final = 64
"""No further pool is planned in a call that has found so many drains."""
