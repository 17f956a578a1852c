"""Counters and histograms of one process."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    disable_created_metrics,
    generate_latest,
)
from prometheus_client.gc_collector import GCCollector
from prometheus_client.process_collector import ProcessCollector
from prometheus_client.registry import Collector

from heatherkeel.admin.reasons import ApiRefusal
from heatherkeel.core.models import RejectReason
from heatherkeel.requests.reasons import NoRetryReason, Outcome, RefusalReason, RetryReason

from .const import LATENCY_BUCKETS_S


class Metrics:
    """Holds the counters and histograms of a process.

    All labels start at 0, because Prometheus sees no increase if a series first appears as 1.
    """

    def __init__(self) -> None:
        # Omit the `_created` series of each label.
        disable_created_metrics()  # type: ignore[no-untyped-call]
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        GCCollector(registry=self.registry)
        self.refusals = self._labelled_counter(
            "refusals", "Requests that got no answer of a target, by reason.", RefusalReason
        )
        self.retries = self._labelled_counter(
            "retries", "Requests sent to another target, by reason.", RetryReason
        )
        self.not_retried = self._labelled_counter(
            "not_retried", "Failed attempts that no other followed, by reason.", NoRetryReason
        )
        self.admin_refusals = self._labelled_counter(
            "admin_refusals", "Administration requests that were refused, by reason.", ApiRefusal
        )
        self.rejected_records = self._labelled_counter(
            "rejected_records", "Records that the fold refused, by reason.", RejectReason
        )
        self.skipped_records = self._labelled_counter(
            "skipped_records", "Records that nobody can read, by reason.", RejectReason
        )
        self.duplicate_records = self._unlabelled_counter(
            "duplicate_records", "Second copies of a record."
        )
        self.ejections = self._unlabelled_counter(
            "target_ejections", "Targets ejected for failing everything."
        )
        self.durations = Histogram(
            "heatherkeel_request_duration_seconds",
            "Time from a request's head to the end of its answer, by outcome.",
            ["outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        for outcome in Outcome:
            self.durations.labels(outcome.value)

    def _labelled_counter(self, name: str, text: str, reasons: type[StrEnum]) -> Counter:
        counter = Counter(f"heatherkeel_{name}", text, ["reason"], registry=self.registry)
        for reason in reasons:
            counter.labels(reason.value)
        return counter

    def _unlabelled_counter(self, name: str, text: str) -> Counter:
        return Counter(f"heatherkeel_{name}", text, registry=self.registry)

    def register(self, collectors: Iterable[Collector]) -> None:
        """Register collectors that are read at scrape time."""
        for collector in collectors:
            self.registry.register(collector)

    def count_admin_refusal(self, refusal: ApiRefusal) -> None:
        """Count a refused administration request."""
        self.admin_refusals.labels(refusal.value).inc()

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a request that got no response from a target."""
        self.refusals.labels(reason.value).inc()

    def count_headers_too_large(self) -> None:
        """Count a request that was refused because of its header size."""
        self.count_refusal(RefusalReason.HEADERS_TOO_LARGE)

    def observe_request(self, *, outcome: Outcome, seconds: float) -> None:
        """Record the duration of a request that has its final response."""
        self.durations.labels(outcome.value).observe(seconds)

    def render(self) -> bytes:
        """Return the metrics in Prometheus text format."""
        return generate_latest(self.registry)
