"""Invariant checks for the state of jobs."""

from __future__ import annotations

from collections.abc import Iterator

from heatherkeel.core.models import Violation
from heatherkeel.core.registry import checks
from heatherkeel.core.state import FleetState
from heatherkeel.pools.models import InstanceStatus

from .models import ACTIVE_STATUSES, JobStatus, Load, Resources, job_team
from .reservations import capacity_of, memory_overrun


@checks("non_idempotent_job_runs_at_most_once")
def check_runs(state: FleetState) -> Iterator[Violation]:
    """Find jobs that aren't idempotent and may have run more often than allowed."""
    for job_id, job in state.jobs.live.items():
        if not job.spec.idempotent and job.runs > job.runs_allowed:
            detail = f"{job.runs} runs, {job.runs_allowed} allowed"
            yield _violation(state, "non_idempotent_job_runs_at_most_once", job_id, detail)


@checks("no_accepted_job_vanishes")
def check_jobs_kept(state: FleetState) -> Iterator[Violation]:
    """Check that each accepted job is either live, finished or removed after its retention."""
    jobs = state.jobs
    kept = len(jobs.live) + len(jobs.finished) + jobs.forgotten
    if kept != jobs.accepted or sum(jobs.remembered.values()) + jobs.forgotten != jobs.accepted:
        detail = f"{jobs.accepted} accepted, {kept} known"
        yield _violation(state, "no_accepted_job_vanishes", "jobs", detail)
    for job_id in jobs.live.keys() & jobs.finished.keys():
        yield _violation(state, "no_accepted_job_vanishes", job_id, "both live and finished")


@checks("job_status_matches_what_it_holds")
def check_status(state: FleetState) -> Iterator[Violation]:
    """Find jobs with a task but no reservation, queued jobs with one, and finished live jobs."""
    for job_id, job in state.jobs.live.items():
        holds = job.reserved is not None
        wrong = (job.status in ACTIVE_STATUSES and not holds) or (
            job.status is JobStatus.QUEUED and holds
        )
        if wrong or job.status in (JobStatus.SUCCEEDED, JobStatus.FAILED, JobStatus.CANCELLED):
            detail = f"{job.status}, holds: {holds}"
            yield _violation(state, "job_status_matches_what_it_holds", job_id, detail)


@checks("worker_capacity_holds_for_jobs")
def check_capacity(state: FleetState) -> Iterator[Violation]:
    """Find workers that are overcommitted, or whose recorded load is wrong."""
    expected, _ = _recompute_loads(state)
    yield from _differences(state, "worker_capacity_holds_for_jobs", expected, state.jobs.loads)
    for instance_id, load in expected.items():
        instance = state.pools.instances.get(instance_id)
        if instance is None:
            continue
        capacity = capacity_of(instance)
        overcommitted = (
            load.cpu_millicores > capacity.cpu_millicores
            or load.memory_mib > capacity.memory_mib
            or load.accelerators > capacity.accelerators
        )
        if overcommitted:
            detail = f"holds {load}, has {capacity}"
            yield _violation(state, "worker_capacity_holds_for_jobs", instance_id, detail)


@checks("team_usage_is_booked_rightly")
def check_team_usage(state: FleetState) -> Iterator[Violation]:
    """Find teams whose recorded usage differs from the reservations of their jobs.

    The quota isn't checked here, as an operator may lower it below the current usage.
    """
    _, expected = _recompute_loads(state)
    yield from _differences(state, "team_usage_is_booked_rightly", expected, state.jobs.teams)


@checks("planned_stop_cuts_no_job")
def check_planned_stops(state: FleetState) -> Iterator[Violation]:
    """Find active jobs on an instance that was stopped by a planned drain."""
    for job_id, job in state.jobs.live.items():
        if job.status not in ACTIVE_STATUSES:
            continue
        instance = state.pools.instances.get(job.instance)
        drain = state.waves.drains.get(job.instance)
        planned = drain is not None and not drain.was_failed
        if planned and instance is not None and instance.status is InstanceStatus.STOPPED:
            detail = f"{job.instance} was stopped under it"
            yield _violation(state, "planned_stop_cuts_no_job", job_id, detail)


def _recompute_loads(state: FleetState) -> tuple[dict[str, Load], dict[str, Load]]:
    """Recompute the loads of workers and teams from the jobs."""
    loads: dict[str, Load] = {}
    teams: dict[str, Load] = {}
    for job_id, job in state.jobs.live.items():
        if job.reserved is None:
            continue
        _add(loads.setdefault(job.instance, Load()), job.reserved, memory_overrun(job))
        _add(teams.setdefault(job_team(job_id), Load()), job.reserved, 0)
    for orphan in state.jobs.orphans.values():
        _add(loads.setdefault(orphan.instance, Load()), orphan.reserved, 0)
    return loads, teams


def _add(load: Load, held: Resources, overrun_mib: int) -> None:
    load.cpu_millicores += held.cpu_millicores
    load.memory_mib += held.memory_mib
    load.accelerators += held.accelerators
    load.overrun_mib += overrun_mib
    load.tasks += 1


def _differences(
    state: FleetState, promise: str, expected: dict[str, Load], recorded: dict[str, Load]
) -> Iterator[Violation]:
    for key in expected.keys() | recorded.keys():
        if expected.get(key) != recorded.get(key):
            detail = f"holds {expected.get(key)}, recorded {recorded.get(key)}"
            yield _violation(state, promise, key, detail)


def _violation(state: FleetState, promise: str, where: str, detail: str) -> Violation:
    return Violation(promise=promise, offset=state.next_offset - 1, where=where, detail=detail)
