"""Accounting of the resources that jobs reserve on workers and in team quotas."""

from __future__ import annotations

from heatherkeel.catalogue.models import TeamEntry
from heatherkeel.core.models import Rejected, RejectReason
from heatherkeel.core.state import FleetState
from heatherkeel.pools.models import Instance

from .const import MILLICORES_PER_CPU
from .learning import expected_size
from .models import Job, Load, Orphan, Resources, job_team, latest_task_id


def capacity_of(instance: Instance) -> Resources:
    """Return the total resources of a worker."""
    return Resources(
        cpu_millicores=instance.cpus * MILLICORES_PER_CPU,
        memory_mib=instance.memory_mib,
        accelerators=instance.accelerators,
    )


def quota_of(state: FleetState, team: str) -> Resources | None:
    """Return a team's quota over all pools, or None if the team has no entry."""
    stored = state.catalogue.entries.get(team)
    if stored is None or not isinstance(stored.entry, TeamEntry):
        return None
    return Resources(
        cpu_millicores=stored.entry.cpu_quota * MILLICORES_PER_CPU,
        memory_mib=stored.entry.memory_quota_mib,
        accelerators=stored.entry.accelerator_quota,
    )


def free_resources(capacity: Resources, load: Load | None) -> Resources:
    """Return the free resources, at least 0 each."""
    if load is None:
        return capacity
    return Resources(
        cpu_millicores=max(0, capacity.cpu_millicores - load.cpu_millicores),
        memory_mib=max(0, capacity.memory_mib - load.memory_mib - load.overrun_mib),
        accelerators=max(0, capacity.accelerators - load.accelerators),
    )


def fits(need: Resources, available: Resources) -> bool:
    """Return whether the available resources cover a need."""
    return (
        need.cpu_millicores <= available.cpu_millicores
        and need.memory_mib <= available.memory_mib
        and need.accelerators <= available.accelerators
    )


def clip_need(expected: Resources, declared: Resources, *limits: Resources) -> Resources:
    """Return the expected size, reduced to the limits but not below the declared size.

    A learned size can exceed every worker or the quota, and the job would wait forever.
    """
    return Resources(
        cpu_millicores=_clip(
            expected.cpu_millicores,
            declared.cpu_millicores,
            min(limit.cpu_millicores for limit in limits),
        ),
        memory_mib=_clip(
            expected.memory_mib,
            declared.memory_mib,
            min(limit.memory_mib for limit in limits),
        ),
        accelerators=declared.accelerators,
    )


def _clip(expected: int, declared: int, limit: int) -> int:
    if expected <= declared:
        return expected
    return max(declared, min(expected, limit))


def required_resources(
    state: FleetState, job_id: str, job: Job, instance: Instance, quota: Resources
) -> Resources:
    """Return the resources that an attempt would reserve on this worker."""
    expected = expected_size(state, job_id, job)
    return clip_need(expected, job.spec.size, capacity_of(instance), quota)


def find_shortage(
    state: FleetState, team: str, quota: Resources, instance_id: str, need: Resources
) -> Rejected | None:
    """Return the rejection of a need that exceeds the team's quota or the worker, or None.

    Checked in the fold, so that two racing placers can't both use the same free capacity.
    """
    if not fits(need, free_resources(quota, state.jobs.teams.get(team))):
        return Rejected(reason=RejectReason.QUOTA, detail=f"team {team} has no quota left")
    capacity = capacity_of(state.pools.instances[instance_id])
    if not fits(need, free_resources(capacity, state.jobs.loads.get(instance_id))):
        return Rejected(reason=RejectReason.IN_USE, detail=f"{instance_id} has no room")
    return None


def held_for(state: FleetState, instance_id: str) -> str:
    """Return the urgent job that a worker is currently held for; empty if there is none."""
    hold = state.jobs.holds.get(instance_id)
    if hold is None or hold.until_ms <= state.now_ms:
        return ""
    return hold.job


def reserve(state: FleetState, job_id: str, job: Job, instance_id: str, need: Resources) -> None:
    """Reserve resources for a job on a worker and in the quota of its team."""
    job.instance = instance_id
    job.reserved = need
    _add_reservation(state.jobs.loads, instance_id, need)
    _add_reservation(state.jobs.teams, job_team(job_id), need)


def release(state: FleetState, job_id: str, job: Job) -> None:
    """Release the reservation of the latest attempt, whose task can't run any more."""
    if job.reserved is None:
        return
    state.jobs.loads[job.instance].overrun_mib -= memory_overrun(job)
    _remove_reservation(state.jobs.loads, job.instance, job.reserved)
    _remove_reservation(state.jobs.teams, job_team(job_id), job.reserved)
    job.reserved = None


def abandon_task(state: FleetState, job_id: str, job: Job) -> None:
    """Abandon a task that may still run: release the team's quota, but not the worker.

    A partitioned worker can come back with the task running. With its capacity reassigned, the
    worker would run out of memory and other jobs would be killed.
    """
    if job.reserved is None:
        return
    task = latest_task_id(job_id, job)
    state.jobs.orphans[task] = Orphan(job=job_id, instance=job.instance, reserved=job.reserved)
    state.jobs.loads[job.instance].overrun_mib -= memory_overrun(job)
    _remove_reservation(state.jobs.teams, job_team(job_id), job.reserved)
    job.reserved = None


def release_orphan(state: FleetState, task: str) -> None:
    """Release the reservation of an abandoned task that can't run any more."""
    orphan = state.jobs.orphans.pop(task)
    _remove_reservation(state.jobs.loads, orphan.instance, orphan.reserved)


def record_usage(state: FleetState, job: Job, *, memory_mib: int, cpu_millicores: int) -> None:
    """Record measured usage; memory used beyond the reservation isn't available to other jobs."""
    before = memory_overrun(job)
    job.peak_memory_mib = max(job.peak_memory_mib, memory_mib)
    job.peak_cpu_millicores = max(job.peak_cpu_millicores, cpu_millicores)
    if job.reserved is not None:
        state.jobs.loads[job.instance].overrun_mib += memory_overrun(job) - before


def memory_overrun(job: Job) -> int:
    """Return the memory in MiB that an attempt used beyond its reservation."""
    if job.reserved is None:
        return 0
    return max(0, job.peak_memory_mib - job.reserved.memory_mib)


def _add_reservation(loads: dict[str, Load], key: str, need: Resources) -> None:
    load = loads.setdefault(key, Load())
    load.cpu_millicores += need.cpu_millicores
    load.memory_mib += need.memory_mib
    load.accelerators += need.accelerators
    load.tasks += 1


def _remove_reservation(loads: dict[str, Load], key: str, need: Resources) -> None:
    load = loads[key]
    load.cpu_millicores -= need.cpu_millicores
    load.memory_mib -= need.memory_mib
    load.accelerators -= need.accelerators
    load.tasks -= 1
    if load.tasks == 0:
        del loads[key]
