"""Follows the histories that workers write, and adds the ends of lives that only the soak knows."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import msgspec
import trio

from heatherkeel.standins.history import LEFT, Happening, HistoryLine, TaskEvent

from .checks import Life

LOOK_S: Final = 0.02
SETTLED_S: Final = 1.0
"""Within this time a worker that runs has written down what was due, in seconds."""


@dataclass(kw_only=True)
class WorkerHistory:
    """What one worker's process wrote, over all of its lives."""

    machine: str
    file: Path
    read_bytes: int = 0
    events: list[TaskEvent] = field(default_factory=list)
    life: Life | None = None
    """The life that goes on, if one does."""

    def read(self) -> list[TaskEvent]:
        """Return what was written since the last time; a torn last line is left."""
        if not self.file.exists():
            return []
        with self.file.open("rb") as stream:
            stream.seek(self.read_bytes)
            text = stream.read()
        whole = text[: text.rfind(b"\n") + 1]
        self.read_bytes += len(whole)
        events = [_parse(line) for line in whole.splitlines()]
        for event in events:
            self.add(event)
        return events

    def add(self, event: TaskEvent) -> None:
        """Add an event, and keep which life goes on."""
        self.events.append(event)
        if event.what is Happening.LIFE_BEGAN:
            self.life = event.life
        elif event.what is Happening.LIFE_ENDED and event.life == self.life:
            self.life = None

    def end_life(self, at_s: float) -> None:
        """Note that the worker has crashed, not before what it has still written."""
        self.read()
        if self.life is None:
            return
        at_s = max([at_s, *(event.at_s for event in self.events[-1:])])
        self.add(TaskEvent(at_s=at_s, what=Happening.LIFE_ENDED, life=self.life))

    def is_dark(self) -> bool:
        """Return whether the life that goes on has gone dark."""
        return any(
            event.what is Happening.DARK and event.life == self.life for event in self.events[-3:]
        )


def _parse(line: bytes) -> TaskEvent:
    read = msgspec.json.decode(line, type=HistoryLine)
    # A worker that crashes writes no end of its life: one that does was moved or drained.
    is_left = read.what is Happening.LIFE_ENDED
    return TaskEvent(
        at_s=read.at,
        what=read.what,
        life=(read.worker, read.born),
        task=read.task,
        attempt=read.attempt,
        outcome=LEFT if is_left else read.outcome,
    )


@dataclass(kw_only=True)
class Histories:
    """All workers' histories, by machine."""

    workers: dict[str, WorkerHistory] = field(default_factory=dict)
    frozen_since_s: dict[str, float] = field(default_factory=dict)
    """Machines whose worker is frozen, and writes down later what was due meanwhile."""
    starts: list[tuple[str, TaskEvent]] = field(default_factory=list)
    """Starts of tasks that were read last, by machine."""
    started: trio.Event = field(default_factory=trio.Event)
    """Set, and replaced, when tasks have started."""

    async def async_follow(self) -> None:
        """Read what is written, as it comes."""
        while True:
            self.starts = [
                (machine, event)
                for machine, worker in self.workers.items()
                for event in worker.read()
                if event.what is Happening.STARTED
            ]
            if self.starts:
                self.started.set()
                self.started = trio.Event()
            await trio.sleep(LOOK_S)

    async def async_wait_start(self, *, is_again: bool) -> str:
        """Wait until a task starts, or starts again, and return the machine."""
        while True:
            await self.started.wait()
            for machine, event in self.starts:
                if event.attempt > 1 or not is_again:
                    return machine

    def merge(self, *, is_complete: bool = False) -> tuple[list[TaskEvent], float]:
        """Return what all workers did, in order, and up to when that is known.

        `is_complete` if no worker runs any more.
        """
        now_s = time.time()
        known_s = now_s if is_complete else min([now_s - SETTLED_S, *self.frozen_since_s.values()])
        for worker in self.workers.values():
            worker.read()
        events = [event for worker in self.workers.values() for event in worker.events]
        known = sorted((e for e in events if e.at_s <= known_s), key=lambda event: event.at_s)
        return known, known_s

    @contextmanager
    def freezing(self, machine: str) -> Iterator[None]:
        """Note that a worker doesn't run within the context."""
        self.frozen_since_s[machine] = time.time()
        yield
        del self.frozen_since_s[machine]
