"""The baseline policy: each job in order of submission on the first worker that has capacity."""

from __future__ import annotations

from heatherkeel.core.state import FleetState

from .models import Job
from .packing import find_rooms
from .policy import PlacementRound, RoundRequest, due_jobs, placement, policy


@policy("first_fit")
def plan_first_fit(state: FleetState, request: RoundRequest) -> PlacementRound:
    """Place by declared size, ignoring teams, service classes, racks and quotas."""
    planned = PlacementRound()
    due = due_jobs(state, request, planned)
    rooms = find_rooms(state, request.pools)

    def by_submission(item: tuple[str, Job]) -> tuple[int, str]:
        return (item[1].submitted_offset, item[0])

    for job_id, job in sorted(due.items(), key=by_submission):
        if planned.placed >= request.limit:
            planned.wait("round_full")
            continue
        pool = rooms.get(job.spec.pool)
        need = job.spec.size
        room = pool and next((room for room in pool.by_id.values() if room.has(need)), None)
        if not room:
            planned.wait("no_room")
            continue
        room.take(need)
        planned.records.append(placement(job_id, job, room.instance, request.placer))
        planned.placed += 1
    return planned
