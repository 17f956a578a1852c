"""What a run leaves."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path
from typing import Final

import msgspec

from .run import RunResult

MAX_LINES: Final = 5
"""Broken promises that are printed; all of them are kept."""


def write_result(result: RunResult, folder: Path) -> None:
    """Print what a run has shown, and write its schedule and histories to its folder."""
    sys.stdout.write("\n".join(make_lines(result)) + "\n")
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


def make_lines(result: RunResult) -> list[str]:
    """Return the report of a run."""
    record, broken = result.record, result.broken()
    fates = Counter(job.fate.value for job in record.jobs)
    ends = Counter(
        f"{job.plan.kind} {final.state}"
        for job in record.jobs
        if (final := job.final()) is not None
    )
    unanswered = sum(call.status is None for call in record.calls)
    longest_s = max((stall.lasted_s for stall in result.stalls), default=0.0)
    return [
        f"seed {result.plan.seed}: {'BROKEN' if broken else 'sound'}, {result.took_s:.0f} s",
        f"  calls: {len(record.calls)}, {unanswered} without an answer",
        f"  jobs: {_format(fates)}; ended: {_format(ends)}",
        f"  faults: {_format(result.faults.done)}; skipped: {_format(result.faults.skipped)}",
        f"  stalls of the machine: {len(result.stalls)}, the longest {longest_s:.2f} s",
        *[
            f"  promise: {name}: {found.applied or 'never'} checked"
            for name, found in result.checked.items()
        ],
        *[f"  broken: {where}" for where in broken[:MAX_LINES]],
        *[f"  broken: {len(broken) - MAX_LINES} more" for _ in broken[MAX_LINES : MAX_LINES + 1]],
    ]


def _format(counts: Counter[str]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items())) or "none"
