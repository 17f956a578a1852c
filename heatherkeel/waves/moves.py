"""Proposes moves from pools with a surplus to pools that lack instances."""

from __future__ import annotations

from collections import Counter

from heatherkeel.catalogue.models import PoolEntry
from heatherkeel.core.state import FleetState
from heatherkeel.pools.models import Instance, InstanceStatus

from .budget import check_budgets
from .models import Drain, DrainStart, Purpose
from .wave import check_planned_stop


def plan_moves(
    fleet: FleetState, *, coordinator: str, planned: list[DrainStart]
) -> list[DrainStart]:
    """Return at most one move for each pool that lacks instances; no instance moves twice.

    Instances without a pool are taken first, then those of the pool with the largest surplus.
    Failed instances count in their pools, so a failure alone causes no move.
    """
    lacking = _count_lacking(fleet)
    planned_ids = {drain.instance for drain in planned}
    drains: list[DrainStart] = []
    for pool, missing in sorted(lacking.items()):
        chosen = _choose_donor(fleet, pool, lacking, planned_ids) if missing > 0 else None
        if chosen is None:
            continue
        planned_ids.add(chosen)
        lacking[fleet.pools.instances[chosen].pool] += 1
        drain = DrainStart(
            instance=chosen,
            expected_version=fleet.pools.instances[chosen].version,
            coordinator=coordinator,
            purpose=Purpose.MOVE,
            to_pool=pool,
        )
        drains.append(drain)
    return drains


def _count_lacking(fleet: FleetState) -> dict[str, int]:
    """Return how many instances each pool lacks (negative: surplus), including pending moves."""
    lacking = {
        name: stored.entry.size
        for name, stored in fleet.catalogue.entries.items()
        if isinstance(stored.entry, PoolEntry)
    }
    lacking[""] = 0
    for instance_id, instance in fleet.pools.instances.items():
        pool = _destination_pool(instance, fleet.waves.drains.get(instance_id))
        if pool in lacking:
            lacking[pool] -= 1
    return lacking


def _destination_pool(instance: Instance, drain: Drain | None) -> str:
    if drain is not None and drain.purpose is Purpose.MOVE:
        return drain.to_pool
    return instance.pool


def _choose_donor(
    fleet: FleetState, pool: str, lacking: dict[str, int], planned_ids: set[str]
) -> str | None:
    """Return the instance to move: without a pool if possible, from the pool's smallest zone."""
    zones = Counter(value.zone for value in fleet.pools.instances.values() if value.pool == pool)
    donors = [
        (instance.pool != "", lacking[instance.pool], zones[instance.zone], instance_id)
        for instance_id, instance in fleet.pools.instances.items()
        if lacking.get(instance.pool, 0) < 0
        and instance.status is InstanceStatus.SERVING
        and instance_id not in planned_ids
        and check_planned_stop(fleet, instance.pool) is None
        and check_budgets(fleet, instance.pool, without=instance_id) is None
    ]
    return min(donors)[-1] if donors else None
