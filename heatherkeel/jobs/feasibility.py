"""Distinguishes jobs that can never run from jobs that have to wait."""

from __future__ import annotations

from collections.abc import Set

from heatherkeel.catalogue.models import PoolEntry
from heatherkeel.core.state import FleetState

from .models import Job, Resources, job_team
from .reservations import capacity_of, fits, quota_of

PoolShapes = dict[str, set[Resources]]


def pool_shapes(state: FleetState, pools: Set[str]) -> PoolShapes:
    """Return the distinct worker sizes of each pool, regardless of the workers' status."""
    shapes: PoolShapes = {}
    for instance in state.pools.instances.values():
        if instance.pool not in pools:
            continue
        shapes.setdefault(instance.pool, set()).add(capacity_of(instance))
    return shapes


def permanent_obstacle(state: FleetState, shapes: PoolShapes, job_id: str, job: Job) -> str:
    """Return why a queued job can never run, or an empty string if it may run later.

    Only the declared size counts, as learned sizes are estimates. An empty pool is no reason,
    since workers are replaced; nor is the size of a job that a worker had room for before.
    """
    if 0 < job.spec.not_after_ms < state.now_ms:
        return "not started by its latest start"
    pool = state.catalogue.entries.get(job.spec.pool)
    if pool is None or not isinstance(pool.entry, PoolEntry):
        return f"pool {job.spec.pool} is not in the catalogue"
    quota = quota_of(state, job_team(job_id))
    if quota is None:
        return f"team {job_team(job_id)} is not in the catalogue"
    if not fits(job.spec.size, quota):
        return f"larger than the quota of team {job_team(job_id)}"
    sizes = shapes.get(job.spec.pool)
    if job.attempt == 0 and sizes and not any(fits(job.spec.size, size) for size in sizes):
        return f"larger than any worker of pool {job.spec.pool}"
    return ""
