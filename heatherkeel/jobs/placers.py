"""Assigns the pools to entry instances, which place the pools' jobs.

The assignment only avoids duplicate records: any process may place any job, and the fold accepts
the first placement of each version.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from heatherkeel.catalogue.models import ServiceClass
from heatherkeel.core.state import FleetState

from .const import TAKEOVER_DELAY_MS
from .models import Job, JobStatus


@dataclass(kw_only=True)
class PlacerOrder:
    """The placer and the standby placer of each pool, by rendezvous hashing.

    When an entry instance joins or leaves, only its own pools are reassigned. The order is cached
    until then.
    """

    alive: frozenset[str] = frozenset()
    candidates: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def refresh(self, state: FleetState, now_ms: int) -> None:
        """Update the entry instances that have a valid lease at this log time."""
        alive = frozenset(
            instance_id
            for instance_id, entry in state.membership.entries.items()
            if entry.lease_until_ms > now_ms
        )
        if alive != self.alive:
            self.alive = alive
            self.candidates = {}

    def placers_of(self, pool: str) -> tuple[str, ...]:
        """Return the placer and the standby placer of a pool, as far as available."""
        found = self.candidates.get(pool)
        if found is None:
            ordered = sorted(self.alive, key=lambda instance_id: _weight(instance_id, pool))
            found = tuple(ordered[:2])
            self.candidates[pool] = found
        return found

    def assigned_jobs(self, state: FleetState, instance_id: str, now_ms: int) -> dict[str, Job]:
        """Return the live jobs of the pools that are assigned to this entry instance.

        A crashed placer keeps its lease for a while. If an urgent job waits too long, the standby
        placer takes over the pool as well.
        """
        self.refresh(state, now_ms)
        overdue_pools = {
            job.spec.pool
            for job in state.jobs.live.values()
            if _is_overdue(job, now_ms) and self.placers_of(job.spec.pool)[1:] == (instance_id,)
        }
        return {
            job_id: job
            for job_id, job in state.jobs.live.items()
            if self.placers_of(job.spec.pool)[:1] == (instance_id,)
            or job.spec.pool in overdue_pools
        }


def _is_overdue(job: Job, now_ms: int) -> bool:
    urgent = job.spec.service_class is ServiceClass.URGENT
    if not urgent or job.status not in (JobStatus.QUEUED, JobStatus.PLACED):
        return False
    return now_ms - max(job.changed_ms, job.not_before_ms) > TAKEOVER_DELAY_MS


def _weight(instance_id: str, pool: str) -> bytes:
    return hashlib.blake2b(f"{instance_id}|{pool}".encode(), digest_size=8).digest()
