"""Jobs, tasks, runs and workers as their owner knows them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from heatherkeel.platform.callers import JobRequest, StepRequest
from heatherkeel.platform.operator import WorkerEntry

from .const import LAPSE_MARGIN_MS, MAX_DOUBTFUL_RUNS, MAX_LISTING_AGE_MS, SLOWEST_CLOCK


class JobState(StrEnum):
    """A job's state as callers see it."""

    PENDING = "pending"
    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELED = "canceled"

    def is_final(self) -> bool:
        """Say whether nothing of the job will start any more."""
        return self in (JobState.COMPLETE, JobState.FAILED, JobState.CANCELED)


class LossReason(StrEnum):
    """How it was proved that a run isn't at its worker, and will never be."""

    OTHER_LIFE = "its machine is in another life"
    ADDRESS_TAKEN = "another worker has its address"
    LEASE_LAPSED = "lease lapsed"
    UNLISTED = "not listed any more"
    RUN_NOT_LISTED = "not listed"
    START_NOT_DONE = "its start was not carried out"
    WORKER_GONE = "worker gone"
    WORKER_RESTARTED = "its worker has started again"


class RunState(StrEnum):
    """How far one run of a task is."""

    PLANNED = "planned"
    """Decided; its attempt is being stored, and no order was sent."""
    SENT = "sent"
    """The order was sent and not answered: it may be carried out seconds later."""
    RUNNING = "running"
    STOPPING = "stopping"
    """Its room is free only when the worker lists its end."""


@dataclass(kw_only=True, slots=True, eq=False)
class Run:
    """One run of a task on one life of a worker."""

    task: Task
    attempt: int
    worker_id: str
    born: int = 0
    """When the life of the worker began that it was sent to, or that has listed it; 0 if that isn't
    known."""
    state: RunState = RunState.PLANNED
    answered_ms: int | None = None
    """When the worker answered the last order about it; None while one is unanswered. A listing
    asked for later that doesn't show the run proves that it isn't there."""
    unanswered_ms: int | None = None
    """When it was given up to wait for the answer to its start."""
    started_ms: int = 0
    is_doubtful: bool = False
    """Its worker doesn't answer."""
    is_at_work: bool = False
    """A lasting task was at work when its worker listed it last."""
    saved: str = ""
    percent: float = 0.0
    has_begun: bool = False
    """Its worker answered that it started it."""
    listed_since_ms: int = 0
    """When its worker listed it first; 0 if it never did."""
    is_proven: bool = False
    """It has been listed at work for so long that it isn't what would crash its worker."""
    moved_ms: int = 0
    """When its percent was first seen, or changed last."""
    figure: float = 0.0
    pace: int = 100
    ticket: str = ""

    def key(self) -> tuple[str, int]:
        """Return what names the run at its worker."""
        return (self.task.name, self.attempt)


@dataclass(kw_only=True, slots=True, eq=False)
class Task:
    """One task of a step, through all its runs."""

    step: Step
    index: int
    name: str
    attempt: int = 0
    """The highest attempt so far; they start at 1."""
    failed_attempts: set[int] = field(default_factory=set)
    """Attempts that ended as failed; a worker lists an end again to a next owner, and it must not
    count twice."""
    crashes: int = 0
    """Workers that were lost in a row under a run that hadn't proved itself."""
    saved: str = ""
    is_done: bool = False
    runs: list[Run] = field(default_factory=list)

    def failures(self) -> int:
        """Return how often the task has failed."""
        return len(self.failed_attempts)

    def is_waiting(self) -> bool:
        """Say whether the task may be started: nothing of it may still run anywhere.

        Where copies are allowed, a run on a worker that doesn't answer keeps nobody waiting. Such a
        worker may have crashed under it, long before that is known, so it counts as if it had: else
        copies would crash one worker after the other.
        """
        if self.is_done or not self.runs:
            return not self.is_done
        if not self.step.request.may_copy or not all(run.is_doubtful for run in self.runs):
            return False
        return self.crashes + len(self.runs) < MAX_DOUBTFUL_RUNS


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """A worker's permission to run a step, and until when it is good on our clock."""

    text: str
    until_ms: int


