"""Formats the list of entries and the status for the command line."""

from __future__ import annotations

from typing import Any

import msgspec

from .catalogue import EntryList
from .status import Status


def format_entries(value: Any) -> list[str]:
    """Format the list of entries as a table."""
    listed = msgspec.convert(value, EntryList)
    rows: list[tuple[str, ...]] = [("NAME", "KIND", "OWNER", "CLASS", "VERSION")]
    for item in listed.entries:
        kind = str(type(item.entry).__struct_config__.tag)
        service_class = item.entry.service_class.value
        rows.append((item.name, kind, item.entry.owner, service_class, str(item.version)))
    return _table(rows)


def format_status(value: Any) -> list[str]:
    """Format the status: entry instances, pools, waves and drains."""
    status = msgspec.convert(value, Status)
    answer_age_s = status.platform.heard_age_ms / 1000
    reached = "reachable" if status.platform.reachable else "NOT REACHABLE"
    lines = [
        f"{status.instance} in {status.zone}: offset {status.offset_in_force} in force, "
        f"platform {reached}, heard {answer_age_s:.1f} s ago",
        "",
        *_table(_entry_rows(status)),
        "",
        *_table(_pool_rows(status)),
    ]
    return lines + _progress_lines(status)


def _entry_rows(status: Status) -> list[tuple[str, ...]]:
    rows: list[tuple[str, ...]] = [("ENTRY INSTANCE", "ZONE", "OFFSET", "REPORTED", "LEASE")]
    for name, entry in sorted(status.entry_instances.items()):
        age = f"{entry.reported_age_ms / 1000:.1f} s ago"
        lease = "lapsed" if entry.lease_lapsed else "held"
        rows.append((name, entry.zone, str(entry.offset_in_force), age, lease))
    return rows


def _pool_rows(status: Status) -> list[tuple[str, ...]]:
    rows: list[tuple[str, ...]] = [("POOL", "INSTANCES")]
    for pool, counts in sorted(status.pools.items()):
        rows.append((pool, ", ".join(f"{count} {name}" for name, count in sorted(counts.items()))))
    return rows


def _progress_lines(status: Status) -> list[str]:
    lines = [""] if status.waves or status.drains else []
    for pool, wave in sorted(status.waves.items()):
        halted = f", HALTED: {wave.halted_reason}" if wave.halted_reason else ""
        lines.append(
            f"wave {wave.number} of {pool}, {wave.age_ms / 1000:.0f} s: {wave.drained} drained, "
            f"{wave.returned} returned, {wave.failed} failed{halted}"
        )
    for instance, drain in sorted(status.drains.items()):
        waiting = ", ".join(drain.waiting_for) or "nobody"
        target = f" to {drain.to_pool}" if drain.to_pool else ""
        lines.append(
            f"{drain.purpose} of {instance}{target}, {drain.age_ms / 1000:.0f} s: "
            f"waits for {waiting}"
        )
    return lines


def _table(rows: list[tuple[str, ...]]) -> list[str]:
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    padded = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    return [line.rstrip() for line in padded]
