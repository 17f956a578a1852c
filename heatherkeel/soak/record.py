"""What callers, workers and the soak itself have seen of a run: all that promises are judged by."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from heatherkeel.standins.history import Happening, TaskEvent

from .bounds import STABLE_WINDOW_S
from .callers import Call, JobHistory, QueueAnswer
from .checks import job_of


@dataclass(kw_only=True)
class Disturbance:
    """What was done to a part of the site, and when, in seconds since 1970."""

    part: str
    """Name of an instance, a machine or the platform."""
    kind: str
    what: str
    from_s: float
    until_s: float = math.inf


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """A version of the configuration, and when it was acknowledged."""

    at_s: float
    version: int
    queues: frozenset[str]
    """Prefixes of its queues."""


@dataclass(kw_only=True)
class RunRecord:
    """One run up to a moment; times in seconds since 1970."""

    until_s: float
    jobs: Sequence[JobHistory]
    history: Sequence[TaskEvent]
    disturbances: Sequence[Disturbance] = ()
    changes: Sequence[Change] = ()
    queue_answers: Sequence[QueueAnswer] = ()
    calls: Sequence[Call] = ()
    is_over: bool = False
    """Nothing more is waited for."""
    healed_s: float = math.inf
    """When the last fault had ended."""
    max_failures: int = 4
    instances: Sequence[str] = ()
    platform: str = "platform"
    starts: dict[str, list[TaskEvent]] = field(default_factory=dict)
    """Starts of tasks, by job."""

    def __post_init__(self) -> None:
        for event in self.history:
            if event.what is Happening.STARTED:
                self.starts.setdefault(job_of(event.task), []).append(event)

    def is_calm(
        self, part: str, from_s: float, until_s: float, *, window_s: float = STABLE_WINDOW_S
    ) -> bool:
        """Return whether a part, and the platform, ran undisturbed from a window before on."""
        return not any(
            disturbance.part in (part, self.platform)
            and disturbance.from_s <= until_s
            and disturbance.until_s >= from_s - window_s
            for disturbance in self.disturbances
        )

    def is_site_calm(self, from_s: float, until_s: float) -> bool:
        """Return whether nothing was disturbed from a window before on."""
        return not any(
            disturbance.from_s <= until_s and disturbance.until_s >= from_s - STABLE_WINDOW_S
            for disturbance in self.disturbances
        )
