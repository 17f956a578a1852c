"""What the spec of a job makes its tasks do on a stand-in's worker.

The last word is how many milliseconds a task takes, or `lasts`. Further, by the first words:

- `fails ...`: each task ends as failed.
- `crashes INDEX ...`: the task with this index in its step crashes its worker before its start is
  answered.
- `crashes-after MS INDEX ...`: it does so that long after its start, if it still runs then.
- `crashes-dark INDEX ...`: its worker neither answers nor closes anything any more.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

LASTS: Final = "lasts"


class CrashKind(StrEnum):
    """The first word of the spec of a job whose task crashes its worker."""

    AT_START = "crashes"
    LATER = "crashes-after"
    DARK = "crashes-dark"


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """How a task crashes its worker."""

    kind: CrashKind
    after_s: float = 0.0


def work_of(spec: str) -> float | None:
    """Return a task's duration in milliseconds; None for one that lasts.

    Raises `ValueError` if the last word is neither.
    """
    duration = spec.rsplit(" ", 1)[-1]
    return None if duration == LASTS else float(duration)


def fails(spec: str) -> bool:
    """Return whether tasks end as failed."""
    return spec.startswith("fails")


def find_crash(task: str, spec: str) -> Crash | None:
    """Return how a task crashes the worker that starts it, if it does."""
    index = task.rsplit(".", 1)[-1]
    match spec.split():
        case [CrashKind.AT_START, named, *_] if named == index:
            return Crash(kind=CrashKind.AT_START)
        case [CrashKind.LATER, after_ms, named, *_] if named == index:
            return Crash(kind=CrashKind.LATER, after_s=float(after_ms) / 1000)
        case [CrashKind.DARK, named, *_] if named == index:
            return Crash(kind=CrashKind.DARK)
    return None
