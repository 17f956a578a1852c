"""Everything that the owner of a partition knows about it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from heatherkeel.platform.operator import Queue

from .building import remaining_work
from .const import ARRIVAL_WINDOW_MS, LEASE_MS
from .models import Job, Worker
from .open_steps import OpenSteps


@dataclass(kw_only=True, slots=True)
class Pool:
    """The workers of one service, and the steps that wait for room there."""

    service: str
    workers: dict[str, Worker] = field(default_factory=dict)
    open_steps: OpenSteps = field(default_factory=OpenSteps)
    """Steps with tasks to start."""
    arrivals: deque[tuple[int, float]] = field(default_factory=deque)
    """When the jobs of the last while came, and the core-milliseconds that each asks for."""

    def take_arrival(self, job: Job, now_ms: int) -> None:
        """Take in that a job has come."""
        steps = job.request.steps
        if any(step.lasts for step in steps):
            return
        self.arrivals.append((now_ms, remaining_work(steps)[0]))

    def arriving_cpu(self, now_ms: int) -> int:
        """Return the processor that jobs ask for at the pace at which they come now."""
        while self.arrivals and now_ms - self.arrivals[0][0] > ARRIVAL_WINDOW_MS:
            self.arrivals.popleft()
        return round(sum(work for _, work in self.arrivals) * 1000 / ARRIVAL_WINDOW_MS)


@dataclass(kw_only=True, slots=True)
class PartitionState:
    """Everything that the owner of a partition knows about it."""

    token: int
    lease_ms: int
    status_ms: int
    longest_lease_ms: int = LEASE_MS
    """What workers shorten longer leases to."""
    now_ms: int = 0
    wall_ms: int = 0
    jobs: dict[str, Job] = field(default_factory=dict)
    finished: dict[str, Job] = field(default_factory=dict)
    """Jobs that have ended, in the order of their ends, until they are forgotten."""
    workers: dict[str, Worker] = field(default_factory=dict)
    queues: dict[str, Queue] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    gone_lives: dict[str, frozenset[int]] = field(default_factory=dict)
    """When lives began that have surely ended, by worker, while an entry stands under its id."""
    left_out: dict[str, int] = field(default_factory=dict)
    """Of these, workers whose entries were told not to be believed, and the start of that life."""
    leaving_ms: int = 0
    """When the fleet's owner last named the workers that leave."""
    can_start: bool = True
    """Whether starts can be stored and sent now."""

    def is_gone(self, worker_id: str, born: int) -> bool:
        """Say whether a life has surely ended; one that doesn't tell its start may be any."""
        gone = self.gone_lives.get(worker_id)
        return gone is not None and (not born or born in gone)

    def find_job(self, job_id: str) -> Job | None:
        """Return a job, also one that has ended."""
        return self.jobs.get(job_id) or self.finished.get(job_id)
