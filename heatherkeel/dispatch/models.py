"""Models of jobs, tasks and runs in the state of a partition's owner."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from heatherkeel.durations.models import StepEstimate, StepTimes
from heatherkeel.helpers.ranges import IntRanges
from heatherkeel.platform.callers import JobRequest, StepRequest
from heatherkeel.workspaces.account import Account

from .const import MAX_DOUBTFUL_RUNS, MAX_LASTING_CRASHES
from .terms import JobTerms

if TYPE_CHECKING:
    from .records import StoredProgress


class JobState(StrEnum):
    """State of a job as reported to callers."""

    PENDING = "pending"
    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELED = "canceled"

    def is_final(self) -> bool:
        """Return whether the job has ended, so that none of its tasks will start."""
        return self in (JobState.COMPLETE, JobState.FAILED, JobState.CANCELED)


class LossReason(StrEnum):
    """Why a run is known not to be on its worker, now or later."""

    OTHER_LIFE = "its machine is in another life"
    ADDRESS_TAKEN = "another worker has its address"
    LEASE_LAPSED = "lease lapsed"
    UNLISTED = "not listed any more"
    RUN_NOT_LISTED = "not listed"
    START_NOT_DONE = "its start was not carried out"
    WORKER_GONE = "worker gone"
    WORKER_RESTARTED = "its worker has started again"
    MACHINE_TAKEN = "its machine was moved or is being maintained"
    MACHINE_GONE = "its machine is not listed any more"


class WorkerEnd(StrEnum):
    """What is known of the end of a worker's incarnation under which runs were lost."""

    ENDED = "ended"
    """The incarnation has certainly ended, and nothing of that was planned."""
    PLANNED = "planned"
    """It was draining, or its machine was to be moved or maintained."""
    UNREACHABLE = "unreachable"
    """Its machine was still listed with it, so it only couldn't be called."""
    UNKNOWN = "unknown"
    """It didn't answer until its lease expired, and the list of machines couldn't be read."""


class LossCause(StrEnum):
    """Why a run was lost, as far as it is known; only a crash speaks against its task."""

    CRASH = "crash"
    """Its worker's incarnation ended while the run was there."""
    UNCLEAR = "unclear"
    """Neither a crash under the run nor another cause is known."""
    EXCUSED = "excused"
    """The worker went some time after the start, and workers of its pool go without the task."""
    COMMON = "common"
    """Most workers of its rack or its pool were lost at the same time, without the task's job."""
    PLANNED = "planned"
    UNREACHABLE = "unreachable"
    NOT_THERE = "not_there"
    """The run wasn't on a worker that was lost, or had run for long enough."""


class WaitReason(StrEnum):
    """Why a worker with room gets no task of a waiting step; in the order of the checks."""

    NOT_LISTED = "not listed"
    """It has no entry in the store."""
    OTHER_ENTRY = "entry of another life"
    DRAINING = "draining"
    LEAVING = "its machine is to leave"
    NOT_READY = "no answer to this owner yet"
    UNRESPONSIVE = "unresponsive"
    OUTDATED = "entry outdated"
    QUARANTINED = "quarantined"
    FULL = "refused a start for lack of capacity"
    OTHER_LABEL = "without the label"
    MAX_PER_WORKER = "has the step's maximum per worker"
    SUSPECT = "closed by another job's suspect"
    NO_TICKET = "without a ticket"
    NOT_EXAMINED = "step not examined"
    """Nothing is against it, so the step's place is behind too many others."""
    NO_ROOM = "no worker has room"
    LIMIT = "limit of its workspace"
    CANT_START = "starts can't be stored or sent"
    NO_HOLDER = "nothing in its partition can ever run it"
    FORGOTTEN = "not among the steps that wait"


