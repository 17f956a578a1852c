"""What the overload measurement takes from a load's report."""

from __future__ import annotations

from heatherkeel.load.models import LatencySummary, Report
from heatherkeel.measure.overload import summarize

SUMMARY = LatencySummary(count=3, mean=2.0, p50=2.0, p90=3.0, p99=4.0, p999=4.0, max=4.0)


def test_what_neither_ran_nor_was_refused_is_not_hidden() -> None:
    report = Report(
        planned=9,
        sent=9,
        answered=8,
        elapsed_s=1.0,
        offered_per_s=9.0,
        ran_per_s=5.0,
        latency_ms={"ran": SUMMARY},
        outcomes={"ran": 5, "not_run": 1, "unknown": 2, "timed_out": 1},
    )
    result = summarize(2.0, report)
    assert (result.refused, result.other) == (1, 3)
    assert result.ran_p99_ms == 4.0 and result.refused_p50_ms == 0.0
