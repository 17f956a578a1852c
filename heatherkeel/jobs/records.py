"""Records about jobs: what owners ask, what placers decide, what the platform was seen to do."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from heatherkeel.catalogue.models import Count, MemoryMib, Name, PositiveCount
from heatherkeel.core.models import RecordBody
from heatherkeel.pools.models import InstanceId

from .const import MAX_BATCH
from .models import JobId, JobSpec, TaskId, task_job

JobIds = Annotated[tuple[JobId, ...], Meta(min_length=1, max_length=MAX_BATCH)]
ShortText = Annotated[str, Meta(max_length=200)]


class TaskExit(StrEnum):
    """How the platform says that a task ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    OUT_OF_MEMORY = "out_of_memory"
    STOPPED = "stopped"
    """Stopped on request."""
    REFUSED = "refused"
    """The worker would not start it."""


class LossEvidence(StrEnum):
    """What is known of a task that is no longer heard of."""

    LEASE_LAPSED = "lease_lapsed"
    """Its lease ran out; the worker may be cut off with the task still running."""
    TASK_GONE = "task_gone"
    """The platform says that it can't run any more, but not how far it came."""


class Resolution(StrEnum):
    """What the owner of an unknown job decides."""

    RUN_AGAIN = "run_again"
    GIVE_UP = "give_up"


class CheckpointCause(StrEnum):
    """Why a running job is asked to checkpoint and stop."""

    URGENT = "urgent"
    DRAIN = "drain"


class JobSubmit(RecordBody, frozen=True, kw_only=True):
    """Take in a job; the same id and spec again is the same job."""

    job: JobId
    team: Name
    spec: JobSpec


class JobCancel(RecordBody, frozen=True, kw_only=True):
    """Cancel jobs of one team; ids that are unknown or finished are passed over."""

    jobs: JobIds
    team: Name


class JobResolve(RecordBody, frozen=True, kw_only=True):
    """The owner decides about a job in status unknown."""

    job: JobId
    team: Name
    expected_version: PositiveCount
    resolution: Resolution


class JobUnplaceable(RecordBody, frozen=True, kw_only=True):
    """A placer says that these jobs can never run; the fold sees for itself."""

    jobs: JobIds


class JobPlace(RecordBody, frozen=True, kw_only=True):
    """Bind the next attempt of a job to a worker."""

    job: JobId
    attempt: PositiveCount
    expected_version: PositiveCount
    instance: InstanceId
    task: TaskId
    placer: InstanceId


class JobCheckpoint(RecordBody, frozen=True, kw_only=True):
    """Ask a running job to checkpoint and stop, for an urgent job or for a drain."""

    job: JobId
    attempt: PositiveCount
    expected_version: PositiveCount
    cause: CheckpointCause
    for_job: str = ""
    """The urgent job that gets the room."""


class TaskRecord(RecordBody, frozen=True, kw_only=True):
    """Base of what is reported about the task of one attempt."""

    task: TaskId

    @property
    def job(self) -> str:
        """Return the job that the task belongs to."""
        return task_job(self.task)


class TaskStarted(TaskRecord, frozen=True, kw_only=True):
    """The platform says that this attempt is running."""


class TaskEnded(TaskRecord, frozen=True, kw_only=True):
    """The platform says that this attempt ended, and will not run again.

    `ran` is False only if the platform is sure that nothing of it ran.
    """

    exit: TaskExit
    retryable: bool = True
    ran: bool = True
    peak_memory_mib: MemoryMib = 0
    cpu_millicores: Count = 0
    detail: ShortText = ""


class TaskCheckpointed(TaskRecord, frozen=True, kw_only=True):
    """The platform answered a checkpoint; `stopped` says that the task ended there."""

    saved: bool
    stopped: bool = False


class TaskLost(TaskRecord, frozen=True, kw_only=True):
    """The platform no longer hears of this attempt."""

    expected_version: PositiveCount
    evidence: LossEvidence


class TaskProvedNotStarted(TaskRecord, frozen=True, kw_only=True):
    """The platform says that this attempt never started, and that it will refuse to start it."""


class UsageSample(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Measured use of one attempt so far."""

    task: TaskId
    peak_memory_mib: MemoryMib
    cpu_millicores: Count


class UsageReport(RecordBody, frozen=True, kw_only=True):
    """Usage of several tasks; the platform's reports lag, so an attempt may be over by now."""

    samples: Annotated[tuple[UsageSample, ...], Meta(min_length=1, max_length=MAX_BATCH)]
