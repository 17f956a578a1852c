"""Prints a report as a short table."""

from __future__ import annotations

from collections import Counter

from .models import LatencySummary, Report

_HEADER = f"{'outcome':>15} {'count':>8} {'mean':>9} {'p50':>9} {'p90':>9} {'p99':>9} {'max':>9}"


def format_table(report: Report) -> str:
    """Return the report for a reader; latencies in milliseconds."""
    lines = [
        f"planned {report.planned}, sent {report.sent}, answered {report.answered} "
        f"in {report.elapsed_s} s; offered {report.offered_per_s}/s, ran {report.ran_per_s}/s",
        _HEADER,
        *(_row(outcome, latency) for outcome, latency in sorted(report.latency_ms.items())),
    ]
    if report.generator_late_ms is not None:
        lines.append(_row("generator late", report.generator_late_ms))
    lines += [f"  {count:>8}  {reason}" for reason, count in report.reasons.items()]
    lines += _breach_lines(report)
    return "\n".join(lines)


def _row(name: str, latency: LatencySummary) -> str:
    values = (latency.mean, latency.p50, latency.p90, latency.p99, latency.max)
    return f"{name:>15} {latency.count:>8} " + " ".join(f"{value:>9.3f}" for value in values)


def _breach_lines(report: Report) -> list[str]:
    compared = f"runs compared with {report.checked_targets} targets"
    if not report.checked_targets:
        compared = "runs at targets not compared (no --target)"
    if not report.breaches:
        return [f"promises: none broken; {compared}"]
    counts = Counter(str(breach.promise) for breach in report.breaches)
    return [f"BROKEN {promise}: {count}" for promise, count in counts.items()] + [compared]
