"""What a run leaves: a report, its schedule, and what was seen."""

from __future__ import annotations

import re
import sys
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import msgspec
from result import Err

from heatherkeel.explain.reading import read_logs
from heatherkeel.explain.timeline import choose_lines, render_timeline

from .run import RunResult

MAX_LINES: Final = 5
"""Broken promises that are printed; all of them are kept."""
MAX_EXPLAINED: Final = 40
"""Lines of the logs that are printed on the first broken promise; all of them are kept."""
JOB_PATTERN: Final = re.compile(r"\b[0-9a-f]{16}\b")
MIB: Final = 1024 * 1024


def write_result(result: RunResult, folder: Path) -> None:
    """Print what a run has shown, and write its schedule and histories to its folder."""
    lines = list(make_lines(result))
    if result.broken():
        explained = explain(result.broken()[0], folder)
        (folder / "explained.txt").write_text("\n".join(explained) + "\n", encoding="utf-8")
        lines += [f"    {line}" for line in explained[-MAX_EXPLAINED:]]
    (folder / "report.txt").write_text("\n".join(lines) + "\n", encoding="utf-8")
    sys.stdout.write("\n".join(lines) + "\n")
    sys.stdout.flush()
    for name, value in (
        ("plan", result.plan),
        ("jobs", result.record.jobs),
        ("tasks", result.record.history),
        ("disturbances", result.record.disturbances),
        ("checked", result.checked),
    ):
        text = msgspec.json.format(msgspec.json.encode(value), indent=1)
        (folder / f"{name}.json").write_bytes(text)


def make_lines(result: RunResult) -> Iterator[str]:
    """Yield the lines of the report."""
    record, broken = result.record, result.broken()
    fates = Counter(job.fate.value for job in record.jobs)
    ends = Counter(
        f"{job.plan.kind} {final.state}"
        for job in record.jobs
        if (final := job.final()) is not None
    )
    statuses = Counter(str(call.status or "no answer") for call in record.calls)
    yield f"seed {result.plan.seed}: {'BROKEN' if broken else 'sound'}, {result.took_s:.0f} s"
    yield f"  calls by status: {_format(statuses)}"
    yield f"  jobs: {_format(fates)}; ended: {_format(ends)}"
    yield f"  faults: {_format(result.faults.done)}; skipped: {_format(result.faults.skipped)}"
    yield f"  {len(result.usage)} processes: {_format_usage(result)}"
    for name, found in result.checked.items():
        yield f"  promise: {name}: {found.applied or 'never'} checked"
    longest_s = max((stall.lasted_s for stall in result.stalls), default=0.0)
    yield f"  stalls of the machine: {len(result.stalls)}, the longest {longest_s:.2f} s"
    for where in broken[:MAX_LINES]:
        yield f"  broken: {where}"
    if broken[MAX_LINES:]:
        yield f"  broken: {len(broken) - MAX_LINES} more"


def _format(counts: Counter[str]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items())) or "none"


def _format_usage(result: RunResult) -> str:
    return ", ".join(
        f"{name} {usage.cpu_s:.1f} s {usage.resident_bytes / MIB:.0f} MiB"
        for name, usage in sorted(result.usage.items())
    )


def explain(where: str, folder: Path) -> list[str]:
    """Return the lines of all logs on the job that a broken promise names."""
    found = JOB_PATTERN.search(where)
    read = read_logs([str(file) for file in sorted(folder.glob("*.log"))])
    if found is None or isinstance(read, Err):
        return []
    return list(render_timeline(choose_lines(read.ok_value.lines, found[0])))