@dataclass(kw_only=True, slots=True, eq=False)
class Step:
    """One step of one occurrence of a job."""

    job: Job
    occurrence: int
    number: int
    request: StepRequest
    tasks: list[Task] = field(default_factory=list)
    done: int = 0
    latest_start_ms: float = 0.0
    """When its tasks have to start for the job to meet its objective."""
    work: float = 0.0
    """What it and the steps behind it ask for, in core-milliseconds, as declared."""
    is_open: bool = False
    """All steps that it depends on are done."""
    tickets: dict[str, Ticket] = field(default_factory=dict)
    barred: set[str] = field(default_factory=set)
    """Workers that may not run it."""
    advice_asked_ms: int = 0
    """When the question that is under way was asked; 0 if none is."""

    def name(self) -> str:
        """Return the step's name, of which its tasks' names are made."""
        return f"{self.job.id}.{self.occurrence}.{self.number}"

    def is_done(self) -> bool:
        """Say whether all of its tasks are done."""
        return self.done == len(self.tasks)

    def waiting(self) -> list[Task]:
        """Return the tasks that may be started now."""
        waiting = [task for task in self.tasks if task.is_waiting()]
        if self.request.is_gang and len(waiting) < len(self.tasks):
            return []
        return waiting

    def holders(self) -> set[str]:
        """Return the workers that have a run of the step."""
        return {run.worker_id for task in self.tasks for run in task.runs}

    def runs_on(self, worker_id: str) -> int:
        """Count the step's runs on a worker."""
        return sum(1 for task in self.tasks for run in task.runs if run.worker_id == worker_id)


@dataclass(kw_only=True, slots=True, eq=False)
class Job:
    """A job from its submission until it is forgotten."""

    id: str
    queue: str
    service: str
    request: JobRequest
    accepted_ms: int
    """On the steady clock of the owner; may lie before the owner's start."""
    accepted_wall_ms: int
    state: JobState = JobState.PENDING
    occurrences: dict[int, list[Step]] = field(default_factory=dict)
    crashes: int = 0
    """The most workers that were lost in a row under one of its tasks."""
    due_ms: float = 0.0
    """Until when it has to be complete to meet its objective."""
    ended_ms: int | None = None

    def steps(self) -> list[Step]:
        """Return the steps of all occurrences that have begun."""
        return [step for steps in self.occurrences.values() for step in steps]

    def runs(self) -> list[Run]:
        """Return all runs of it that may still be at a worker."""
        return [run for step in self.steps() for task in step.tasks for run in task.runs]

    def has_runs(self) -> bool:
        """Say whether a run of it may still be at a worker."""
        return any(task.runs for step in self.steps() for task in step.tasks)

    def has_started(self) -> bool:
        """Say whether a task has been started."""
        return self.state is not JobState.PENDING

    def expected_occurrences(self) -> int:
        """Return how often its steps run in all."""
        return max(1, self.request.repeat_count)


