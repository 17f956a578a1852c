"""Events that a partition's reducer handles, and effects that it returns."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from heatherkeel.durations.messages import DurationsOffer
from heatherkeel.durations.models import ErrorFactors
from heatherkeel.platform.callers import JobRequest
from heatherkeel.platform.errors import CallError
from heatherkeel.platform.operator import Queue, WorkerEntry
from heatherkeel.platform.workers import Listing
from heatherkeel.workspaces.amounts import Amount
from heatherkeel.workspaces.messages import GrantOffer

from .models import Job, LossCause, LossReason, Run, Step, WaitReason
from .records import StoredProgress, StoredRequest
from .terms import JobTerms
from .worker import Worker


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """Something that happened, with its time on the monotonic and on the wall clock."""

    now_ms: int
    wall_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class QueuesChanged(Event):
    """The configured queues have changed; all of them are listed."""

    queues: dict[str, Queue]


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitsChanged(Event):
    """The workspaces' configured limits or weights have changed; all of them are listed."""

    limits: dict[str, Amount]
    weights: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantsOffered(Event):
    """The lender of limits has offered grants to this partition's owner."""

    offer: GrantOffer


@dataclass(frozen=True, kw_only=True, slots=True)
class DurationsOffered(Event):
    """The fleet's owner has told what other owners know of durations."""

    offer: DurationsOffer


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkersListed(Event):
    """The stored entries of all workers of this partition's services."""

    entries: dict[str, WorkerEntry]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobSubmitted(Event):
    """A submitted job has been stored."""

    job_id: str
    queue: str
    service: str
    request: JobRequest
    accepted_wall_ms: int
    workspace: str = ""
    partitions: int = 1
    """Number of partitions of the service, over which jobs are spread."""
    terms: JobTerms | None = None
    """The settings of its queue when it was accepted."""
    version: int = 0
    """Version of the configuration by which it was accepted; 0 if unknown."""
    partition: int | None = None
    """The partition that runs it; None if that is this one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class JobCanceled(Event):
    """A caller's cancellation has been stored."""

    job_id: str
    workspace: str = ""
    """The caller's workspace."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SharesFound(Event):
    """Other partitions of their service have workers for these jobs; by job ID."""

    partitions: Mapping[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobArrived(Event):
    """Another partition of its service has handed a job over, with its progress."""

    job_id: str
    stored: StoredRequest
    progress: StoredProgress


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordForwarded(Event):
    """A caller's record has been stored in the partition that runs its job."""

    job_id: str
    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardRefused(Event):
    """The store will never take a job's record in the partition that was to run it."""

    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardedJobForgotten(Event):
    """The owner of the partition that runs a job doesn't know it any more."""

    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class JobUnstorable(Event):
    """The store will never take a job's progress."""

    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class EndStored(Event):
    """A job's end has been stored, so each later owner knows it."""

    job: Job


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerAnswered(Event):
    """A worker answered a listing, which was requested at `sent_ms`."""

    worker_id: str
    sent_ms: int
    listing: Listing
    acknowledged: int = 0
    """The highest end number that the call acknowledged."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerFailed(Event):
    """A call to list a worker's tasks failed."""

    worker_id: str
    error: CallError


@dataclass(frozen=True, kw_only=True, slots=True)
class StartAnswered(Event):
    """A start was answered or timed out; `error` is None if the task runs."""

    run: Run
    error: CallError | None


@dataclass(frozen=True, kw_only=True, slots=True)
class StopAnswered(Event):
    """A stop was answered or timed out."""

    run: Run
    error: CallError | None


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkersLeaving(Event):
    """The machines of exactly these workers are to be emptied."""

    worker_ids: frozenset[str]
    due: frozenset[str] = frozenset()
    """Workers whose machines are to be emptied later."""
    yielding: frozenset[str] = frozenset()
    """The workers whose machines another pool needs more."""


