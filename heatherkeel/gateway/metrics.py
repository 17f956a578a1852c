"""Metrics of the job API."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

from heatherkeel.monitoring.const import LATENCY_BUCKETS_S
from heatherkeel.workspaces.labels import WorkspaceLabels

from .reasons import Refusal


class GatewayMetrics:
    """Counters and histograms of requests; every refusal reason is exported from the start."""

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
        self.workspace_refusals = Counter(
            "heatherkeel_workspace_refusals",
            "Refused requests with a known key, by workspace and reason.",
            ["workspace", "reason"],
            registry=self.registry,
        )
        self.labels = WorkspaceLabels()
        self.admissions_unanswered = Counter(
            "heatherkeel_admissions_unanswered",
            "Jobs that were accepted since their owner didn't say whether they can be served.",
            registry=self.registry,
        )
        self.durations = Histogram(
            "heatherkeel_job_request_duration_seconds",
            "Time from a request's head to the end of its answer, by method.",
            ["method"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def count_refusal(self, reason: Refusal, *, workspace: str = "") -> None:
        """Count a refused request; `workspace` is empty unless the caller's key is known."""
        self.refusals.labels(reason.value).inc()
        if workspace:
            label = self.labels.find(workspace)
            self.workspace_refusals.labels(label, reason.value).inc()

    def observe(self, *, method: str, seconds: float) -> None:
        """Record the duration of a request."""
        self.durations.labels(method).observe(seconds)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
