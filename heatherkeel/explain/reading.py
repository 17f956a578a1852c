"""Reads log files of JSON lines."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from .models import LogLine, Logs


def read_logs(files: list[str]) -> Result[Logs, str]:
    """Read files of JSON lines; the error names the first file that can't be read."""
    lines: list[LogLine] = []
    unreadable = 0
    for file in files:
        try:
            with Path(file).open(encoding="utf-8", errors="replace") as stream:
                unreadable += _read_lines(stream, lines)
        except OSError as err:
            return Err(f"{file}: cannot be read: {err.strerror or err}")
    lines.sort(key=lambda line: line.time_ms)
    return Ok(Logs(lines=lines, unreadable=unreadable))


def parse_line(text: str) -> LogLine | None:
    """Parse one line; a log collector's prefix before the JSON is ignored."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:], type=dict[str, Any])
        time = datetime.fromisoformat(str(fields["time"]))
    except (ValueError, KeyError, RecursionError):
        return None
    return LogLine(
        time_ms=round(time.timestamp() * 1000),
        event=str(fields.get("event", "")),
        instance=str(fields.get("instance", "")),
        fields=fields,
    )


def _read_lines(stream: Iterable[str], lines: list[LogLine]) -> int:
    """Append the lines that can be parsed; returns the number of those that can't."""
    unreadable = 0
    for text in stream:
        line = parse_line(text)
        if line is not None:
            lines.append(line)
        elif text.strip():
            unreadable += 1
    return unreadable
