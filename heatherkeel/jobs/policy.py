"""Registry of placement policies: functions from the folded state to the records of one round.

A policy only proposes placements; the fold checks each of them and refuses invalid ones.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final

from heatherkeel.core.errors import RegistrationError
from heatherkeel.core.models import RecordBody
from heatherkeel.core.state import FleetState

from .const import MAX_BATCH, MAX_PLACEMENTS_PER_ROUND
from .feasibility import permanent_obstacle, pool_shapes
from .models import Job, JobStatus, task_id
from .records import JobPlace, JobUnplaceable


@dataclass(frozen=True, kw_only=True, slots=True)
class RoundRequest:
    """Scope and limits of one round; None for `pools` or `jobs` means all of them.

    `now_ms` is the placer's estimate of log time. The state's time advances only with new
    records, and retries that are due must not wait for the next one.
    """

    placer: str
    pools: frozenset[str] | None = None
    jobs: Mapping[str, Job] | None = None
    now_ms: int = 0
    limit: int = MAX_PLACEMENTS_PER_ROUND


@dataclass(kw_only=True, slots=True)
class PlacementRound:
    """Records to append, in order, and the number of waiting jobs by reason."""

    records: list[RecordBody] = field(default_factory=list)
    placed: int = 0
    waiting: dict[str, int] = field(default_factory=dict)

    def count_waiting(self, reason: str) -> None:
        """Count one waiting job."""
        self.waiting[reason] = self.waiting.get(reason, 0) + 1


Policy = Callable[[FleetState, RoundRequest], PlacementRound]
POLICIES: Final[dict[str, Policy]] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Register a placement policy under a name."""

    def register(function: Policy) -> Policy:
        if name in POLICIES:
            raise RegistrationError(f"policy {name} is registered twice")
        POLICIES[name] = function
        return function

    return register


def placement(job_id: str, job: Job, instance_id: str, placer: str) -> JobPlace:
    """Return the record that assigns the next attempt of a job to a worker."""
    attempt = job.attempt + 1
    return JobPlace(
        job=job_id,
        attempt=attempt,
        expected_version=job.version,
        instance=instance_id,
        task=task_id(job_id, job, attempt),
        placer=placer,
    )


def jobs_in_scope(state: FleetState, request: RoundRequest) -> Mapping[str, Job]:
    """Return the live jobs in the scope of a round."""
    return state.jobs.live if request.jobs is None else request.jobs


def due_jobs(state: FleetState, request: RoundRequest, planned: PlacementRound) -> dict[str, Job]:
    """Return the queued jobs that can be placed now, and plan to end those that can never run."""
    queued = [
        (job_id, job)
        for job_id, job in jobs_in_scope(state, request).items()
        if job.status is JobStatus.QUEUED
        and (request.pools is None or job.spec.pool in request.pools)
    ]
    if not queued:
        return {}
    now_ms = max(state.now_ms, request.now_ms)
    shapes = pool_shapes(state, {job.spec.pool for _, job in queued})
    due: dict[str, Job] = {}
    unplaceable: list[str] = []
    for job_id, job in queued:
        if job.not_before_ms > now_ms:
            planned.count_waiting("retry_not_due")
        elif permanent_obstacle(state, shapes, job_id, job):
            unplaceable.append(job_id)
        else:
            due[job_id] = job
    if unplaceable:
        planned.records.append(JobUnplaceable(jobs=tuple(sorted(unplaceable)[:MAX_BATCH])))
    return due
