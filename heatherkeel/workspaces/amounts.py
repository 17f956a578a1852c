"""Amounts of the resources that a workspace's limit covers."""

from __future__ import annotations

from typing import NamedTuple

from heatherkeel.platform.callers import StepRequest
from heatherkeel.platform.operator import Capacity
from heatherkeel.platform.ranges import Int64


class Amount(NamedTuple):
    """CPU in thousandths of a core, memory in MiB, and accelerators."""

    cpu: Int64 = 0
    memory_mb: Int64 = 0
    gpu: Int64 = 0

    def plus(self, other: Amount) -> Amount:
        """Return the sum."""
        return Amount(self.cpu + other.cpu, self.memory_mb + other.memory_mb, self.gpu + other.gpu)

    def minus(self, other: Amount) -> Amount:
        """Return the difference, at least 0 of each resource."""
        return Amount(
            max(0, self.cpu - other.cpu),
            max(0, self.memory_mb - other.memory_mb),
            max(0, self.gpu - other.gpu),
        )

    def at_least(self, other: Amount) -> Amount:
        """Return the greater of both, for each resource."""
        return Amount(
            max(self.cpu, other.cpu),
            max(self.memory_mb, other.memory_mb),
            max(self.gpu, other.gpu),
        )

    def at_most(self, other: Amount) -> Amount:
        """Return the smaller of both, for each resource."""
        return Amount(
            min(self.cpu, other.cpu),
            min(self.memory_mb, other.memory_mb),
            min(self.gpu, other.gpu),
        )

    def scaled(self, numerator: int, denominator: int) -> Amount:
        """Return a fraction, rounded down."""
        return Amount(*(part * numerator // denominator for part in self))

    def is_within(self, allowed: Amount, limit: Amount) -> bool:
        """Return whether it is allowed; a resource with a limit of 0 isn't limited."""
        return all(
            part <= most or not bound
            for part, most, bound in zip(self, allowed, limit, strict=True)
        )


NOTHING = Amount()


def amount_of_capacity(capacity: Capacity) -> Amount:
    """Return the amount of a limit; 0 of a resource means no limit."""
    return Amount(capacity.cpu, capacity.memory_mb, capacity.gpu)


def amount_of_task(step: StepRequest) -> Amount:
    """Return what one task of a step takes of its workspace's limit.

    The CPU of best-effort tasks counts here: it is used, though no capacity is reserved for it.
    """
    return Amount(step.cpu, step.memory_mb, step.gpu)
