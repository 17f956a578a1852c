"""Expected durations of a step's tasks, from what is known of its queue and of its content."""

from __future__ import annotations

from math import exp, sqrt
from statistics import NormalDist
from typing import Final

from .models import Ended, StepEstimate
from .sums import QueueSums

_NORMAL: Final = NormalDist()
_MIN_VARIANCE: Final = 0.01
"""Smallest assumed variance of a step's mean around its queue's line."""


def find_typical_log(
    sums: QueueSums, declared_ms: float, known: Ended | None
) -> tuple[float, float]:
    """Return the expected mean logarithm of a step's durations, and its variance.

    What is known of the same content counts by the number of its ended tasks, against the spread of
    steps around the queue's line.
    """
    line = sums.predict_log(declared_ms)
    variance = max(_MIN_VARIANCE, sums.learned_rms() ** 2)
    if known is None or known.tasks <= 0:
        return line, variance
    content_variance = sums.task_spread() / known.tasks
    weight = variance / (variance + content_variance)
    return line + weight * (known.mean_log - line), variance * (1 - weight)


def estimate_step(
    sums: QueueSums, *, declared_ms: float, tasks: int, known: Ended | None
) -> StepEstimate:
    """Return the expected durations of a step's tasks."""
    typical, _ = find_typical_log(sums, declared_ms, known)
    spread = sums.task_spread()
    mean_log = typical + spread / 2
    longest_log = typical + sqrt(spread) * _expected_maximum(tasks)
    return StepEstimate(
        task_ms=round(exp(mean_log)), longest_ms=round(exp(max(mean_log, longest_log)))
    )


def estimate_quantile_ms(
    sums: QueueSums, *, declared_ms: float, known: Ended | None, quantile: float
) -> float:
    """Return the time within which a fraction of such tasks end, in milliseconds."""
    typical, variance = find_typical_log(sums, declared_ms, known)
    return exp(typical + _NORMAL.inv_cdf(quantile) * sqrt(variance + sums.task_spread()))


def _expected_maximum(count: int) -> float:
    """Return the expected maximum of standard normal values, by Blom's approximation."""
    return _NORMAL.inv_cdf((count - 0.375) / (count + 0.25)) if count > 1 else 0.0
