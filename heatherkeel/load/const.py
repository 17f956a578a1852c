"""Constants of the load generator."""

from __future__ import annotations

from typing import Final

MAX_REQUESTS: Final = 1_000_000
"""Most requests of one run."""

MAX_DURATION_S: Final = 3_600.0
"""Longest run, in seconds."""

MAX_RATE: Final = 10_000.0
"""Highest rate that can be asked for, in requests a second."""

MAX_IN_FLIGHT: Final = 4_096
"""Requests in progress beyond which this generator, not the system, is the limit."""

MAX_BODY_BYTES: Final = 16 * 1024 * 1024

LOWEST_LATENCY_US: Final = 1
HIGHEST_LATENCY_US: Final = 3_600_000_000
LATENCY_DIGITS: Final = 3
"""Range in microseconds and significant digits of every latency histogram."""

PROBLEM_PREFIX: Final = "urn:heatherkeel:problem:"
"""What the `type` of every problem answer starts with."""

COUNTS_PATH: Final = "/standin/counts"
"""Where a target stand-in tells which request ids it ran, and how often."""

EXIT_BROKEN_PROMISE: Final = 1
EXIT_USAGE: Final = 2
TURN_PERIOD_S: Final = 18.0
"""Time from one demand peak to the next, in seconds."""
TURN_PEAK_FRACTION: Final = 0.25
"""Fraction of the period that a demand peak lasts."""
TURN_QUIET_FRACTION: Final = 0.05
"""Rate between demand peaks, as a fraction of the mean rate."""
