"""The production policy, and the baselines that it is compared with."""

from __future__ import annotations

from collections import Counter

from heatherkeel.pools.models import Instance

from .budget import Rack, rack_of
from .const import DEFAULT_POLICY, FIXED_SHARE_DIVISOR, HOUR_MS
from .policy import PoolView, policy


@policy(DEFAULT_POLICY)
def choose_spread(view: PoolView) -> str | None:
    """Choose overdue instances first, then maximise the number of concurrent drains.

    A budget reserves capacity for the loss of its largest rack or availability zone. A drain
    there lowers the reserve, which allows another drain elsewhere. Such drains are paired with
    drains that need the lower reserve, so that some remain for the last rounds. On ties the
    availability zone with the fewest drains is next, so that each zone keeps local targets.
    """
    racks = Counter(rack_of(instance) for instance in view.candidates.values())
    margins = {rack: view.margin_without(rack) for rack in racks}
    concurrency = _concurrency_by_rack(view, racks, [rack for rack in racks if margins[rack] >= 0])
    overdue_before_ms = view.now_ms - view.maintenance.period_h * HOUR_MS

    def rank(item: tuple[str, Instance]) -> tuple[bool, int, int, int, int, int, str]:
        instance_id, instance = item
        rack = rack_of(instance)
        age = instance.maintained_ms
        is_early = age > overdue_before_ms
        in_zone = view.draining[instance.zone]
        return is_early, -concurrency[rack], in_zone, margins[rack], -racks[rack], age, instance_id

    fitting = [item for item in view.candidates.items() if rack_of(item[1]) in concurrency]
    return min(fitting, key=rank)[0] if fitting else None


def _concurrency_by_rack(
    view: PoolView, candidates: Counter[Rack], first_racks: list[Rack]
) -> dict[Rack, int]:
    """Return for each rack how many drains can run concurrently if one in it starts first.

    Racks that are equal in size, zone size and candidates have the same result, computed once.
    """
    concurrency_of_kind: dict[tuple[int, int, int], int] = {}
    concurrency: dict[Rack, int] = {}
    for rack in first_racks:
        kind = (view.serving.racks[rack], view.serving.zones[rack[0]], candidates[rack])
        if kind not in concurrency_of_kind:
            concurrency_of_kind[kind] = _count_concurrent(view, candidates, rack)
        concurrency[rack] = concurrency_of_kind[kind]
    return concurrency


def _count_concurrent(view: PoolView, candidates: Counter[Rack], first: Rack) -> int:
    """Count the drains that can run concurrently if one in rack `first` starts now."""
    left = candidates.copy()
    taken = [first]
    _remove_one(view, left, first)
    while len(taken) < view.free_slots():
        margins = [(view.margin_without(rack), rack) for rack in left if left[rack] > 0]
        best, rack = max(margins, default=(-1, first))
        if best < 0:
            break
        taken.append(rack)
        _remove_one(view, left, rack)
    for rack in taken:
        view.serving.add(rack, 1)
    return len(taken)


def _remove_one(view: PoolView, left: Counter[Rack], rack: Rack) -> None:
    left[rack] -= 1
    view.serving.add(rack, -1)


@policy("largest_rack_first")
def choose_largest_rack_first(view: PoolView) -> str | None:
    """Choose the instance that leaves the largest margin, without pairing drains."""
    margins = {key: view.margin_without(rack_of(value)) for key, value in view.candidates.items()}
    return min(margins, key=lambda instance_id: (-margins[instance_id], instance_id))


@policy("one_at_a_time")
def choose_one(view: PoolView) -> str | None:
    """Choose by id, one instance at a time."""
    return None if view.active_drains() else min(view.candidates)


@policy("fixed_share")
def choose_fixed_share(view: PoolView) -> str | None:
    """Choose by id, a fixed fraction of the pool at a time."""
    limit = max(1, view.size // FIXED_SHARE_DIVISOR)
    return None if view.active_drains() >= limit else min(view.candidates)
