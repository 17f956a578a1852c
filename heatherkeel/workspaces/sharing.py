"""Finds the workspaces that use more than their part of capacity for which others wait."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .const import MIN_WEIGHT, OVER_PART_FACTOR, SHORT_FACTOR


@dataclass(frozen=True, kw_only=True, slots=True)
class Use:
    """What a workspace uses and waits for over all partitions, in thousandths of a core."""

    used: float
    waiting: float = 0.0
    weight: float = 1.0

    def wanted(self) -> float:
        """Return what it would use if nothing were short."""
        return self.used + self.waiting


def divide_by_weight(capacity: float, uses: Mapping[str, Use]) -> dict[str, float]:
    """Return each workspace's part of a capacity (max-min fairness by weight).

    Nobody's part exceeds what it wants; what that leaves is divided between the others.
    """

    def weight_of(name: str) -> float:
        return max(MIN_WEIGHT, uses[name].weight)

    parts = {}
    left = capacity
    weights = sum(weight_of(name) for name in uses)
    for name in sorted(uses, key=lambda name: (uses[name].wanted() / weight_of(name), name)):
        parts[name] = min(uses[name].wanted(), left * weight_of(name) / weights)
        left -= parts[name]
        weights -= weight_of(name)
    return parts


def find_over_part(uses: Mapping[str, Use], *, known: frozenset[str]) -> list[str]:
    """Return the workspaces that use more than their part while others have less than theirs.

    The furthest above its part comes first. `known` were found the last time, and stay until they
    are down to their part: a workspace at its part would otherwise change with each round.
    """
    parts = divide_by_weight(sum(use.used for use in uses.values()), uses)
    if not any(use.used < SHORT_FACTOR * parts[name] for name, use in uses.items()):
        return []
    over = [
        name
        for name, use in uses.items()
        if use.used > (1.0 if name in known else OVER_PART_FACTOR) * parts[name]
    ]
    return sorted(over, key=lambda name: (parts[name] / uses[name].used, name))
