"""Preempts batch jobs for urgent jobs: checkpoints the fewest and cheapest jobs of one worker."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from heatherkeel.catalogue.models import ServiceClass
from heatherkeel.core.state import FleetState

from .const import MAX_PREEMPTIONS_PER_ROUND, PREEMPTION_CANDIDATES
from .models import Job, JobStatus, Resources, job_team
from .packing import PoolCapacity, WorkerCapacity
from .records import CheckpointCause, JobCheckpoint


@dataclass(frozen=True, kw_only=True, slots=True)
class Victim:
    """A batch job that can be checkpointed; the cost of a checkpoint is its memory."""

    job_id: str
    team: str
    held: Resources
    version: int
    attempt: int


@dataclass(kw_only=True, slots=True)
class Preemptions:
    """Preemptions of one round; each worker and each victim is used at most once."""

    pools: dict[str, PoolCapacity]
    jobs: Mapping[str, Job]
    in_progress: set[str]
    """Urgent jobs with a preemption in progress.

    A checkpoint takes longer than a round, and no further victims must be chosen meanwhile.
    """
    count: int = 0
    victims: dict[str, list[Victim]] | None = None

    def preempt_for(
        self, job_id: str, job: Job, need: Resources, *, quota_left: Resources | None
    ) -> list[JobCheckpoint]:
        """Return the checkpoints that free capacity for an urgent job; empty if impossible.

        `quota_left` is given if the team's quota is exhausted. Then only jobs of the same team
        are preempted, as they have to free both the worker and the quota.
        """
        if self.count >= MAX_PREEMPTIONS_PER_ROUND or job_id in self.in_progress:
            return []
        best: list[Victim] = []
        best_worker: WorkerCapacity | None = None
        pool = self.pools[job.spec.pool]
        compared = 0
        only_team = "" if quota_left is None else job_team(job_id)
        for worker, victims in self._worker_victims(pool, job_id, only_team):
            chosen = select_victims(victims, need, _free_capacity(worker, quota_left))
            if not chosen:
                continue
            if best_worker is None or _cost(chosen) < _cost(best):
                best, best_worker = chosen, worker
            compared += 1
            if compared == PREEMPTION_CANDIDATES:
                break
        if best_worker is None:
            return []
        return self._commit(job_id, best, best_worker)

    def _commit(
        self, job_id: str, victims: list[Victim], worker: WorkerCapacity
    ) -> list[JobCheckpoint]:
        worker.held_for = job_id
        self.count += 1
        self.in_progress.add(job_id)
        return [
            JobCheckpoint(
                job=victim.job_id,
                attempt=victim.attempt,
                expected_version=victim.version,
                cause=CheckpointCause.URGENT,
                for_job=job_id,
            )
            for victim in victims
        ]

    def _worker_victims(
        self, pool: PoolCapacity, job_id: str, only_team: str
    ) -> list[tuple[WorkerCapacity, list[Victim]]]:
        if self.victims is None:
            self.victims = find_victims(self.jobs)
        found = []
        for instance_id in sorted(self.victims.keys() & pool.by_id.keys()):
            worker = pool.by_id[instance_id]
            if worker.held_for not in ("", job_id):
                continue
            victims = self.victims[instance_id]
            if only_team:
                victims = [victim for victim in victims if victim.team == only_team]
            if victims:
                found.append((worker, victims))
        return found


def start_preemptions(
    state: FleetState, pools: dict[str, PoolCapacity], jobs: Mapping[str, Job]
) -> Preemptions:
    """Return the preemptions of a new round, with those still in progress."""
    holds = state.jobs.holds.values()
    in_progress = {hold.job for hold in holds if hold.until_ms > state.now_ms}
    return Preemptions(pools=pools, jobs=jobs, in_progress=in_progress)


def find_victims(jobs: Mapping[str, Job]) -> dict[str, list[Victim]]:
    """Return the running batch jobs that can be checkpointed, by worker."""
    victims: dict[str, list[Victim]] = {}
    for job_id, job in jobs.items():
        if not _is_victim(job) or job.reserved is None:
            continue
        victim = Victim(
            job_id=job_id,
            team=job_team(job_id),
            held=job.reserved,
            version=job.version,
            attempt=job.attempt,
        )
        victims.setdefault(job.instance, []).append(victim)
    return victims


def select_victims(victims: list[Victim], need: Resources, free: Resources) -> list[Victim]:
    """Return a small set of victims that frees enough capacity, or none if all don't suffice.

    Greedy by memory, largest first; then victims that aren't needed are removed, also largest
    first.
    """
    chosen: list[Victim] = []
    for victim in sorted(victims, key=lambda item: (-item.held.memory_mib, item.job_id)):
        if _frees_enough(chosen, need, free):
            break
        chosen.append(victim)
    if not _frees_enough(chosen, need, free):
        return []
    for victim in list(chosen):
        others = [other for other in chosen if other is not victim]
        if others and _frees_enough(others, need, free):
            chosen = others
    return chosen


def _is_victim(job: Job) -> bool:
    return (
        job.status is JobStatus.RUNNING
        and job.spec.checkpointable
        and not job.cancelling
        and job.spec.service_class is ServiceClass.BATCH
    )


def _frees_enough(victims: list[Victim], need: Resources, free: Resources) -> bool:
    cpu = free.cpu_millicores + sum(victim.held.cpu_millicores for victim in victims)
    memory = free.memory_mib + sum(victim.held.memory_mib for victim in victims)
    accelerators = free.accelerators + sum(victim.held.accelerators for victim in victims)
    return (
        need.cpu_millicores <= cpu
        and need.memory_mib <= memory
        and need.accelerators <= accelerators
    )


def _free_capacity(worker: WorkerCapacity, quota_left: Resources | None) -> Resources:
    """Return the free capacity of a worker, limited by the quota that is left if given."""
    limits = [worker.free()] if quota_left is None else [worker.free(), quota_left]
    return Resources(
        cpu_millicores=min(limit.cpu_millicores for limit in limits),
        memory_mib=min(limit.memory_mib for limit in limits),
        accelerators=min(limit.accelerators for limit in limits),
    )


def _cost(victims: list[Victim]) -> tuple[int, int]:
    return (len(victims), sum(victim.held.memory_mib for victim in victims))
