"""What workers really did, for those who check it."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Final, Protocol

import msgspec


class Happening(StrEnum):
    """What a worker did with a task, or what became of its life."""

    STARTED = "started"
    ENDED = "ended"
    ACKNOWLEDGED = "acknowledged"
    """Its end was taken note of."""
    DARK = "dark"
    """It has brought its worker to a stop, in which connections stay open."""
    LEASE_LAPSED = "lease lapsed"
    """Its lease ran out, whether anything ran or not."""
    LIFE_BEGAN = "life began"
    LIFE_ENDED = "life ended"


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskEvent:
    """One line of what workers really did, in order."""

    at_s: float
    """When it happened, in seconds of the monotonic clock."""
    what: Happening
    life: tuple[str, int]
    """The worker's id, and when its life began."""
    task: str = ""
    attempt: int = 0
    outcome: str = ""


LEFT: Final = "left"
"""Outcome of a life that its platform ended or whose worker left, and that did not crash."""


class EventSink(Protocol):
    """Keeps what workers did, such as a list."""

    def append(self, event: TaskEvent, /) -> None:
        """Keep one event."""


class HistoryLine(msgspec.Struct, frozen=True, kw_only=True):
    """A line of a history file; `at` is in seconds since 1970."""

    at: float
    what: Happening
    worker: str
    born: int
    task: str = ""
    attempt: int = 0
    outcome: str = ""


class HistoryFile:
    """Appends what one worker does to a file, from which nothing is lost when it is killed."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.descriptor = -1

    def start(self) -> None:
        """Open the file; raises `OSError` if that fails."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self.descriptor = os.open(self.path, flags, 0o644)

    def close(self) -> None:
        """Close the file."""
        os.close(self.descriptor)

    def append(self, event: TaskEvent, /) -> None:
        """Write one line."""
        worker, born = event.life
        line = HistoryLine(
            at=time.time() - (time.monotonic() - event.at_s),
            what=event.what,
            worker=worker,
            born=born,
            task=event.task,
            attempt=event.attempt,
            outcome=event.outcome,
        )
        os.write(self.descriptor, msgspec.json.encode(line) + b"\n")
