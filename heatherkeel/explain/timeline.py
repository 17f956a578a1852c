"""Chooses the lines that explain one job or request, and shows them in order."""

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
    """Return the lines of a subject, and what befell its partition, processes and workers.

    Those others are told only between its first and its last line: what a process went through
    before doesn't explain it. Returns none if no line names the subject.
    """
    own = [line for line in lines if line.names(subject)]
    if not own:
        return []
    partitions = {line.fields.get("partition") for line in own} - {None}
    instances = {line.instance for line in own}
    workers = {line.fields.get("worker") for line in own} - {None}
    first_ms, last_ms = own[0].time_ms, own[-1].time_ms

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

    return [line for line in lines if line.names(subject) or is_context(line)]


def render_timeline(lines: list[LogLine]) -> Iterator[str]:
    """Return the timeline's text, a line each; long silences are named."""
    if not lines:
        return
    width = max(len(line.instance) for line in lines)
    before_ms = lines[0].time_ms
    for line in lines:
        silent_ms = line.time_ms - before_ms
        if silent_ms >= GAP_MS:
            yield f"            ... {silent_ms / 1000:.1f} s without a line"
        since_ms = line.time_ms - lines[0].time_ms
        yield f"{since_ms:>8} ms  {line.instance:<{width}}  {line.event:<16} {_tell(line)}".rstrip()
        before_ms = line.time_ms


def _changed_partitions(line: LogLine) -> set[object]:
    changed: set[object] = set()
    for name in ("gained", "lost"):
        value = line.fields.get(name)
        changed |= set(value) if isinstance(value, list) else set()
    return changed


def _tell(line: LogLine) -> str:
    shown = ((key, value) for key, value in line.fields.items() if key not in HIDDEN_FIELDS)
    return " ".join(f"{key}={value}" for key, value in shown)
