"""One line of a log."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """A line with its time; `fields` is all that stands in it."""

    time_ms: int
    """Milliseconds since 1970 by the clock of the process that wrote it."""
    event: str
    instance: str
    fields: dict[str, Any] = field(default_factory=dict)

    def names(self, subject: str) -> bool:
        """Say whether the line is of a job or request: by its id, or by that of a task of it."""
        prefix = f"{subject}."
        return any(
            value == subject or value.startswith(prefix)
            for value in self.fields.values()
            if isinstance(value, str)
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Logs:
    """All lines that could be read, in the order of their times."""

    lines: list[LogLine]
    unreadable: int
    """How many lines of the files were none of ours."""
