"""Records about jobs: requests of owners, placements, and observations of tasks."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from heatherkeel.catalogue.models import Count, MemoryMib, Name, PositiveCount
from heatherkeel.core.models import RecordBody
from heatherkeel.pools.models import InstanceId

from .const import MAX_BATCH
from .models import JobId, JobSpec, TaskId, job_id_of_task

JobIds = Annotated[tuple[JobId, ...], Meta(min_length=1, max_length=MAX_BATCH)]
ShortText = Annotated[str, Meta(max_length=200)]


class TaskExit(StrEnum):
    """How a task ended, as reported by the platform."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    OUT_OF_MEMORY = "out_of_memory"
    STOPPED = "stopped"
    """Stopped on request."""
    REFUSED = "refused"
    """The worker refused to start it."""


class LossEvidence(StrEnum):
    """What is known about a lost task."""

    LEASE_LAPSED = "lease_lapsed"
    """Its lease expired; the worker may be partitioned with the task still running."""
    TASK_GONE = "task_gone"
    """It can't run any more; whether it completed its work is unknown."""


class Resolution(StrEnum):
    """Decision of the owner about an unknown job."""

    RUN_AGAIN = "run_again"
    GIVE_UP = "give_up"


class CheckpointCause(StrEnum):
    """Why a running job is asked to checkpoint and stop."""

    URGENT = "urgent"
    DRAIN = "drain"


class JobSubmit(RecordBody, frozen=True, kw_only=True):
    """Submit a job; a record with the same id and spec refers to the same job."""

    job: JobId
    team: Name
    spec: JobSpec


class JobCancel(RecordBody, frozen=True, kw_only=True):
    """Cancel jobs of one team; unknown and finished ids are ignored."""

    jobs: JobIds
    team: Name


class JobResolve(RecordBody, frozen=True, kw_only=True):
    """Resolve a job in status unknown, as decided by its owner."""

    job: JobId
    team: Name
    expected_version: PositiveCount
    resolution: Resolution


class JobUnplaceable(RecordBody, frozen=True, kw_only=True):
    """Report jobs that can never run; the fold checks each of them."""

    jobs: JobIds


class JobPlace(RecordBody, frozen=True, kw_only=True):
    """Assign the next attempt of a job to a worker."""

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
    """The urgent job that gets the freed capacity."""


class TaskRecord(RecordBody, frozen=True, kw_only=True):
    """Base class of reports about the task of one attempt."""

    task: TaskId

    @property
    def job(self) -> str:
        """Return the job that the task belongs to."""
        return job_id_of_task(self.task)


class TaskStarted(TaskRecord, frozen=True, kw_only=True):
    """The platform reports that the task is running."""


class TaskEnded(TaskRecord, frozen=True, kw_only=True):
    """The platform reports that the task ended and won't run again.

    `ran` is False only if the task certainly never started.
    """

    exit: TaskExit
    retryable: bool = True
    ran: bool = True
    peak_memory_mib: MemoryMib = 0
    cpu_millicores: Count = 0
    detail: ShortText = ""


class TaskCheckpointed(TaskRecord, frozen=True, kw_only=True):
    """The platform finished a checkpoint; `stopped` is True if the task ended with it."""

    saved: bool
    stopped: bool = False


class TaskLost(TaskRecord, frozen=True, kw_only=True):
    """The task's lease expired or the platform no longer runs the task."""

    expected_version: PositiveCount
    evidence: LossEvidence


class TaskProvedNotStarted(TaskRecord, frozen=True, kw_only=True):
    """The platform guarantees that the task never started and won't be started."""


class UsageSample(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Measured usage of one attempt so far."""

    task: TaskId
    peak_memory_mib: MemoryMib
    cpu_millicores: Count


class UsageReport(RecordBody, frozen=True, kw_only=True):
    """Measured usage of several tasks; reports lag, so an attempt may have ended already."""

    samples: Annotated[tuple[UsageSample, ...], Meta(min_length=1, max_length=MAX_BATCH)]