class RunState(StrEnum):
    """State of one run of a task."""

    PLANNED = "planned"
    """Its attempt is being stored, and no order has been sent."""
    SENT = "sent"
    """The order was sent but not answered; it may still be carried out seconds later."""
    RUNNING = "running"
    STOPPING = "stopping"
    """Its capacity is freed only when the worker lists its end."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerLoss:
    """What is known of the loss of a worker, which may have crashed."""

    worker_id: str
    rack: str
    end: WorkerEnd
    at_ms: int
    """When its runs were given up."""
    gone_ms: int | None
    """The earliest time at which it can have gone; None if it isn't known."""
    silent_ms: int
    """When it was first seen not to answer."""
    heard_ms: int
    """When it last answered; 0 if it never did under this owner."""
    suspects: frozenset[str]
    """The jobs of the unproven runs that were sent there."""
    is_sudden: bool
    """One of these runs may have begun right before the worker went."""
    tasks: tuple[Task, ...]
    """The tasks of these runs."""

    def is_sole_suspect(self, job: Job) -> bool:
        """Return whether no other job may have crashed the worker."""
        return self.suspects == {job.id}


@dataclass(kw_only=True, slots=True, eq=False)
class Run:
    """One run of a task on one incarnation of a worker."""

    task: Task
    attempt: int
    worker_id: str
    born: int = 0
    """Start time of the worker incarnation that it was sent to, or that has listed it; 0 if
    unknown."""
    state: RunState = RunState.PLANNED
    answered_ms: int | None = None
    """When the worker answered the last order about it; None while one is unanswered. A listing
    requested later without the run proves that it isn't there."""
    start_timed_out_ms: int | None = None
    """When waiting for the answer to its start ended; None if it was answered or isn't sent."""
    started_ms: int = 0
    stopping_since_ms: int = 0
    """When its stop was decided; 0 if it wasn't."""
    explained_ms: int = 0
    """When it was last logged that its order has no effect; 0 if it wasn't."""
    is_doubtful: bool = False
    """Its worker is unresponsive."""
    was_doubtful: bool = False
    """Its worker was unresponsive at some time, so its end may be listed late."""
    may_have_ended: bool = False
    """Its worker's last listing lacks it, but may lack its end as well. It isn't running."""
    is_at_work: bool = False
    """Its worker's last listing showed the task at 100 percent, which means serving for a
    long-running task."""
    saved: str = ""
    percent: float = 0.0
    begun_ms: int | None = None
    """When its worker confirmed the start; None if it didn't, or another owner heard that."""
    sent_ms: int = 0
    """When its start was sent, after its attempt was stored; 0 if it wasn't."""
    is_checked: bool = False
    """Its worker answered a listing right before its start was sent."""
    listed_since_ms: int = 0
    """When its worker first listed it; 0 if it never did."""
    is_proven: bool = False
    """It has run for long enough not to be suspected of crashing its worker."""
    progressed_ms: int = 0
    """When its progress was first reported, or last changed."""
    figure: float = 0.0
    pace: int = 100
    ticket: str = ""

    def key(self) -> tuple[str, int]:
        """Return the key that identifies the run on its worker."""
        return (self.task.name, self.attempt)


