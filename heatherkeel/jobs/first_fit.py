"""The baseline policy: each job in order of submission on the first worker that has capacity."""

from __future__ import annotations

from heatherkeel.core.state import FleetState

from .models import Job
from .packing import find_free_capacity
from .policy import PlacementRound, RoundRequest, due_jobs, placement, policy


@policy("first_fit")
def plan_first_fit(state: FleetState, request: RoundRequest) -> PlacementRound:
    """Place by declared size, ignoring teams, service classes, racks and quotas."""
    planned = PlacementRound()
    due = due_jobs(state, request, planned)
    pools = find_free_capacity(state, request.pools)

    def by_submission(item: tuple[str, Job]) -> tuple[int, str]:
        return (item[1].submitted_offset, item[0])

    for job_id, job in sorted(due.items(), key=by_submission):
        if planned.placed >= request.limit:
            planned.count_waiting("round_full")
            continue
        pool = pools.get(job.spec.pool)
        need = job.spec.size
        worker = pool and next(
            (worker for worker in pool.by_id.values() if worker.has_capacity_for(need)), None
        )
        if not worker:
            planned.count_waiting("no_room")
            continue
        worker.reserve(need)
        planned.records.append(placement(job_id, job, worker.instance, request.placer))
        planned.placed += 1
    return planned
