"""Metrics of the machines that are taken from one pool for another."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge

from .models import HandoverLog


class PoolingMetrics:
    """Counters and the state of the division, in the process that owns the fleet."""

    def __init__(self, *, registry: CollectorRegistry) -> None:
        self.taken = Counter(
            "heatherkeel_machines_taken",
            "Machines taken from pools above their part for pools below it.",
            registry=registry,
        )
        self.dropped = Counter(
            "heatherkeel_machines_taken_dropped",
            "Takings that were canceled before the machine was ordered.",
            registry=registry,
        )
        self.is_divided = Gauge(
            "heatherkeel_machines_divided",
            "1 while the pools claim more machines than there are, so that these are divided.",
            registry=registry,
        )

    def update(self, log: HandoverLog) -> None:
        """Count what has happened since the last call."""
        self.taken.inc(log.taken_total)
        self.dropped.inc(log.dropped_total)
        self.is_divided.set(log.is_divided)
        log.taken_total = log.dropped_total = 0