@dataclass(kw_only=True, slots=True, eq=False)
class Task:
    """One task of a step, with all its runs."""

    step: Step
    index: int
    name: str
    attempt: int = 0
    """Highest attempt so far; attempts start at 1."""
    failed_attempts: set[int] = field(default_factory=set)
    """Attempts that failed; a set, because a worker lists an end again to the next owner and it
    must not count twice."""
    crashes: int = 0
    """Consecutive workers known to have ended under an unproven run of the task, if that speaks
    against it."""
    unclear_losses: int = 0
    """Consecutive losses that may have been such crashes."""
    excused_losses: int = 0
    """Consecutive crashes that don't, since workers of the pool crash without it as well."""
    is_paused: bool = False
    """It starts again only after a pause, since it isn't known whether it crashes its workers."""
    saved: str = ""
    is_done: bool = False
    runs: list[Run] = field(default_factory=list)

    def add_run(self, run: Run) -> None:
        """Add a run."""
        self.runs.append(run)
        self.step.job.known_runs[run] = None

    def remove_run(self, run: Run) -> None:
        """Remove a run, if it is known."""
        if run in self.runs:
            self.runs.remove(run)
        self.step.job.known_runs.pop(run, None)

    def failures(self) -> int:
        """Return the number of failed attempts."""
        return len(self.failed_attempts)

    def possible_crashes(self) -> int:
        """Return the number of consecutive losses that were or may have been crashes."""
        return self.crashes + self.unclear_losses

    def losses_in_a_row(self) -> int:
        """Return the number of consecutive workers that were lost under it and may have crashed."""
        return self.possible_crashes() + self.excused_losses

    def is_waiting(self) -> bool:
        """Return whether the task may be started, because no run of it can be left anywhere.

        Where copies are allowed, a run on an unresponsive worker doesn't block another one. That
        worker may have crashed because of the task, so it counts as a crash; otherwise copies could
        crash one worker after the other.
        """
        if self.is_paused or self.crashes >= MAX_LASTING_CRASHES:
            return False
        if self.is_done or not self.runs:
            return not self.is_done
        if not self.step.request.may_copy or not all(run.is_doubtful for run in self.runs):
            return False
        return self.possible_crashes() + len(self.runs) < MAX_DOUBTFUL_RUNS


@dataclass(frozen=True, kw_only=True, slots=True)
class UnclearLoss:
    """A loss of a task's run that may have been a crash of its worker's incarnation."""

    task: Task
    born: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """A worker's permission to run a step, valid until a time on the local clock."""

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
    """Latest start of its tasks with which the job can meet its objective."""
    work: float = 0.0
    """Expected work of this step and the steps after it, in core-milliseconds."""
    is_open: bool = False
    """All steps that it depends on are done."""
    times: StepTimes = field(default_factory=StepTimes)
    """Durations of its tasks that have ended."""
    waiting_since_ms: int = 0
    """Since when this owner has had it waiting without a start."""
    explained_ms: int = 0
    """When it was last logged why it waits; 0 if it wasn't."""
    tickets: dict[str, Ticket] = field(default_factory=dict)
    disallowed_workers: set[str] = field(default_factory=set)
    """Workers that the advisor doesn't allow to run it."""
    advice_asked_ms: int = 0
    """When the pending query to the advisor was sent; 0 if none is pending."""

    def name(self) -> str:
        """Return the step's name, the prefix of its tasks' names."""
        return f"{self.job.id}.{self.occurrence}.{self.number}"

    def task_ms(self) -> float:
        """Return the expected duration of one of its tasks, in milliseconds."""
        estimates = self.job.estimates
        return estimates[self.number].task_ms if estimates else self.request.estimated_ms

    def is_done(self) -> bool:
        """Return whether all of its tasks are done."""
        return self.done == len(self.tasks)

    def has_runs(self) -> bool:
        """Return whether a run of it may still be on a worker."""
        return any(task.runs for task in self.tasks)

    def waiting(self) -> list[Task]:
        """Return the tasks that may be started now; for a gang, all or none."""
        waiting = [task for task in self.tasks if task.is_waiting()]
        if self.request.is_gang and len(waiting) < len(self.tasks):
            return []
        return waiting

    def holders(self) -> set[str]:
        """Return the IDs of the workers that have a run of the step."""
        return {run.worker_id for task in self.tasks for run in task.runs}

    def runs_on(self, worker_id: str) -> int:
        """Return the number of the step's runs on a worker."""
        return sum(1 for task in self.tasks for run in task.runs if run.worker_id == worker_id)


