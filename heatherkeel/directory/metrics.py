"""Metrics of the configuration that this process knows."""

from __future__ import annotations

import math
from typing import Final

from prometheus_client import CollectorRegistry, Gauge, Histogram

from .directory import DirectoryState

AGE_BUCKETS_S: Final = (0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0)


class ConfigMetrics:
    """Version and age of the configuration, and its age when requests are answered."""

    def __init__(self, *, registry: CollectorRegistry, directory: DirectoryState) -> None:
        self.version = Gauge(
            "heatherkeel_config_version",
            "Version of the configuration in force; 0 before the first.",
            registry=registry,
        )
        self.version.set_function(directory.config_version)
        self.age = Gauge(
            "heatherkeel_config_age_seconds",
            "Time since the configuration was known to be the newest; NaN before the first.",
            registry=registry,
        )
        self.age.set_function(lambda: _to_seconds(directory.config_age_ms()))
        self.age_at_request = Histogram(
            "heatherkeel_config_age_at_request_seconds",
            "Age of the configuration by which a request was answered.",
            buckets=AGE_BUCKETS_S,
            registry=registry,
        )

    def observe_request(self, age_ms: int | None) -> None:
        """Record the age of the configuration at a request, in milliseconds."""
        if age_ms is not None:
            self.age_at_request.observe(_to_seconds(age_ms))


def _to_seconds(age_ms: int | None) -> float:
    return math.nan if age_ms is None else age_ms / 1000
