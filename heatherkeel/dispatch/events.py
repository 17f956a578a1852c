"""What can happen to a partition, and what its owner does about it."""

from __future__ import annotations

from dataclasses import dataclass, field

from heatherkeel.platform.callers import JobRequest
from heatherkeel.platform.errors import CallError
from heatherkeel.platform.operator import Queue, WorkerEntry
from heatherkeel.platform.workers import Listing

from .models import LossReason, Run, Step, Worker


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """Something that happened, at a time on the steady clock and on the wall."""

    now_ms: int
    wall_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class QueuesChanged(Event):
    """The configuration names these queues."""

    queues: dict[str, Queue]


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkersListed(Event):
    """The workers of this partition's services, as they stand in the store."""

    entries: dict[str, WorkerEntry]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobSubmitted(Event):
    """A job stands in the store."""

    job_id: str
    queue: str
    service: str
    request: JobRequest
    accepted_wall_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class JobCanceled(Event):
    """A caller's cancel stands in the store."""

    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerAnswered(Event):
    """A worker told its lease and all that it runs; the call was made at `sent_ms`."""

    worker_id: str
    sent_ms: int
    listing: Listing
    acknowledged: int = 0
    """Up to where the call acknowledged ends."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerFailed(Event):
    """A call to list a worker's tasks failed."""

    worker_id: str
    error: CallError


@dataclass(frozen=True, kw_only=True, slots=True)
class StartAnswered(Event):
    """A start was answered, or its time ran out; `error` is None if the task runs."""

    run: Run
    error: CallError | None


@dataclass(frozen=True, kw_only=True, slots=True)
class StopAnswered(Event):
    """A stop was answered, or its time ran out."""

    run: Run
    error: CallError | None


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkersLeaving(Event):
    """The machines of these workers, and of no others, are to be emptied."""

    worker_ids: frozenset[str]
    due: frozenset[str] = frozenset()
    """Workers whose turn comes later."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LivesListed(Event):
    """The list of machines names these lives of workers as being up."""

    worker_ids: frozenset[str]


@dataclass(frozen=True, kw_only=True, slots=True)
class AdviceTold(Event):
    """The advisor told which of some workers may run a step; `tickets` is None if it didn't."""

    step: Step
    worker_ids: tuple[str, ...]
    tickets: dict[str, str] | None
    asked_ms: int
    validity_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Tick(Event):
    """Some time has passed."""

    can_start: bool = True
    """Starts can be stored and sent, so what is stopped here can go on elsewhere."""
    outdated: frozenset[str] = frozenset()
    """Workers whose entries were read too long ago to tell their room."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Effect:
    """Something that the owner's process does."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SaveJob(Effect):
    """Store how far a job is; effects named after it wait until that is done."""

    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ForgetJob(Effect):
    """Drop what is stored about a job, or, with `only_request`, what its caller sent."""

    job_id: str
    only_request: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class StartTask(Effect):
    """Send the order to start a run, once its attempt is stored."""

    run: Run


@dataclass(frozen=True, kw_only=True, slots=True)
class StopTask(Effect):
    """Send the order to stop a run, at once or once it is stored that the run is stopped."""

    run: Run
    once_stored: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PaceTask(Effect):
    """Let a run work at a share of its speed."""

    run: Run
    percent: int


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenSessions(Effect):
    """Talk to the present life of each worker, and to no earlier one any more."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AskAdvice(Effect):
    """Ask the advisor which of some workers may run a step."""

    step: Step
    worker_ids: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class AcknowledgeEnds(Effect):
    """Let one life of a worker forget its ends up to a number, once they are stored."""

    worker: Worker
    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CountLoss(Effect):
    """Count a run that was lost, and whose task starts again."""

    reason: LossReason


@dataclass(frozen=True, kw_only=True, slots=True)
class CountGivenUp(Effect):
    """Count a job that was given up since a task of it crashes workers."""


@dataclass(kw_only=True, slots=True)
class Effects:
    """The effects of one event, in order."""

    items: list[Effect] = field(default_factory=list)
    touched: dict[str, None] = field(default_factory=dict)
    """Services whose waiting steps or room have changed."""

    def add(self, effect: Effect) -> None:
        """Add an effect."""
        self.items.append(effect)

    def touch(self, service: str) -> None:
        """Look at a service's waiting steps after this event."""
        self.touched[service] = None
