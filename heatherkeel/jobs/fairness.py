"""Order of queued jobs: by service class, then by the teams' dominant share of their quota."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from heatherkeel.catalogue.models import CLASS_ORDER, ServiceClass
from heatherkeel.core.state import FleetState

from .models import Job, Resources, job_team
from .reservations import quota_of

_FRACTION_UNITS = 1_000_000
_NO_QUOTA = Resources()


@dataclass(kw_only=True, slots=True)
class TeamUsage:
    """Usage and quota of a team in this round."""

    quota: Resources
    cpu_millicores: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def dominant_share(self) -> int:
        """Return the dominant share: the largest used fraction of any quota, in millionths."""
        return max(
            _used_fraction(self.cpu_millicores, self.quota.cpu_millicores),
            _used_fraction(self.memory_mib, self.quota.memory_mib),
            _used_fraction(self.accelerators, self.quota.accelerators),
        )

    def has_quota_for(self, need: Resources) -> bool:
        """Return whether the remaining quota covers a need."""
        return (
            self.cpu_millicores + need.cpu_millicores <= self.quota.cpu_millicores
            and self.memory_mib + need.memory_mib <= self.quota.memory_mib
            and self.accelerators + need.accelerators <= self.quota.accelerators
        )

    def remaining(self) -> Resources:
        """Return the remaining quota, at least 0 of each resource."""
        return Resources(
            cpu_millicores=max(0, self.quota.cpu_millicores - self.cpu_millicores),
            memory_mib=max(0, self.quota.memory_mib - self.memory_mib),
            accelerators=max(0, self.quota.accelerators - self.accelerators),
        )

    def add(self, need: Resources) -> None:
        """Add the resources of a placement to the usage."""
        self.cpu_millicores += need.cpu_millicores
        self.memory_mib += need.memory_mib
        self.accelerators += need.accelerators


@dataclass(kw_only=True, slots=True)
class FairQueue:
    """Queue of one round; the caller adds each placement to its `TeamUsage` before the next `pop`.

    Within a service class, the team with the smallest dominant share comes next, so that a team
    with a large backlog can't starve the others.
    """

    teams: dict[str, TeamUsage] = field(default_factory=dict)
    queues: dict[ServiceClass, dict[str, deque[str]]] = field(default_factory=dict)
    heaps: dict[ServiceClass, list[tuple[int, str]]] = field(default_factory=dict)

    def pop(self) -> str | None:
        """Return the next job, or None if the queue is empty."""
        for service_class in CLASS_ORDER:
            heap = self.heaps.get(service_class)
            while heap:
                queued_share, team = heappop(heap)
                current = self.teams[team].dominant_share()
                if current > queued_share:
                    heappush(heap, (current, team))
                    continue
                queue = self.queues[service_class][team]
                job_id = queue.popleft()
                if queue:
                    heappush(heap, (current, team))
                return job_id
        return None


def fair_queue(state: FleetState, due: dict[str, Job]) -> FairQueue:
    """Return the queue of one round."""
    queue = FairQueue()
    ordered = sorted(due.items(), key=lambda item: (item[1].submitted_offset, item[0]))
    for job_id, job in ordered:
        team = job_team(job_id)
        if team not in queue.teams:
            queue.teams[team] = _team_usage(state, team)
        teams = queue.queues.setdefault(job.spec.service_class, {})
        teams.setdefault(team, deque()).append(job_id)
    for service_class, teams in queue.queues.items():
        heap = [(queue.teams[team].dominant_share(), team) for team in teams]
        heapify(heap)
        queue.heaps[service_class] = heap
    return queue


def _team_usage(state: FleetState, team: str) -> TeamUsage:
    usage = TeamUsage(quota=quota_of(state, team) or _NO_QUOTA)
    load = state.jobs.teams.get(team)
    if load is not None:
        usage.cpu_millicores = load.cpu_millicores
        usage.memory_mib = load.memory_mib
        usage.accelerators = load.accelerators
    return usage


def _used_fraction(used: int, quota: int) -> int:
    if used == 0:
        return 0
    return used * _FRACTION_UNITS // max(1, quota)
