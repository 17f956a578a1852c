"""Counters of the callers' side."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

from heatherkeel.monitoring.const import LATENCY_BUCKETS_S

from .reasons import Refusal


class GatewayMetrics:
    """What is counted as it happens; every reason shows from the start as 0."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.refusals = Counter(
            "heatherkeel_job_refusals",
            "Callers' requests that were not carried out, by reason.",
            ["reason"],
            registry=self.registry,
        )
        for reason in Refusal:
            self.refusals.labels(reason.value)
        self.durations = Histogram(
            "heatherkeel_job_request_duration_seconds",
            "Time from a request's head to the end of its answer, by method.",
            ["method"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def count_refusal(self, reason: Refusal) -> None:
        """Count a request that was not carried out."""
        self.refusals.labels(reason.value).inc()

    def observe(self, *, method: str, seconds: float) -> None:
        """Take in how long a request took."""
        self.durations.labels(method).observe(seconds)

    def render(self) -> bytes:
        """Return the text that a scrape gets."""
        return generate_latest(self.registry)
