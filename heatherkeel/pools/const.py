"""Limits of observing instances."""

from __future__ import annotations

from typing import Final

OBSERVATION_LIFETIME_MS: Final = 60 * 1000
"""Time for which an observation counts, in log milliseconds; observers repeat theirs sooner."""

OBSERVERS_NEEDED: Final = 2
"""Number of entry instances that must agree for an instance to become failed or healthy again."""