@dataclass(frozen=True, kw_only=True, slots=True)
class IncarnationsListed(Event):
    """The list of machines reports these worker incarnations as up."""

    worker_ids: frozenset[str]
    pools: Mapping[str, str] = field(default_factory=dict)
    """The pool of each machine; empty for one that is being moved or maintained."""
    asked_ms: int | None = None
    """When the list was requested, if earlier: it can't name workers that have started since."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AdviceReceived(Event):
    """The advisor answered which workers may run a step; `tickets` is None if the call failed."""

    step: Step
    worker_ids: tuple[str, ...]
    tickets: dict[str, str] | None
    asked_ms: int
    validity_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Tick(Event):
    """Periodic event that triggers what depends on time alone."""

    can_start: bool = True
    """Starts can be stored and sent, so tasks that are stopped can continue on other workers."""
    are_limits_recent: bool = True
    """The workspaces' limits were the newest a short time ago."""
    outdated: frozenset[str] = frozenset()
    """Workers whose entries are too old to rely on their capacity."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Effect:
    """An action that the owner's process carries out."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SaveJob(Effect):
    """Store a job's progress; later effects of the event wait until it is stored."""

    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportEndStored(Effect):
    """Report when all that was put into the journal so far is stored, a job's end included."""

    job: Job


@dataclass(frozen=True, kw_only=True, slots=True)
class ForgetJob(Effect):
    """Delete a job's progress record, or, with `only_request`, its request and cancellation."""

    job_id: str
    workspace: str
    only_request: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardRecord(Effect):
    """Store a caller's record in the partition that runs its job, once this is stored here."""

    job_id: str
    partition: int
    key: str
    value: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class FindShares(Effect):
    """Look for other partitions of their service that have workers for these jobs."""

    job_ids: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class CountRelocated(Effect):
    """Count a job that was handed over to another partition of its service."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DropRecord(Effect):
    """Delete one record of a caller."""

    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StartTask(Effect):
    """Order a worker to start a run, once its attempt is stored."""

    run: Run


@dataclass(frozen=True, kw_only=True, slots=True)
class StopTask(Effect):
    """Order a worker to stop a run: at once, or with `once_stored` after the change is stored."""

    run: Run
    once_stored: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PaceTask(Effect):
    """Order a worker to run a task at a percentage of its full speed."""

    run: Run
    percent: int


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenSessions(Effect):
    """Open a session with each worker's current incarnation, and close those with earlier ones."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AskAdvice(Effect):
    """Ask the advisor which of these workers may run a step."""

    step: Step
    worker_ids: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class AcknowledgeEnds(Effect):
    """Allow a worker incarnation to delete its ends up to a number, once they are stored."""

    worker: Worker
    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CountLoss(Effect):
    """Count a lost run whose task has to start again."""

    reason: LossReason
    cause: LossCause


@dataclass(frozen=True, kw_only=True, slots=True)
class CountLimited(Effect):
    """Count a job that waits for its workspace's limit."""

    workspace: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CountWaiting(Effect):
    """Count a step that waits for long, by the main reason."""

    reason: WaitReason


@dataclass(frozen=True, kw_only=True, slots=True)
class CountGivenUp(Effect):
    """Count a job that was failed because one of its tasks crashes workers."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CountWithheld(Effect):
    """Count a task that isn't started any more because it crashes workers."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CountCutListing(Effect):
    """Count a worker's listing that may lack ends."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CountSlowWorker(Effect):
    """Count a worker that was found to be slow."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ObserveEndStored(Effect):
    """Record how long it took until a job's end was stored, in milliseconds."""

    after_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ObserveDuration(Effect):
    """Record how far off the estimates of an ended step were."""

    errors: ErrorFactors


@dataclass(kw_only=True, slots=True)
class Effects:
    """The effects of one event, in order."""

    items: list[Effect] = field(default_factory=list)
    touched: dict[str, None] = field(default_factory=dict)
    """Services whose waiting steps or capacity have changed, in order."""

    def add(self, effect: Effect) -> None:
        """Add an effect."""
        self.items.append(effect)

    def touch(self, service: str) -> None:
        """Request placement of a service's waiting steps after this event."""
        self.touched[service] = None
