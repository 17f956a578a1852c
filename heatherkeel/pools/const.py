"""Constants of pools."""

from __future__ import annotations

from typing import Final

OBSERVATION_LIFETIME_MS: Final = 60 * 1000
"""How long one observation counts, in log milliseconds; observers repeat theirs sooner."""

OBSERVERS_NEEDED: Final = 2
"""Entry instances that must agree before an instance is held as failed, or as healthy again."""
