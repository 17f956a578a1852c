"""What is learned of one queue: sums of its ended steps, which can be added up over owners."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import astuple, dataclass, fields
from math import isfinite, log, sqrt

from .const import (
    BIAS_PRIOR,
    DECLARED_ERROR,
    KEEP_FACTOR,
    MAX_LOG_ERROR,
    MAX_LOG_MS,
    MEMORY_STEPS,
    MIN_SPREAD,
    MIN_STEPS,
    RELATIVE_ERROR,
    SLOPE_PRIOR,
    SPREAD_PRIOR,
    SPREAD_PRIOR_TASKS,
)
from .models import StepTimes


@dataclass(kw_only=True, slots=True)
class QueueSums:
    """Sums over a queue's ended steps, of logarithms of durations in milliseconds.

    The ratio of the real to the declared duration is predicted by a line over the declared one. Its
    slope tells how much of what is declared can be believed: 0 if all of it, -1 if nothing.
    """

    steps: float = 0.0
    declared: float = 0.0
    ratio: float = 0.0
    """Sum of the logarithms of real by declared durations."""
    declared_squares: float = 0.0
    products: float = 0.0
    """Sum of declared duration times ratio."""
    declared_error: float = 0.0
    """Sum of the squared errors of the declared durations."""
    learned_error: float = 0.0
    """Sum of the squared errors of what was predicted before each step ended."""
    spread: float = 0.0
    """Sum of the squared differences of tasks from the mean of their step."""
    spread_tasks: float = 0.0
    """Number of these tasks, less one for each step."""

    def predict_log(self, declared_ms: float) -> float:
        """Return the expected logarithm of a task's duration from the declared one."""
        declared = log(max(1.0, declared_ms))
        if not self.steps:
            return declared
        mean = self.declared / self.steps
        squares = max(0.0, self.declared_squares - self.declared * mean)
        products = self.products - self.ratio * mean
        slope = max(-1.0, min(0.0, products / (squares + SLOPE_PRIOR)))
        bias = self.ratio / (self.steps + BIAS_PRIOR)
        return max(0.0, min(MAX_LOG_MS, declared + bias + slope * (declared - mean)))

    def declared_rms(self) -> float:
        """Return the root mean square error of the logarithms of declared durations."""
        return sqrt(self.declared_error / self.steps) if self.steps else 0.0

    def learned_rms(self) -> float:
        """Return the root mean square error of the logarithms of learned durations."""
        error = sqrt(self.learned_error / self.steps) if self.steps else 0.0
        return min(MAX_LOG_ERROR, error)

    def task_spread(self) -> float:
        """Return the variance of the logarithms of durations of one step's tasks."""
        squares = self.spread + SPREAD_PRIOR * SPREAD_PRIOR_TASKS
        spread = squares / (self.spread_tasks + SPREAD_PRIOR_TASKS)
        return max(MIN_SPREAD, min(MAX_LOG_ERROR, spread))

    def is_better(self, *, is_used: bool) -> bool:
        """Return whether declared durations are far off and learned ones are clearly better."""
        if self.steps < MIN_STEPS:
            return False
        factor = KEEP_FACTOR if is_used else 1.0
        far_off = DECLARED_ERROR * factor
        allowed = self.declared_rms() * RELATIVE_ERROR / factor
        return self.declared_rms() >= far_off and self.learned_rms() <= allowed

    def record(self, declared_ms: float, times: StepTimes, *, predicted_log: float) -> None:
        """Add an ended step; `predicted_log` was expected before."""
        self._scale(1 - 1 / MEMORY_STEPS)
        declared = log(max(1.0, declared_ms))
        real = times.mean
        if self.steps >= MIN_STEPS:
            real = predicted_log + _limit(real - predicted_log)
        ratio = real - declared
        self.steps += 1
        self.declared += declared
        self.ratio += ratio
        self.declared_squares += declared * declared
        self.products += declared * ratio
        self.declared_error += _limit(ratio) ** 2
        self.learned_error += _limit(real - predicted_log) ** 2
        self.spread += min(times.squares, max(0, times.tasks - 1) * MAX_LOG_ERROR)
        self.spread_tasks += max(0, times.tasks - 1)

    def add(self, other: QueueSums) -> None:
        """Add what another owner has learned of the same queue."""
        for field in fields(self):
            name = field.name
            setattr(self, name, getattr(self, name) + getattr(other, name))

    def limit_memory(self) -> None:
        """Limit the weight of what is known to that of one owner's."""
        if self.steps > MEMORY_STEPS:
            self._scale(MEMORY_STEPS / self.steps)

    def _scale(self, factor: float) -> None:
        for field in fields(self):
            setattr(self, field.name, getattr(self, field.name) * factor)

    def to_row(self) -> list[float]:
        """Return the sums as they are told to other owners."""
        return [round(value, 4) for value in astuple(self)]

    @classmethod
    def from_row(cls, row: list[float]) -> QueueSums | None:
        """Return the sums that another owner has told; None if they can't be sums."""
        names = [field.name for field in fields(cls)]
        if len(row) != len(names) or not all(isfinite(value) for value in row):
            return None
        sums = cls(**dict(zip(names, row, strict=True)))
        unsigned = (sums.steps, sums.declared_error, sums.learned_error, sums.spread_tasks)
        return sums if min(unsigned) >= 0 else None


def add_up(parts: Iterable[QueueSums]) -> QueueSums:
    """Return the total of what several owners have learned."""
    total = QueueSums()
    for part in parts:
        total.add(part)
    return total


def _limit(log_error: float) -> float:
    return max(-MAX_LOG_ERROR, min(MAX_LOG_ERROR, log_error))
