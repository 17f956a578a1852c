"""Divides machines between pool shares whose claims exceed what there is."""

from __future__ import annotations

from dataclasses import dataclass

from .models import PoolShare


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """The machines that a share's jobs of one priority can still use."""

    priority: int
    in_time: float
    late: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Claimant:
    """A share with its claims."""

    weight: float
    """Its size in the operator's initial layout."""
    least: int
    """The machines that it has in any case, as far as it claims them."""
    pinned: int = 0
    """The machines that can't leave it; it has them even without a claim."""
    demands: tuple[Demand, ...] = ()
    """In order of priority."""

    def in_time(self) -> float:
        """Return the machines that it claims for demand in time."""
        return sum(demand.in_time for demand in self.demands)

    def late(self) -> float:
        """Return the machines that it claims for late demand."""
        return sum(demand.late for demand in self.demands)

    def total(self) -> float:
        """Return all that it claims, in machines."""
        return self.in_time() + self.late()

    def first_priority(self) -> int:
        """Return the most important priority with demand; a low one if there is none."""
        priorities = [demand.priority for demand in self.demands if demand.in_time or demand.late]
        return min(priorities, default=1 << 16)


@dataclass(kw_only=True, slots=True)
class _Item:
    """A share's demand in time, or late: it has `given` of at most `wanted` machines."""

    share: PoolShare
    weight: float
    given: float
    wanted: float

    def at_level(self, level: float) -> float:
        """Return what it has when all items have so much by weight, where they want it."""
        return min(self.wanted, max(self.given, level * self.weight))


def divide(total: int, claimants: dict[PoolShare, Claimant]) -> dict[PoolShare, int]:
    """Return each share's part of `total` machines.

    The parts add up to no more than that, unless pinned machines alone do.

    Each share first gets its least part. The rest goes to demand in time, max-min fair by weight;
    and what is left then goes to late demand in the same way.
    """
    in_time: list[_Item] = []
    late: list[_Item] = []
    for share, claimant in claimants.items():
        secured = max(float(claimant.pinned), min(float(claimant.least), claimant.total()))
        for items, wanted in ((in_time, claimant.in_time()), (late, claimant.late())):
            given = min(secured, wanted)
            secured -= given
            items.append(_Item(share=share, weight=claimant.weight, given=given, wanted=wanted))
        # Pinned machines beyond its claim.
        late.append(_Item(share=share, weight=0.0, given=secured, wanted=secured))
    left = float(total) - sum(item.given for item in in_time + late)
    for items in (in_time, late):
        left -= _fill(items, left)
    parts = dict.fromkeys(claimants, 0.0)
    for item in in_time + late:
        parts[item.share] += item.given
    return _round(total, parts)


def _fill(items: list[_Item], left: float) -> float:
    """Raise all items to the highest common level that `left` allows; return what that took."""
    before = sum(item.given for item in items)
    if left <= 0:
        return 0.0
    low = 0.0
    high = max((item.wanted / item.weight for item in items if item.weight), default=0.0)
    if sum(item.at_level(high) for item in items) - before > left:
        for _ in range(30):
            level = (low + high) / 2
            if sum(item.at_level(level) for item in items) - before > left:
                high = level
            else:
                low = level
        high = low
    for item in items:
        item.given = item.at_level(high)
    return sum(item.given for item in items) - before


def _round(total: int, parts: dict[PoolShare, float]) -> dict[PoolShare, int]:
    """Round parts to whole machines: up where the fraction is largest, as long as there are any."""
    rounded = {share: int(part + 1e-6) for share, part in parts.items()}
    left = total - sum(rounded.values())
    by_fraction = sorted(parts, key=lambda share: (rounded[share] - parts[share], share))
    for share in by_fraction[: max(0, left)]:
        if parts[share] - rounded[share] > 1e-6:
            rounded[share] += 1
    return rounded
