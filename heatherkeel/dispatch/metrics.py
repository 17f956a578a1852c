"""Metrics of partition owners."""

from __future__ import annotations

from math import exp
from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from heatherkeel.durations.models import ErrorFactors
from heatherkeel.workspaces.labels import WorkspaceLabels

from .items import ItemKind
from .models import LossCause, LossReason, WaitReason

STORED_BUCKETS_S: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
ERROR_BUCKETS: Final = (1.1, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0)


class DispatchMetrics:
    """Counters of lost runs and given-up jobs; every reason is exported from the start."""

    def __init__(self, *, registry: CollectorRegistry) -> None:
        self.losses = Counter(
            "heatherkeel_runs_lost",
            "Runs that were lost, so that their tasks had to start again, by reason.",
            ["reason"],
            registry=registry,
        )
        for reason in LossReason:
            self.losses.labels(reason.name.lower())
        self.loss_causes = Counter(
            "heatherkeel_losses_by_cause",
            "Runs that were lost, by what is known of the cause.",
            ["cause"],
            registry=registry,
        )
        for cause in LossCause:
            self.loss_causes.labels(cause.name.lower())
        self.waiting = Counter(
            "heatherkeel_steps_waiting_long",
            "Steps that were logged since they wait for long, by the main reason.",
            ["reason"],
            registry=registry,
        )
        for wait_reason in WaitReason:
            self.waiting.labels(wait_reason.name.lower())
        self.given_up = Counter(
            "heatherkeel_jobs_given_up",
            "Jobs that were shown as failed since a task of them crashes workers.",
            registry=registry,
        )
        self.forwarded = Counter(
            "heatherkeel_records_forwarded",
            "Records of callers that were forwarded to the partition that runs their job.",
            registry=registry,
        )
        self.relocated = Counter(
            "heatherkeel_jobs_relocated",
            "Jobs that were handed over to another partition, as nothing in theirs could run them.",
            registry=registry,
        )
        self.stranded = Gauge(
            "heatherkeel_jobs_stranded",
            "Jobs that wait and that nothing in their partition can ever run, by partition.",
            ["partition"],
            registry=registry,
        )
        self.set_aside = Counter(
            "heatherkeel_items_set_aside",
            "Jobs and workers that couldn't be handled and were set aside, by kind.",
            ["kind"],
            registry=registry,
        )
        for kind in ItemKind:
            self.set_aside.labels(kind.value)
        self.stranded_counts: dict[int, int] = {}
        """The exported numbers of such jobs."""
        self.end_stored = Histogram(
            "heatherkeel_end_stored_seconds",
            "Time from a job's last end until that was stored and callers were told.",
            buckets=STORED_BUCKETS_S,
            registry=registry,
        )
        self.withheld = Counter(
            "heatherkeel_tasks_withheld",
            "Tasks that aren't started any more since they crash workers; their jobs go on.",
            registry=registry,
        )
        self.cut_listings = Counter(
            "heatherkeel_listings_cut",
            "Listings of workers that held as many ends as they can, so that others may lack.",
            registry=registry,
        )
        self.slow_workers = Counter(
            "heatherkeel_slow_workers",
            "Workers that were found to be slow, each time.",
            registry=registry,
        )

        self.limited = Counter(
            "heatherkeel_jobs_limited",
            "Jobs that had to wait since their workspace was at its limit, by workspace.",
            ["workspace"],
            registry=registry,
        )
        self.labels = WorkspaceLabels()
        self.duration_errors = Histogram(
            "heatherkeel_duration_error_factor",
            "Factor by which the estimated duration of an ended step was off, either way.",
            ["estimate"],
            buckets=ERROR_BUCKETS,
            registry=registry,
        )
        for estimate in ErrorFactors._fields:
            self.duration_errors.labels(estimate)

    def count_limited(self, workspace: str) -> None:
        """Count a job that waits for its workspace's limit."""
        self.limited.labels(self.labels.find(workspace)).inc()

    def count_loss(self, reason: LossReason, cause: LossCause) -> None:
        """Count a run that was lost."""
        self.losses.labels(reason.name.lower()).inc()
        self.loss_causes.labels(cause.name.lower()).inc()

    def count_set_aside(self, kind: ItemKind) -> None:
        """Count a job or a worker that was set aside."""
        self.set_aside.labels(kind.value).inc()

    def set_stranded(self, partition: int, count: int) -> None:
        """Set how many jobs of a partition nothing there can run; none once it is released."""
        if count != self.stranded_counts.get(partition, 0):
            self.stranded_counts[partition] = count
            self.stranded.labels(str(partition)).set(count)

    def count_waiting(self, reason: WaitReason) -> None:
        """Count a step that waits for long."""
        self.waiting.labels(reason.name.lower()).inc()

    def observe_duration(self, errors: ErrorFactors) -> None:
        """Record how far off the estimates of an ended step were."""
        for estimate, error in errors._asdict().items():
            self.duration_errors.labels(estimate).observe(exp(abs(error)))
