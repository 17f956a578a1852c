"""Metrics of calls to the store that go through another process."""

from __future__ import annotations

from enum import StrEnum

from prometheus_client import CollectorRegistry, Counter


class Forwarded(StrEnum):
    """Outcome of a call that another process was asked to make."""

    ANSWERED = "answered"
    FAILED = "failed"


class Served(StrEnum):
    """Outcome of a call that another process asked for."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_ALLOWED = "not_allowed"
    TOO_OLD = "too_old"
    TOO_MANY = "too_many"
    TOO_LARGE = "too_large"


class RelayMetrics:
    """Counters of forwarded and served calls; every outcome is exported from the start as 0."""

    def __init__(self, *, registry: CollectorRegistry) -> None:
        self.forwarded = Counter(
            "heatherkeel_store_calls_forwarded",
            "Calls to the store that another process was asked to make, by outcome.",
            ["outcome"],
            registry=registry,
        )
        self.served = Counter(
            "heatherkeel_store_calls_served",
            "Calls to the store that another process asked for, by outcome.",
            ["outcome"],
            registry=registry,
        )
        for forwarded in Forwarded:
            self.forwarded.labels(forwarded.value)
        for served in Served:
            self.served.labels(served.value)

    def count_forwarded(self, outcome: Forwarded) -> None:
        """Count a call that another process was asked to make."""
        self.forwarded.labels(outcome.value).inc()

    def count_served(self, outcome: Served) -> None:
        """Count a call that another process asked for."""
        self.served.labels(outcome.value).inc()
