"""Constants for monitoring."""

from __future__ import annotations

from typing import Final

METRICS_PATH: Final = "/metrics"
HEALTH_PATH: Final = "/healthz"
READINESS_PATH: Final = "/readyz"

LATENCY_BUCKETS_S: Final = (
    *(0.001, 0.002, 0.003, 0.005, 0.0075),
    *(0.01, 0.02, 0.03, 0.05, 0.075),
    *(0.1, 0.2, 0.3, 0.5, 0.75),
    *(1.0, 2.0, 3.8, 5.0, 10.0, 30.0, 60.0),
)
"""Histogram bucket bounds in seconds; 3.8 is the time limit of urgent work."""
