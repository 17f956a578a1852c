"""Metrics of machines that are taken from one pool for another."""

from __future__ import annotations

from prometheus_client import CollectorRegistry

from heatherkeel.pooling.metrics import PoolingMetrics
from heatherkeel.pooling.models import HandoverLog


def test_takings_are_counted_once() -> None:
    registry = CollectorRegistry()
    metrics = PoolingMetrics(registry=registry)
    log = HandoverLog(taken_total=3, dropped_total=1, is_divided=True)
    metrics.update(log)
    metrics.update(log)
    assert registry.get_sample_value("heatherkeel_machines_taken_total") == 3
    assert registry.get_sample_value("heatherkeel_machines_taken_dropped_total") == 1
    assert registry.get_sample_value("heatherkeel_machines_divided") == 1
