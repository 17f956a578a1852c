"""The default policy: best fit by learned size, fair between teams, spread, with preemption."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from heatherkeel.catalogue.models import ServiceClass
from heatherkeel.core.state import FleetState
from heatherkeel.pools.models import Instance

from .const import FIT_CANDIDATES, SPREAD_TOLERANCE
from .fairness import FairQueue, fair_queue
from .learning import expected_size, family_key
from .models import ACTIVE_STATUSES, Job, Resources, job_team
from .packing import PoolCapacity, WorkerCapacity, find_free_capacity
from .policy import PlacementRound, RoundRequest, due_jobs, jobs_in_scope, placement, policy
from .preemption import Preemptions, start_preemptions
from .reservations import clip_need

SpreadKey = tuple[str, str]
"""Job family, and name of a pool, availability zone or rack."""


@dataclass(kw_only=True, slots=True)
class _RoundContext:
    """Working data of one round."""

    state: FleetState
    request: RoundRequest
    planned: PlacementRound
    pools: dict[str, PoolCapacity]
    queue: FairQueue
    preemptions: Preemptions
    spread: dict[SpreadKey, int]
    sizes: dict[tuple[str, Resources], Resources] = field(default_factory=dict)


@policy("best_fit")
def plan_best_fit(state: FleetState, request: RoundRequest) -> PlacementRound:
    """Plan one round; other jobs are preempted for urgent jobs that don't fit."""
    planned = PlacementRound()
    due = due_jobs(state, request, planned)
    if not due:
        return planned
    pools = find_free_capacity(state, request.pools)
    context = _RoundContext(
        state=state,
        request=request,
        planned=planned,
        pools=pools,
        queue=fair_queue(state, due),
        preemptions=start_preemptions(state, pools, jobs_in_scope(state, request)),
        spread=_count_families(state, jobs_in_scope(state, request)),
    )
    while planned.placed < request.limit:
        job_id = context.queue.pop()
        if job_id is None:
            break
        _place_job(context, job_id, due[job_id])
    return planned


def _place_job(context: _RoundContext, job_id: str, job: Job) -> None:
    pool = context.pools.get(job.spec.pool)
    if pool is None:
        context.planned.count_waiting("no_worker")
        return
    team = context.queue.teams[job_team(job_id)]
    need = clip_need(_expected_size(context, job_id, job), job.spec.size, pool.largest, team.quota)
    if not team.has_quota_for(need):
        _wait_or_preempt(context, job_id, job, need, quota_left=team.remaining())
        return
    worker = _find_worker(context, pool, job_id, job, need)
    if worker is None:
        _wait_or_preempt(context, job_id, job, need, quota_left=None)
        return
    pool.reserve(worker, need)
    team.add(need)
    _increment_spread(context.spread, family_key(job_id, job), job.spec.pool, worker)
    context.planned.records.append(placement(job_id, job, worker.instance, context.request.placer))
    context.planned.placed += 1


def _wait_or_preempt(
    context: _RoundContext, job_id: str, job: Job, need: Resources, *, quota_left: Resources | None
) -> None:
    reason = "no_room" if quota_left is None else "no_quota"
    if job.spec.service_class is not ServiceClass.URGENT:
        context.planned.count_waiting(reason)
        return
    records = context.preemptions.preempt_for(job_id, job, need, quota_left=quota_left)
    context.planned.records += records
    context.planned.count_waiting("checkpoint_of_others" if records else reason)


def _expected_size(context: _RoundContext, job_id: str, job: Job) -> Resources:
    """Return the expected size, cached by family and declared size."""
    key = (family_key(job_id, job), job.spec.size)
    size = context.sizes.get(key)
    if size is None:
        size = expected_size(context.state, job_id, job)
        context.sizes[key] = size
    return size


def _find_worker(
    context: _RoundContext, pool: PoolCapacity, job_id: str, job: Job, need: Resources
) -> WorkerCapacity | None:
    """Return the best fit among the first suitable workers, or any worker that has capacity."""
    held = pool.held_workers.get(job_id)
    if held is not None and held.has_capacity_for(need):
        return held
    if pool.has_failed_before(need):
        return None
    is_suitable = _suitability_check(context, pool, job_id, job)
    best: WorkerCapacity | None = None
    fallback: WorkerCapacity | None = None
    compared = 0
    for worker in pool.workers_with_capacity(need, job_id):
        if not is_suitable(worker):
            fallback = fallback or worker
            continue
        if best is None or worker.remaining_per_mille(need) < best.remaining_per_mille(need):
            best = worker
        compared += 1
        if compared == FIT_CANDIDATES:
            break
    if best is None and fallback is None:
        pool.failed_needs.append(need)
    return best or fallback


def _suitability_check(
    context: _RoundContext, pool: PoolCapacity, job_id: str, job: Job
) -> Callable[[WorkerCapacity], bool]:
    """Return a predicate for workers that keep the family spread and haven't failed the job.

    The spread limits are loose: spreading small families as widely as possible would fragment
    the workers and leave no capacity for large jobs.
    """
    family = family_key(job_id, job)
    spread = context.spread
    total = spread.get((family, job.spec.pool), 0)
    zone_limit = total // max(1, len(pool.zones)) + SPREAD_TOLERANCE
    rack_limit = total // max(1, len(pool.racks)) + SPREAD_TOLERANCE

    def is_suitable(worker: WorkerCapacity) -> bool:
        return (
            spread.get((family, worker.zone), 0) < zone_limit
            and spread.get((family, worker.rack), 0) < rack_limit
            and worker.instance not in job.failed_on
        )

    return is_suitable


def _count_families(state: FleetState, jobs: Mapping[str, Job]) -> dict[SpreadKey, int]:
    """Count the tasks of each family by pool, availability zone and rack."""
    spread: dict[SpreadKey, int] = {}
    for job_id, job in jobs.items():
        if job.status not in ACTIVE_STATUSES:
            continue
        instance = state.pools.instances.get(job.instance)
        if instance is not None:
            _increment_spread(spread, family_key(job_id, job), job.spec.pool, instance)
    return spread


def _increment_spread(
    spread: dict[SpreadKey, int], family: str, pool: str, location: WorkerCapacity | Instance
) -> None:
    for domain in (pool, location.zone, location.rack):
        key = (family, domain)
        spread[key] = spread.get(key, 0) + 1
