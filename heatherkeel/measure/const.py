"""Constants of the measurements."""

from __future__ import annotations

from typing import Final

START_TIMEOUT_S: Final = 60.0
POLL_S: Final = 0.02
STOP_TIMEOUT_S: Final = 10.0
CALL_TIMEOUT_S: Final = 30.0
"""Bounds on waiting for the processes that a measurement starts."""

TEAM: Final = "bench"
TOKEN: Final = "bench-token"
POOL: Final = "desk"
SERVICE: Final = "stock"
SERVICE_PATH: Final = "/stock"
"""What the measured fleet's catalogue holds."""

HOP_MEDIAN_TARGET: Final = 1.15
"""Most that the entry hop's median may be, as a multiple of the bare hop's."""

HOP_RATE_TARGET: Final = 0.9
"""Least that the entry hop's requests a second may be, as a multiple of the bare hop's."""

STREAM: Final = "fleet"
"""Stream of the platform's log that entry processes follow by default."""

PRELOAD_BATCH: Final = 256
"""Records of one append when a log is filled before a measurement."""

OVERLOAD_FACTORS: Final = (0.5, 1.0, 2.0, 4.0)
"""Offered load as multiples of what the targets can do."""

SLOTS_PER_TARGET: Final = 8
LOCAL_ZONES: Final = ("a", "b", "c")

CLAIM_RATES: Final = (1.0, 10.0, 100.0)
"""Requests a second at which the cost of a claim is measured."""
