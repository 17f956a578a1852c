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
from .packing import PoolRooms, Room, find_rooms
from .policy import PlacementRound, RoundRequest, due_jobs, placement, policy, wanted_jobs
from .preemption import Preemptions, start_preemptions
from .reservations import clip_need

SpreadKey = tuple[str, str]
"""Job family, and name of a pool, availability zone or rack."""


@dataclass(kw_only=True, slots=True)
class _Round:
    """Working data of one round."""

    state: FleetState
    request: RoundRequest
    planned: PlacementRound
    rooms: dict[str, PoolRooms]
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
    rooms = find_rooms(state, request.pools)
    this = _Round(
        state=state,
        request=request,
        planned=planned,
        rooms=rooms,
        queue=fair_queue(state, due),
        preemptions=start_preemptions(state, rooms, wanted_jobs(state, request)),
        spread=_count_families(state, wanted_jobs(state, request)),
    )
    while planned.placed < request.limit:
        job_id = this.queue.pop()
        if job_id is None:
            break
        _place_one(this, job_id, due[job_id])
    return planned


def _place_one(this: _Round, job_id: str, job: Job) -> None:
    pool = this.rooms.get(job.spec.pool)
    if pool is None:
        this.planned.wait("no_worker")
        return
    team = this.queue.teams[job_team(job_id)]
    need = clip_need(_size(this, job_id, job), job.spec.size, pool.largest, team.quota)
    if not team.has(need):
        _wait_or_preempt(this, job_id, job, need, quota_left=team.left())
        return
    room = _find_room(this, pool, job_id, job, need)
    if room is None:
        _wait_or_preempt(this, job_id, job, need, quota_left=None)
        return
    pool.take(room, need)
    team.add(need)
    _count(this.spread, family_key(job_id, job), job.spec.pool, room)
    this.planned.records.append(placement(job_id, job, room.instance, this.request.placer))
    this.planned.placed += 1


def _wait_or_preempt(
    this: _Round, job_id: str, job: Job, need: Resources, *, quota_left: Resources | None
) -> None:
    reason = "no_room" if quota_left is None else "no_quota"
    if job.spec.service_class is not ServiceClass.URGENT:
        this.planned.wait(reason)
        return
    records = this.preemptions.make_room(job_id, job, need, quota_left=quota_left)
    this.planned.records += records
    this.planned.wait("checkpoint_of_others" if records else reason)


def _size(this: _Round, job_id: str, job: Job) -> Resources:
    """Return the expected size, cached by family and declared size."""
    key = (family_key(job_id, job), job.spec.size)
    size = this.sizes.get(key)
    if size is None:
        size = expected_size(this.state, job_id, job)
        this.sizes[key] = size
    return size


def _find_room(
    this: _Round, pool: PoolRooms, job_id: str, job: Job, need: Resources
) -> Room | None:
    """Return the best fit among the first suitable workers, or any worker that has capacity."""
    held = pool.held.get(job_id)
    if held is not None and held.has(need):
        return held
    if pool.is_hopeless(need):
        return None
    suits = _suits(this, pool, job_id, job)
    best: Room | None = None
    second_choice: Room | None = None
    compared = 0
    for room in pool.with_room(need, job_id):
        if not suits(room):
            second_choice = second_choice or room
            continue
        if best is None or room.left_over(need) < best.left_over(need):
            best = room
        compared += 1
        if compared == FIT_CANDIDATES:
            break
    if best is None and second_choice is None:
        pool.failed_needs.append(need)
    return best or second_choice


def _suits(this: _Round, pool: PoolRooms, job_id: str, job: Job) -> Callable[[Room], bool]:
    """Return a predicate for workers that keep the family spread and haven't failed the job.

    The spread limits are loose: spreading small families as widely as possible would fragment
    the workers and leave no capacity for large jobs.
    """
    family = family_key(job_id, job)
    spread = this.spread
    total = spread.get((family, job.spec.pool), 0)
    zone_limit = total // max(1, len(pool.zones)) + SPREAD_TOLERANCE
    rack_limit = total // max(1, len(pool.racks)) + SPREAD_TOLERANCE

    def suits(room: Room) -> bool:
        return (
            spread.get((family, room.zone), 0) < zone_limit
            and spread.get((family, room.rack), 0) < rack_limit
            and room.instance not in job.failed_on
        )

    return suits


def _count_families(state: FleetState, jobs: Mapping[str, Job]) -> dict[SpreadKey, int]:
    """Count the tasks of each family by pool, availability zone and rack."""
    spread: dict[SpreadKey, int] = {}
    for job_id, job in jobs.items():
        if job.status not in ACTIVE_STATUSES:
            continue
        instance = state.pools.instances.get(job.instance)
        if instance is not None:
            _count(spread, family_key(job_id, job), job.spec.pool, instance)
    return spread


def _count(spread: dict[SpreadKey, int], family: str, pool: str, place: Room | Instance) -> None:
    for domain in (pool, place.zone, place.rack):
        key = (family, domain)
        spread[key] = spread.get(key, 0) + 1
