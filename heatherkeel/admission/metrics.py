"""Metrics of admission; every reason is exported from the start."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter

from .models import Doubt, RefusalReason


class AdmissionMetrics:
    """Counters of what owners and entry instances of this process decided."""

    def __init__(self, *, registry: CollectorRegistry) -> None:
        self.refusals = Counter(
            "heatherkeel_admission_refusals",
            "Jobs that were refused by the owner of their partition, by reason.",
            ["reason"],
            registry=registry,
        )
        self.doubts = Counter(
            "heatherkeel_admission_doubts",
            "Jobs that were admitted without regard to the backlog, by the cause.",
            ["doubt"],
            registry=registry,
        )
        self.outcomes = Counter(
            "heatherkeel_admission_outcomes",
            "Refused jobs by whether there was room for them after all (wrong) or not (right).",
            ["outcome"],
            registry=registry,
        )
        self.late_records = Counter(
            "heatherkeel_admission_late_records",
            "Submissions that were stored after their job had been refused, and never run.",
            registry=registry,
        )
        for reason in RefusalReason:
            self.refusals.labels(reason.value)
        for doubt in Doubt:
            self.doubts.labels(doubt.value)
        for outcome in ("right", "wrong"):
            self.outcomes.labels(outcome)