@dataclass(kw_only=True, slots=True, eq=False)
class Job:
    """A job from its submission until its record is deleted."""

    id: str
    queue: str
    service: str
    workspace: str = ""
    """The workspace that it belongs to; empty if none."""
    account: Account | None = None
    """The workspace's account in this partition; None if it belongs to none."""
    kept_bytes: int = 0
    """Memory that it takes until it has ended, as estimated; 0 once its tasks are dropped."""
    is_limit_reported: bool = False
    is_excess: bool = False
    """Its workspace has submitted more than its weight allows, so other jobs come first."""
    request: JobRequest
    terms: JobTerms | None = None
    """The settings of its queue when it was accepted; None if an earlier release accepted it."""
    is_unstorable: bool = False
    """The store doesn't take its progress, so only its end is stored."""
    rows_per_record: int = 0
    """How many of its tasks one record holds; 0 if all of its progress is in one."""
    moves: int = 0
    """How often it was relocated between the partitions of its service."""
    accepted_ms: int
    """On the owner's monotonic clock; may lie before the owner's start."""
    accepted_wall_ms: int
    state: JobState = JobState.PENDING
    occurrences: dict[int, list[Step]] = field(default_factory=dict)
    """The steps of each occurrence that has begun, but for those that are folded."""
    folded: IntRanges = field(default_factory=IntRanges)
    """The occurrences that are done and of which no run is left; nothing else is kept of them."""
    first_unbegun: int = 0
    """No occurrence below this one is still to begin."""
    known_runs: dict[Run, None] = field(default_factory=dict)
    """All its runs, in the order in which they were added."""
    possible_crashes: int = 0
    """Highest number of possible crashes among its tasks."""
    estimates: list[StepEstimate] | None = None
    """Expected durations of its steps when it was accepted; None if the declared ones are used."""
    due_ms: float = 0.0
    """When it has to be complete to meet its objective."""
    ended_ms: int | None = None
    shown_ms: int | None = None
    """Since when callers are shown its end; None until each later owner is sure to know it."""

    def state_for_callers(self) -> JobState:
        """Return the state to show, which no later owner must take back.

        An owner that can't reach the store may have lost its partition. The next owner knows only
        what is stored, and starts the job's tasks again if their ends aren't.
        """
        is_unsure = self.state.is_final() and self.shown_ms is None
        return JobState.ACTIVE if is_unsure else self.state

    def steps(self) -> list[Step]:
        """Return the steps of all occurrences that have begun and aren't folded."""
        return [step for steps in self.occurrences.values() for step in steps]

    def runs(self) -> list[Run]:
        """Return all its runs that may still be on a worker."""
        return list(self.known_runs)

    def has_runs(self) -> bool:
        """Return whether a run of it may still be on a worker."""
        return bool(self.known_runs)

    def has_started(self) -> bool:
        """Return whether a task has been started."""
        return self.state is not JobState.PENDING

    def expected_occurrences(self) -> int:
        """Return the total number of times that its steps run."""
        return max(1, self.request.repeat_count)

    def find_next_occurrence(self) -> int | None:
        """Return the lowest occurrence that hasn't begun; None if all have."""
        number = self.folded.find_missing(self.first_unbegun)
        while number in self.occurrences:
            number = self.folded.find_missing(number + 1)
        self.first_unbegun = number
        return number if number < self.expected_occurrences() else None


@dataclass(kw_only=True, slots=True, eq=False)
class ForwardedJob:
    """A job that another partition runs, and that was accepted or has been in this one.

    Its queue has a service whose workers belong to other partitions, or it was relocated. This
    partition goes on knowing where it went, and forwards what its callers store here.
    """

    id: str
    queue: str
    service: str
    workspace: str
    accepted_wall_ms: int
    partition: int
    """The partition that runs it."""
    terms: JobTerms | None = None
    settled_ms: int | None = None
    """When its request was surely stored there; None if it may not be yet."""
    checked_ms: int = 0
    """When that partition's owner was last asked whether it still knows the job."""
    moves: int = 0
    """The number of its relocation, the highest that this partition knows of; 0 if there was none.
    Only a later one brings it back here."""
    progress: StoredProgress | None = None
    """What was known of its tasks when it was relocated; None if it wasn't."""
    is_canceled: bool = False
    """A caller has cancelled it since it was relocated."""

    def state_for_callers(self) -> JobState:
        """Return the state to show until the other partition has read the job."""
        return self.progress.state if self.progress is not None else JobState.PENDING
