"""Data classes for log lines."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """A parsed log line; `fields` holds every field of it."""

    time_ms: int
    """Milliseconds since 1970 by the clock of the process that wrote it."""
    event: str
    instance: str
    fields: dict[str, Any] = field(default_factory=dict)

    def mentions(self, subject: str) -> bool:
        """Return whether a field holds the id of a job or request, or of one of its tasks."""
        prefix = f"{subject}."
        return any(
            value == subject or value.startswith(prefix)
            for value in self.fields.values()
            if isinstance(value, str)
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Logs:
    """All lines that could be parsed, ordered by time."""

    lines: list[LogLine]
    unreadable: int
    """Number of lines in the files that couldn't be parsed."""
