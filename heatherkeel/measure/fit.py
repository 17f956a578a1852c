"""Straight lines through measured sizes: what one more of something costs."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

MIN_SIZES: Final = 4
"""Fewest sizes that a line is drawn through."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Slope:
    """A least-squares line `intercept + slope * size` through measured values.

    `residual_percent` is the largest distance of a value from the line, as a part of the largest
    value: near 100 it says that there is no line, whatever the slope.
    """

    name: str
    unit: str
    per: str
    sizes: list[int]
    values: list[float]
    slope: float
    intercept: float
    residual_percent: float

    def at(self, size: int) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


def fit(name: str, *, unit: str, per: str, sizes: Sequence[int], values: Sequence[float]) -> Slope:
    """Fit a line through at least four sizes."""
    if len(sizes) < MIN_SIZES:
        raise ValueError(f"{name}: {len(sizes)} sizes, at least {MIN_SIZES} are needed")
    slope, intercept = statistics.linear_regression(sizes, values)
    distances = [
        abs(value - intercept - slope * size) for size, value in zip(sizes, values, strict=True)
    ]
    largest = max(abs(value) for value in values) or 1.0
    return Slope(
        name=name,
        unit=unit,
        per=per,
        sizes=list(sizes),
        values=[round(value, 4) for value in values],
        slope=slope,
        intercept=intercept,
        residual_percent=round(100 * max(distances) / largest, 2),
    )


def format_slopes(slopes: Sequence[Slope]) -> str:
    """Return a table of slopes with the values that they were fitted through."""
    header = (
        f"{'what':34} {'unit':>6} {'slope':>11} {'per':>15} {'at 0':>10} {'residual':>9}  values"
    )
    rows = [
        f"{slope.name:34} {slope.unit:>6} {slope.slope:>11.5g} {slope.per:>15} "
        f"{slope.intercept:>10.5g} {slope.residual_percent:>8}%  "
        + " ".join(
            f"{size}:{value:.4g}" for size, value in zip(slope.sizes, slope.values, strict=True)
        )
        for slope in slopes
    ]
    return "\n".join([header, *rows])
