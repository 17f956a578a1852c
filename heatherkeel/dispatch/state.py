"""State of a partition, as kept by its owner."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from heatherkeel.durations.book import DurationBook
from heatherkeel.platform.operator import Queue
from heatherkeel.platform.ranges import LARGEST_WORK
from heatherkeel.platform.settings import DEFAULT_RECORD_BYTES
from heatherkeel.workspaces.account import AccountBook

from .building import remaining_work
from .const import ARRIVAL_WINDOW_MS, LEASE_MS, MAX_LOSSES, THOROUGH_PASS_MS
from .models import ForwardedJob, Job, Task, UnclearLoss, WorkerLoss
from .open_steps import OpenSteps
from .terms import JobTerms
from .worker import Worker


@dataclass(kw_only=True, slots=True)
class Pool:
    """The workers of one service, and the steps that wait for capacity there."""

    service: str
    workers: dict[str, Worker] = field(default_factory=dict)
    open_steps: OpenSteps = field(default_factory=OpenSteps)
    """Steps with tasks to start."""
    arrivals: deque[tuple[int, float]] = field(default_factory=deque)
    """Arrival time and requested core-milliseconds of each recent job."""
    losses: deque[WorkerLoss] = field(default_factory=lambda: deque(maxlen=MAX_LOSSES))
    """The workers that were lost last, and may have crashed."""
    thorough_pass_ms: int = 0
    """When waiting steps were last examined however many didn't fit."""

    def record_arrival(self, job: Job, now_ms: int) -> None:
        """Record the arrival of a job; jobs with long-running tasks don't count."""
        steps = job.request.steps
        if any(step.lasts for step in steps):
            return
        self.arrivals.append((now_ms, remaining_work(steps, job.estimates)[0]))

    def begin_thorough_pass(self, now_ms: int) -> bool:
        """Begin a pass that examines waiting steps however many don't fit, if one is due.

        That takes long, so it is done between demand peaks only, and not at every event.
        """
        if now_ms - self.thorough_pass_ms < THOROUGH_PASS_MS or self.arriving_cpu(now_ms):
            return False
        self.thorough_pass_ms = now_ms
        return True

    def arriving_cpu(self, now_ms: int) -> int:
        """Return the processor capacity that jobs need at the current arrival rate."""
        while self.arrivals and now_ms - self.arrivals[0][0] > ARRIVAL_WINDOW_MS:
            self.arrivals.popleft()
        work = min(LARGEST_WORK, sum(work for _, work in self.arrivals))
        return round(work * 1000 / ARRIVAL_WINDOW_MS)


@dataclass(kw_only=True, slots=True)
class PartitionState:
    """State of a partition, changed only by the reducer's event handlers."""

    token: int
    lease_ms: int
    status_ms: int
    longest_lease_ms: int = LEASE_MS
    """Longest lease that workers grant; they shorten longer ones to it."""
    now_ms: int = 0
    wall_ms: int = 0
    jobs: dict[str, Job] = field(default_factory=dict)
    finished: dict[str, Job] = field(default_factory=dict)
    """Ended jobs in the order in which they ended, until their records are deleted."""
    forwarded: dict[str, ForwardedJob] = field(default_factory=dict)
    """Jobs that were accepted here and that another partition runs, by ID."""
    workers: dict[str, Worker] = field(default_factory=dict)
    queues: dict[str, Queue] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    ended_incarnations: dict[str, frozenset[int]] = field(default_factory=dict)
    """Start times of ended incarnations by worker, as long as the worker's ID has an entry."""
    ignored_entries: dict[str, int] = field(default_factory=dict)
    """Start time of the ended incarnation by worker, where its ignored entry was logged."""
    paused: dict[Task, int] = field(default_factory=dict)
    """The tasks whose starts are paused, with the end of each pause."""
    unclear_losses: dict[str, list[UnclearLoss]] = field(default_factory=dict)
    """Losses by worker that its next answer may take back."""
    explained_ms: int = 0
    """When tasks that could run and don't were last looked for."""
    record_bytes: int = DEFAULT_RECORD_BYTES
    """Largest record that the store takes, in bytes."""
    stranded_ms: int = 0
    """When jobs that nothing in this partition can run were last looked for."""
    stranded: int = 0
    """How many such jobs there were then."""
    leaving_ms: int = 0
    """When the fleet's owner last named the workers that leave."""
    finds_slow_workers: bool = True
    """Whether workers that are slow get work last."""
    can_start: bool = True
    """Whether starts can be stored and sent now."""
    accounts: AccountBook = field(init=False)
    """What each workspace has running here, and may have."""
    durations: DurationBook = field(init=False)
    """How long tasks really take."""

    def __post_init__(self) -> None:
        self.accounts = AccountBook(owner=self.token)
        self.durations = DurationBook(owner=self.token)

    def has_incarnation_ended(self, worker_id: str, born: int) -> bool:
        """Return whether an incarnation has ended; a start time of 0 matches any."""
        ended_starts = self.ended_incarnations.get(worker_id)
        return ended_starts is not None and (not born or born in ended_starts)

    def find_job(self, job_id: str) -> Job | None:
        """Return a job, including one that has ended."""
        return self.jobs.get(job_id) or self.finished.get(job_id)

    def is_known(self, job_id: str) -> bool:
        """Return whether a job was accepted here, also if another partition runs it."""
        return job_id in self.forwarded or self.find_job(job_id) is not None

    def find_terms(self, job: Job) -> Queue | JobTerms | None:
        """Return the newest settings of a job's queue, or else those by which it was accepted.

        A queue that has another service now says nothing about tasks on this one's workers.
        """
        queue = self.queues.get(job.queue)
        if queue is not None and (job.terms is None or queue.service == job.service):
            return queue
        return job.terms

    def find_max_failures(self, job: Job) -> int | None:
        """Return how many failures of one task fail a job; None if its queue isn't known.

        The larger number counts, of when the job was accepted and of its queue now: callers were
        told the one, operators the other, and a job that was shown as failed can't be taken back.
        """
        newest = self.find_terms(job)
        known = [terms.max_failures for terms in (newest, job.terms) if terms is not None]
        return max(known, default=None)
