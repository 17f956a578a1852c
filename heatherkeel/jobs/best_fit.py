"""The policy in use: fair order, learned sizes, tight fit, spread, and room made for the urgent."""

from __future__ import annotations

from dataclasses import dataclass, field

from heatherkeel.catalogue.models import ServiceClass
from heatherkeel.core.state import FleetState
from heatherkeel.pools.models import Instance

from .fairness import FairQueue, fair_queue
from .learning import expected_size, family_key
from .models import HOLDING, Job, Resources, job_team
from .packing import PoolRooms, Room, find_rooms
from .policy import PlacementRound, RoundRequest, due_jobs, placement, policy
from .preemption import Preemptions, start_preemptions
from .reservations import clip_need

SpreadKey = tuple[str, str]
"""A job family or a pool, and an availability zone or a rack."""


@dataclass(kw_only=True, slots=True)
class _Round:
    """All that one round keeps in hand."""

    state: FleetState
    request: RoundRequest
    planned: PlacementRound
    due: dict[str, Job]
    rooms: dict[str, PoolRooms]
    queue: FairQueue
    preemptions: Preemptions
    spread: dict[SpreadKey, int]
    sizes: dict[tuple[str, Resources], Resources] = field(default_factory=dict)


@policy("best_fit")
def plan_best_fit(state: FleetState, request: RoundRequest) -> PlacementRound:
    """Plan one round; jobs that find no room wait, urgent ones have room made for them."""
    planned = PlacementRound()
    due = due_jobs(state, request, planned)
    if not due:
        return planned
    rooms = find_rooms(state, request.pools)
    this = _Round(
        state=state,
        request=request,
        planned=planned,
        due=due,
        rooms=rooms,
        queue=fair_queue(state, due),
        preemptions=start_preemptions(state, rooms),
        spread=_count_families(state),
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
    """Return the expected size; jobs of one family and declared size share the answer."""
    key = (family_key(job_id, job), job.spec.size)
    size = this.sizes.get(key)
    if size is None:
        size = expected_size(this.state, job_id, job)
        this.sizes[key] = size
    return size


def _find_room(
    this: _Round, pool: PoolRooms, job_id: str, job: Job, need: Resources
) -> Room | None:
    """Return the best worker: zone with fewest of the family, then rack, then tightest fit.

    A worker on which the job failed before is taken only if there is no other.
    """
    held = pool.held.get(job_id)
    if held is not None and held.has(need):
        return held
    if pool.is_hopeless(need):
        return None
    family = family_key(job_id, job)
    second_choice: Room | None = None
    for zone in _zones_by_count(this, pool, family, job.spec.pool):
        candidates = pool.candidates(zone, need, job_id)
        fresh = [room for room in candidates if room.instance not in job.failed_on]
        if fresh:
            return min(fresh, key=lambda room: _rank(this, family, room, need))
        if candidates and second_choice is None:
            second_choice = candidates[0]
    if second_choice is None:
        pool.failed_needs.append(need)
    return second_choice


def _zones_by_count(this: _Round, pool: PoolRooms, family: str, pool_name: str) -> list[str]:
    """Return the zones of a pool, those with the fewest tasks of the family first.

    Among equals the one with fewest tasks of the pool: most families are small, and by name
    alone all of them would begin in the same zone.
    """
    spread = this.spread

    def count(zone: str) -> tuple[int, int, str]:
        return (spread.get((family, zone), 0), spread.get((pool_name, zone), 0), zone)

    return sorted(pool.zones, key=count)


def _rank(this: _Round, family: str, room: Room, need: Resources) -> tuple[int, int, str]:
    in_rack = this.spread.get((family, room.rack), 0)
    return (in_rack, room.left_over(need), room.instance)


def _count_families(state: FleetState) -> dict[SpreadKey, int]:
    """Count the tasks of each family by availability zone and by rack."""
    spread: dict[SpreadKey, int] = {}
    for job_id, job in state.jobs.live.items():
        if job.status not in HOLDING:
            continue
        instance = state.pools.instances.get(job.instance)
        if instance is not None:
            _count(spread, family_key(job_id, job), job.spec.pool, instance)
    return spread


def _count(spread: dict[SpreadKey, int], family: str, pool: str, place: Room | Instance) -> None:
    for key in ((family, place.zone), (family, place.rack), (pool, place.zone)):
        spread[key] = spread.get(key, 0) + 1
