"""Errors that concern one job or one worker, so that only this one is set aside.

An exception while one item is handled would end the process, and whoever takes the partition over
would meet the same item: one job or one worker's entry could stop all partitions of a fleet.
Exceptions that can't be blamed on one item, and broken invariants, still end the process.
"""

from __future__ import annotations

from contextlib import AbstractContextManager
from dataclasses import dataclass
from enum import StrEnum
from types import TracebackType

from .events import (
    AdviceReceived,
    EndStored,
    Event,
    JobArrived,
    JobCanceled,
    JobSubmitted,
    JobUnstorable,
    StartAnswered,
    StopAnswered,
    WorkerAnswered,
    WorkerFailed,
)


class ItemKind(StrEnum):
    """What an error may be blamed on."""

    JOB = "job"
    WORKER = "worker"


@dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """A job or a worker."""

    kind: ItemKind
    id: str


class ItemFailedError(Exception):
    """Something raised while an item was handled, whose state may be half-changed."""

    def __init__(self, item: Item) -> None:
        super().__init__(f"{item.kind.value} {item.id}")
        self.item = item


class Blame(AbstractContextManager["Blame"]):
    """Turns an exception within it into an `ItemFailedError` for an item."""

    def __init__(self, item: Item | None) -> None:
        self.item = item

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self.item is not None and error is not None and _is_blamable(error):
            raise ItemFailedError(self.item) from error


def blame_job(job_id: str) -> Blame:
    """Blame a job for an exception."""
    return Blame(Item(kind=ItemKind.JOB, id=job_id))


def blame_worker(worker_id: str) -> Blame:
    """Blame a worker for an exception."""
    return Blame(Item(kind=ItemKind.WORKER, id=worker_id))


def _is_blamable(error: BaseException) -> bool:
    """Return whether an error is neither blamed already, nor a broken invariant or an exit."""
    if isinstance(error, BaseExceptionGroup):
        return all(_is_blamable(inner) for inner in error.exceptions)
    return isinstance(error, Exception) and not isinstance(error, ItemFailedError | AssertionError)


def find_item(event: Event) -> Item | None:
    """Return the item that an event concerns; None if that is more than one."""
    match event:
        case (
            JobSubmitted(job_id=job_id)
            | JobArrived(job_id=job_id)
            | JobCanceled(job_id=job_id)
            | JobUnstorable(job_id=job_id)
        ):
            return Item(kind=ItemKind.JOB, id=job_id)
        case EndStored(job=job):
            return Item(kind=ItemKind.JOB, id=job.id)
        case StartAnswered(run=run) | StopAnswered(run=run):
            return Item(kind=ItemKind.JOB, id=run.task.step.job.id)
        case AdviceReceived(step=step):
            return Item(kind=ItemKind.JOB, id=step.job.id)
        case WorkerAnswered(worker_id=worker_id) | WorkerFailed(worker_id=worker_id):
            return Item(kind=ItemKind.WORKER, id=worker_id)
    return None
