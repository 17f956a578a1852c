"""Ways to divide a workspace's limit between partitions."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from .amounts import NOTHING, Amount


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """What a workspace uses and waits for in one partition."""

    used: Amount = NOTHING
    waiting: Amount = NOTHING
    largest: Amount = NOTHING
    oldest_ms: int = 0


Divide = Callable[[Amount, Sequence[Demand]], list[Amount]]
DIVISIONS: Final[dict[str, Divide]] = {}


def division(name: str) -> Callable[[Divide], Divide]:
    """Register a way to divide a limit."""

    def register(divide: Divide) -> Divide:
        DIVISIONS[name] = divide
        return divide

    return register


@division("even")
def divide_evenly(limit: Amount, demands: Sequence[Demand]) -> list[Amount]:
    """Give each partition the same part: it never changes, and most of it is unused."""
    return [limit.scaled(1, len(demands)) for _ in demands]


@division("by_demand")
def divide_by_demand(limit: Amount, demands: Sequence[Demand]) -> list[Amount]:
    """Give each partition what it uses, then what waits there, then a part of the rest.

    One waiting task of each partition comes before all others, the longest waiting partition
    first: otherwise each part might be too small for any task. If more runs than the limit allows,
    the parts are smaller than what runs.
    """
    used = _total(demand.used for demand in demands)
    if not used.is_within(limit, limit):
        return [_scale_to(demand.used, limit, used) for demand in demands]
    parts = [demand.used for demand in demands]
    left = limit.minus(used)
    order = sorted(range(len(demands)), key=lambda index: demands[index].oldest_ms)
    for index in order:
        first = demands[index].largest
        if first.is_within(left, limit):
            parts[index] = parts[index].plus(first)
            left = left.minus(first)
    needs = [
        demand.used.plus(demand.waiting).minus(part)
        for demand, part in zip(demands, parts, strict=True)
    ]
    wanted = _total(needs)
    given = [need.at_most(_scale_to(need, left, wanted)) for need in needs]
    left = left.minus(_total(given))
    parts = [part.plus(more) for part, more in zip(parts, given, strict=True)]
    return _add_reserve(parts, left)


def _add_reserve(parts: list[Amount], left: Amount) -> list[Amount]:
    """Add what is left: half of it evenly, and half where most is used or wanted already.

    A demand peak goes on where it has begun, and begins where nothing is used yet.
    """
    even = left.scaled(1, 2 * len(parts))
    total = _total(parts)
    return [
        Amount(
            *(
                part + base + (part * free // (2 * whole) if whole else base)
                for part, base, free, whole in zip(amount, even, left, total, strict=True)
            )
        )
        for amount in parts
    ]


def _total(amounts: Iterable[Amount]) -> Amount:
    total = NOTHING
    for amount in amounts:
        total = total.plus(amount)
    return total


def _scale_to(amount: Amount, available: Amount, total: Amount) -> Amount:
    """Return an amount's part of what is available for a total, rounded down."""
    return Amount(
        *(
            part * have // whole if whole > have else part
            for part, have, whole in zip(amount, available, total, strict=True)
        )
    )
