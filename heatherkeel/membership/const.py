"""Constants of leases and peer links."""

from __future__ import annotations

from typing import Final

LEASE_MARGIN_SHARE: Final = 10
"""A lease is held for a tenth less than it was granted: two clocks never run quite alike."""

PAUSE_CHECK_INTERVAL_MS: Final = 200
PAUSE_BOUND_MS: Final = 1_000
"""A timer that is later than this means that the process was paused, not only busy."""