@dataclass(kw_only=True, slots=True, eq=False)
class Worker:
    """One life of a worker, with the room that its runs take."""

    id: str
    entry: WorkerEntry
    born: int = 0
    """When this life began, in milliseconds since 1970; 0 as long as it isn't known."""
    former: frozenset[int] = frozenset()
    """When earlier lives under this id began, of which entries may still be read."""
    sole_suspect: Job | None = None
    """The only job that may have crashed the life before, if there is just one."""
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    used_cpu: int = 0
    used_memory_mb: int = 0
    used_gpu: int = 0
    clock_ms: int | None = None
    """The worker's clock as last told; None before its first answer under our token."""
    clock_heard_ms: int = 0
    """When that was, on our clock."""
    lease_until_ms: int = 0
    """The latest end of lease that was ever sent, on the worker's clock."""
    unheard_until_ms: int = 0
    """For a worker that we have never heard: when what an earlier owner started has lapsed."""
    seen: int = 0
    """The highest number of an end that was taken in."""
    acknowledged: int = 0
    """The highest number of an end that is stored."""
    told: int = 0
    """The highest number of an end that the worker was told to be stored."""
    suspects: dict[tuple[str, int], Run] = field(default_factory=dict)
    """Runs of tasks under which a worker was lost, until they have proved themselves."""
    is_listed: bool = True
    is_silent: bool = False
    """The last call to it wasn't answered."""
    silent_since_ms: int = 0
    is_leaving: bool = False
    """Its machine is about to be moved or maintained."""
    paced_ms: int = 0
    """When the pace of its filling tasks was last looked at."""
    is_outdated: bool = False
    """Its entry was read too long ago to tell its room."""
    is_due: bool = False
    """Its machine is to be maintained later."""
    failed_jobs: list[str] = field(default_factory=list)
    """Jobs whose tasks failed there since the last one that didn't."""
    aside_until_ms: int = 0
    full_until_ms: int = 0
    """Until when it gets no more, since it had no room for a start that seemed to fit."""

    def is_other_life(self, born: int) -> bool:
        """Say whether a life that began at a time is another one than this."""
        return bool(born and self.born and born != self.born)

    def is_earlier_life(self, born: int) -> bool:
        """Say whether an entry that tells a start was written before this life, and read late.

        A wall clock that was put back may have made a later life the one with the smaller start.
        """
        return born in self.former or 0 < born < self.born

    def was_sent_before(self, run: Run) -> bool:
        """Say whether a run was sent to an earlier life, and hasn't been listed in this one."""
        return self.is_other_life(run.born)

    def has_entry(self) -> bool:
        """Say whether its entry is of this life: another one may be of another size."""
        return not self.is_other_life(self.entry.born)

    def is_ready(self) -> bool:
        """Say whether our token is known there, and what runs is known here."""
        return self.clock_ms is not None

    def is_empty(self) -> bool:
        """Say whether nothing is lost if its machine goes now.

        Nothing runs, and no end of a run is known only here.
        """
        return not self.runs and self.is_ready() and self.told >= self.seen

    def to_acknowledge(self, now_ms: int) -> int:
        """Return up to which number the next listing may forget ends; 0 for none.

        The worker may have started again by then. Its ends have these numbers too, and would be
        forgotten unseen, so they are named once, and only right after it has listed them.
        """
        is_fresh = not self.is_silent and now_ms - self.clock_heard_ms <= MAX_LISTING_AGE_MS
        if not is_fresh or self.told >= self.acknowledged:
            return 0
        return self.acknowledged

    def takes_work(self, now_ms: int) -> bool:
        """Say whether tasks may be started there."""
        return (
            self.is_ready()
            and self.is_listed
            and self.has_entry()
            and not self.is_silent
            and not self.is_leaving
            and not self.is_outdated
            and not self.entry.is_draining()
            and now_ms >= max(self.aside_until_ms, self.full_until_ms)
        )

    def is_overfull(self) -> bool:
        """Say whether its runs take more than the room that its entry tells."""
        return not self._holds(self.used_cpu, self.used_memory_mb, self.used_gpu)

    def _holds(self, cpu: int, memory_mb: int, gpu: int) -> bool:
        capacity = self.entry.capacity
        return cpu <= capacity.cpu and memory_mb <= capacity.memory_mb and gpu <= capacity.gpu

    def free_cpu(self) -> int:
        """Return the processor that nothing has taken, in thousandths of a core."""
        return self.entry.capacity.cpu - self.used_cpu

    def fits(self, step: StepRequest) -> bool:
        """Say whether a task of a step has room; workers themselves may not guard theirs."""
        return self._holds(
            0 if step.fills else self.used_cpu + step.cpu,
            self.used_memory_mb + step.memory_mb,
            self.used_gpu + step.gpu,
        )

    def add(self, run: Run) -> None:
        """Take room for a run."""
        step = run.task.step.request
        self.runs[run.key()] = run
        run.born = run.born or self.born
        if run.task.crashes:
            self.suspects[run.key()] = run
        self.used_cpu += 0 if step.fills else step.cpu
        self.used_memory_mb += step.memory_mb
        self.used_gpu += step.gpu

    def remove(self, run: Run) -> None:
        """Free the room of a run."""
        step = run.task.step.request
        del self.runs[run.key()]
        self.suspects.pop(run.key(), None)
        self.used_cpu -= 0 if step.fills else step.cpu
        self.used_memory_mb -= step.memory_mb
        self.used_gpu -= step.gpu

    def rack(self) -> str:
        """Return the worker's rack, which is its second label."""
        return self.entry.labels[1] if len(self.entry.labels) > 1 else ""

    def clock_at(self, now_ms: int) -> int:
        """Return the worker's clock, as nearly as it is known."""
        return (self.clock_ms or 0) + now_ms - self.clock_heard_ms

    def has_lapsed(self, now_ms: int) -> bool:
        """Say whether all that ran there has surely ended, whatever the worker does.

        No order of ours is carried out beyond the latest end of lease that we sent. Its clock
        may be slow, so that end may come later than our clock says.
        """
        if self.clock_ms is None:
            return now_ms > self.unheard_until_ms
        surely = self.clock_ms + (now_ms - self.clock_heard_ms) / SLOWEST_CLOCK
        return surely > self.lease_until_ms + LAPSE_MARGIN_MS
