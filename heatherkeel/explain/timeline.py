"""Selects the log lines that explain one job or request and renders them in order."""

from __future__ import annotations

from collections.abc import Iterator

from .const import (
    GAP_MS,
    HIDDEN_FIELDS,
    OWNERSHIP_EVENT,
    PARTITION_EVENTS,
    PROCESS_EVENTS,
    WORKER_EVENTS,
)
from .models import LogLine


def choose_lines(lines: list[LogLine], subject: str) -> list[LogLine]:
    """Return the lines of a job or request, and events of its partition, processes and workers.

    Those events are included only between its first and its last line, because earlier ones don't
    explain it. Returns an empty list if no line mentions the subject.
    """
    subject_lines = [line for line in lines if line.mentions(subject)]
    if not subject_lines:
        return []
    partitions = {line.fields.get("partition") for line in subject_lines} - {None}
    instances = {line.instance for line in subject_lines}
    workers = {line.fields.get("worker") for line in subject_lines} - {None}
    first_ms, last_ms = subject_lines[0].time_ms, subject_lines[-1].time_ms

    def is_context(line: LogLine) -> bool:
        if not first_ms <= line.time_ms <= last_ms:
            return False
        if line.event in PARTITION_EVENTS:
            return line.fields.get("partition") in partitions
        if line.event == OWNERSHIP_EVENT:
            return bool(partitions & _changed_partitions(line))
        if line.event in WORKER_EVENTS:
            return line.fields.get("worker") in workers
        return line.event in PROCESS_EVENTS and line.instance in instances

    return [line for line in lines if line.mentions(subject) or is_context(line)]


def render_timeline(lines: list[LogLine]) -> Iterator[str]:
    """Yield the lines of the timeline; gaps of at least `GAP_MS` get a line of their own."""
    if not lines:
        return
    width = max(len(line.instance) for line in lines)
    previous_ms = lines[0].time_ms
    for line in lines:
        gap_ms = line.time_ms - previous_ms
        if gap_ms >= GAP_MS:
            yield f"            ... {gap_ms / 1000:.1f} s without a line"
        since_ms = line.time_ms - lines[0].time_ms
        yield (
            f"{since_ms:>8} ms  {line.instance:<{width}}  "
            f"{line.event:<16} {_format_fields(line)}"
        ).rstrip()
        previous_ms = line.time_ms


def _changed_partitions(line: LogLine) -> set[object]:
    changed: set[object] = set()
    for name in ("gained", "lost"):
        value = line.fields.get(name)
        changed |= set(value) if isinstance(value, list) else set()
    return changed


def _format_fields(line: LogLine) -> str:
    shown = ((key, value) for key, value in line.fields.items() if key not in HIDDEN_FIELDS)
    return " ".join(f"{key}={value}" for key, value in shown)
