"""Models of learned durations."""

from __future__ import annotations

from dataclasses import dataclass
from math import log
from typing import NamedTuple


class StepEstimate(NamedTuple):
    """Expected durations of a step's tasks, in milliseconds."""

    task_ms: int
    """Mean duration of a task."""
    longest_ms: int
    """Duration of the step's longest task."""


class Ended(NamedTuple):
    """A step with all of its tasks done, or a content's earlier ones."""

    tasks: float
    """Number of its tasks with a known duration."""
    mean_log: float
    """Mean of the logarithms of these durations in milliseconds."""


class ErrorFactors(NamedTuple):
    """By which factor the estimates of an ended step were off, as logarithms."""

    declared: float
    learned: float


class StepKind(NamedTuple):
    """What the durations of a step are learned by."""

    queue: str
    content: int
    declared_ms: int
    tasks: int


@dataclass(kw_only=True, slots=True)
class StepTimes:
    """Durations of the ended tasks of one step, as logarithms, in constant memory."""

    tasks: int = 0
    mean: float = 0.0
    squares: float = 0.0
    """Sum of the squared differences from the mean."""

    def add(self, took_ms: float) -> None:
        """Add the duration of one task."""
        value = log(max(1.0, took_ms))
        self.tasks += 1
        before = value - self.mean
        self.mean += before / self.tasks
        self.squares += before * (value - self.mean)

    def ended(self) -> Ended:
        """Return the number of tasks and their mean."""
        return Ended(tasks=self.tasks, mean_log=self.mean)
