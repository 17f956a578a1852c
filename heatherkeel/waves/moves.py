"""Proposes moves from pools that have more instances than they ask for."""

from __future__ import annotations

from collections import Counter

from heatherkeel.catalogue.models import PoolEntry
from heatherkeel.core.state import FleetState
from heatherkeel.pools.models import Instance, InstanceStatus

from .budget import check_budgets
from .models import Drain, DrainStart, Purpose
from .wave import check_planned_stop


def plan_moves(fleet: FleetState, *, coordinator: str, taken: list[DrainStart]) -> list[DrainStart]:
    """Return at most one move for each pool that lacks instances; no instance moves twice.

    A pool's missing instances come from the spare ones first, then from the pool with the
    largest surplus. Failed instances still belong to their pools: a repair is no reason to move.
    """
    lacking = _lacking(fleet)
    busy = {drain.instance for drain in taken}
    drains: list[DrainStart] = []
    for pool, missing in sorted(lacking.items()):
        chosen = _choose(fleet, pool, lacking, busy) if missing > 0 else None
        if chosen is None:
            continue
        busy.add(chosen)
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


def _lacking(fleet: FleetState) -> dict[str, int]:
    """Return how many instances each pool lacks, below 0 a surplus; moves under way count."""
    lacking = {
        name: stored.entry.size
        for name, stored in fleet.catalogue.entries.items()
        if isinstance(stored.entry, PoolEntry)
    }
    lacking[""] = 0
    for instance_id, instance in fleet.pools.instances.items():
        pool = _pool_to_be(instance, fleet.waves.drains.get(instance_id))
        if pool in lacking:
            lacking[pool] -= 1
    return lacking


def _pool_to_be(instance: Instance, drain: Drain | None) -> str:
    if drain is not None and drain.purpose is Purpose.MOVE:
        return drain.to_pool
    return instance.pool


def _choose(fleet: FleetState, pool: str, lacking: dict[str, int], busy: set[str]) -> str | None:
    """Return the instance to move: a spare one if there is any, from where the pool has fewest."""
    zones = Counter(value.zone for value in fleet.pools.instances.values() if value.pool == pool)
    donors = [
        (instance.pool != "", lacking[instance.pool], zones[instance.zone], instance_id)
        for instance_id, instance in fleet.pools.instances.items()
        if lacking.get(instance.pool, 0) < 0
        and instance.status is InstanceStatus.SERVING
        and instance_id not in busy
        and check_planned_stop(fleet, instance.pool) is None
        and check_budgets(fleet, instance.pool, without=instance_id) is None
    ]
    return min(donors)[-1] if donors else None
