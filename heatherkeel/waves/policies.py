"""The policies: ours, and the baselines that it is measured against."""

from __future__ import annotations

from collections import Counter

from heatherkeel.pools.models import Instance

from .budget import Rack, rack_of
from .const import DEFAULT_POLICY, FIXED_SHARE_DIVISOR, HOUR_MS
from .policy import PoolView, policy


@policy(DEFAULT_POLICY)
def choose_spread(view: PoolView) -> str | None:
    """Choose overdue instances first, then so that most drains fit side by side.

    What a budget holds in reserve is its largest rack or availability zone. A drain there makes
    that loss smaller, which leaves room for a drain elsewhere. Those helpful drains are paired
    with ones that need the help: spent on each other, the last rounds would have none left.
    Among equals the availability zone with the fewest drains is next, so that each zone keeps
    targets for its own callers.
    """
    racks = Counter(rack_of(instance) for instance in view.candidates.values())
    margins = {rack: view.margin_without(rack) for rack in racks}
    reach = _reach_of_racks(view, racks, [rack for rack in racks if margins[rack] >= 0])
    overdue_before_ms = view.now_ms - view.maintenance.period_h * HOUR_MS

    def rank(item: tuple[str, Instance]) -> tuple[bool, int, int, int, int, int, str]:
        instance_id, instance = item
        rack = rack_of(instance)
        age = instance.maintained_ms
        is_early = age > overdue_before_ms
        in_zone = view.draining[instance.zone]
        return is_early, -reach[rack], in_zone, margins[rack], -racks[rack], age, instance_id

    fitting = [item for item in view.candidates.items() if rack_of(item[1]) in reach]
    return min(fitting, key=rank)[0] if fitting else None


def _reach_of_racks(
    view: PoolView, candidates: Counter[Rack], firsts: list[Rack]
) -> dict[Rack, int]:
    """Return how many drains fit side by side if one in each rack were the first.

    Racks of the same size in availability zones of the same size are alike; one is counted.
    """
    reach_of_kind: dict[tuple[int, int, int], int] = {}
    reach: dict[Rack, int] = {}
    for rack in firsts:
        kind = (view.serving.racks[rack], view.serving.zones[rack[0]], candidates[rack])
        if kind not in reach_of_kind:
            reach_of_kind[kind] = _reach(view, candidates, rack)
        reach[rack] = reach_of_kind[kind]
    return reach


def _reach(view: PoolView, candidates: Counter[Rack], first: Rack) -> int:
    """Count the drains that fit side by side if one in rack `first` starts now."""
    left = candidates.copy()
    taken = [first]
    _take(view, left, first)
    while len(taken) < view.room():
        margins = [(view.margin_without(rack), rack) for rack in left if left[rack] > 0]
        best, rack = max(margins, default=(-1, first))
        if best < 0:
            break
        taken.append(rack)
        _take(view, left, rack)
    for rack in taken:
        view.serving.add(rack, 1)
    return len(taken)


def _take(view: PoolView, left: Counter[Rack], rack: Rack) -> None:
    left[rack] -= 1
    view.serving.add(rack, -1)


@policy("largest_rack_first")
def choose_largest_rack_first(view: PoolView) -> str | None:
    """Choose whoever leaves the largest margin: our first version, without the pairing."""
    margins = {key: view.margin_without(rack_of(value)) for key, value in view.candidates.items()}
    return min(margins, key=lambda instance_id: (-margins[instance_id], instance_id))


@policy("one_at_a_time")
def choose_one(view: PoolView) -> str | None:
    """Choose by name, one instance at a time: the simplest baseline."""
    return None if view.under_way() else min(view.candidates)


@policy("fixed_share")
def choose_fixed_share(view: PoolView) -> str | None:
    """Choose by name, a fixed share of the pool at a time."""
    share = max(1, view.size // FIXED_SHARE_DIVISOR)
    return None if view.under_way() >= share else min(view.candidates)
