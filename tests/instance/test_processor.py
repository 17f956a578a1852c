"""Tests for the report of processor time."""

from __future__ import annotations

import logging
import time

import pytest
from prometheus_client import CollectorRegistry

from heatherkeel.instance.processor import ProcessorWatch


def test_reports_add_up_to_the_total(caplog: pytest.LogCaptureFixture) -> None:
    """An operator adds up the lines of a time span to find which process was busy in it."""
    registry = CollectorRegistry()
    watch = ProcessorWatch(registry=registry)
    with caplog.at_level(logging.INFO):
        for _ in range(3):
            until = time.process_time() + 0.02
            while time.process_time() < until:
                pass
            watch.report()
    rows = [vars(record) for record in caplog.records if vars(record)["event"] == "processor"]
    assert len(rows) == 3
    assert sum(row["used_ms"] for row in rows) == rows[-1]["total_ms"]
    assert all(row["used_ms"] >= 19 for row in rows)
    exported_s = registry.get_sample_value("heatherkeel_processor_seconds_total")
    assert exported_s == pytest.approx(rows[-1]["total_ms"] / 1000)
