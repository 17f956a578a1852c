"""What workers really did, for those who check it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Happening(StrEnum):
    """What a worker did with a task, or what became of its life."""

    STARTED = "started"
    ENDED = "ended"
    ACKNOWLEDGED = "acknowledged"
    """Its end was taken note of."""
    LIFE_ENDED = "life ended"


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskEvent:
    """One line of what workers really did, in order."""

    at_s: float
    what: Happening
    life: tuple[str, int]
    """The worker's id, and when its life began."""
    task: str = ""
    attempt: int = 0
    outcome: str = ""
