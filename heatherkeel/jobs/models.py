"""State of jobs in the fold, and the effects that the fold requests for their tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated, Final

import msgspec
from msgspec import Meta

from heatherkeel.catalogue.models import Count, MemoryMib, Name, ServiceClass
from heatherkeel.core.models import Effect
from heatherkeel.pools.models import InstanceStatus

from .const import MAX_JOB_ID_CHARS, MAX_PROGRAM_CHARS

JobId = Annotated[
    str, Meta(pattern=r"^[a-z0-9._-]+:[A-Za-z0-9._-]{1,95}$", max_length=MAX_JOB_ID_CHARS)
]
"""`team:name`; the caller chooses the name, so a resubmission has the same id."""

TaskId = Annotated[str, Meta(pattern=r"^[^:]+:[^:]+:[0-9]+:[0-9]+$", max_length=200)]
"""`team:name:submission:attempt`."""


class JobStatus(StrEnum):
    """Status of a job; the last three are final."""

    QUEUED = "queued"
    PLACED = "placed"
    """An attempt is assigned to a worker; its task may or may not have started."""
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    UNKNOWN = "unknown"
    """The task was lost and may have run; its owner decides whether to run the job again."""
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


ACTIVE_STATUSES: Final = (JobStatus.PLACED, JobStatus.RUNNING, JobStatus.CHECKPOINTING)
"""Statuses in which a job occupies its worker."""


DRAINING_STATUSES: Final = (InstanceStatus.DRAINING, InstanceStatus.QUIESCED)
"""Statuses of a worker in a planned stop or move that waits for its tasks."""


class Resources(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Amounts of CPU (in thousandths of a core), memory (in MiB) and accelerators."""

    cpu_millicores: Annotated[int, Meta(ge=0, le=1_000_000_000)] = 0
    memory_mib: MemoryMib = 0
    accelerators: Count = 0


class JobSpec(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True
):
    """A job as declared by its owner; sizes and run time (in seconds) are estimates.

    `idempotent`: running the job twice does no harm. `checkpointable`: the job can be stopped at
    a checkpoint and resumed from it; work after the checkpoint may be repeated, even if the job
    isn't idempotent. `not_after_ms`: latest start in log time; 0 means no limit.
    """

    pool: Name
    program: Annotated[str, Meta(max_length=MAX_PROGRAM_CHARS)] = ""
    """Program for the platform to run; passed on unchanged."""
    family: Name = "default"
    """Jobs of the same team and family share one learned size."""
    service_class: ServiceClass = ServiceClass.BATCH
    size: Resources = Resources()
    run_time_s: Annotated[int, Meta(ge=0, le=31_536_000)] = 0
    idempotent: bool = False
    checkpointable: bool = False
    max_attempts: Annotated[int, Meta(ge=1, le=100)] = 3
    not_after_ms: Annotated[int, Meta(ge=0)] = 0


class Job(msgspec.Struct, kw_only=True, omit_defaults=True):
    """A live job, decided by the fold from records of the log; times in log milliseconds.

    Jobs of heatherkeel.dispatch are separate: they are decided by the owner of a partition.
    A struct instead of a data class, so that snapshots omit fields with their default value.
    """

    spec: JobSpec
    submitted_ms: int
    submitted_offset: int
    """Part of the task ids, so that a job submitted again after its removal gets new task ids."""
    changed_ms: int
    status: JobStatus = JobStatus.QUEUED
    version: int = 1
    attempt: int = 0
    """Number of the latest attempt, from 1; numbers are never reused."""
    failures: int = 0
    """Attempts that ran or may have run, and are known to have ended without success."""
    losses: int = 0
    """Attempts that were abandoned when their lease expired, whatever became of them."""
    start_failures: int = 0
    """Attempts that their workers have refused."""
    unreached: int = 0
    """Attempts that never reached their workers."""
    runs: int = 0
    """Attempts that ran or may have run, except those resumed from a checkpoint."""
    runs_allowed: int = 1
    """Limit of `runs` for a job that isn't idempotent; its owner can raise it by one."""
    not_before_ms: int = 0
    instance: str = ""
    placer: str = ""
    reserved: Resources | None = None
    """Resources that the latest attempt reserves on its worker and in its team's quota."""
    resumed: bool = False
    """Whether the latest attempt was resumed from a checkpoint."""
    checkpoint: str = ""
    """Task whose checkpoint the next attempt resumes from; empty to start from the beginning."""
    peak_memory_mib: int = 0
    peak_cpu_millicores: int = 0
    started_ms: int = 0
    cancelling: bool = False
    reason: str = ""
    failed_on: list[str] = []
    """Workers on which attempts failed, in order of the first failure."""


class FinishedJob(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Summary of a finished job; `spec_digest` distinguishes a resubmission from an id conflict."""

    spec_digest: str
    status: JobStatus
    ended_ms: int
    version: int
    attempt: int = 0
    reason: str = ""


class Load(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Resources that jobs reserve on one worker or in one team's quota."""

    cpu_millicores: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    tasks: int = 0
    overrun_mib: int = 0
    """Memory that running tasks use beyond their reservation."""


class Hold(msgspec.Struct, frozen=True, kw_only=True):
    """Exclusive hold on a worker for the urgent job that capacity is being freed for."""

    job: str
    until_ms: int


class Orphan(msgspec.Struct, frozen=True, kw_only=True):
    """A task that its job has abandoned and that may still run on its worker."""

    job: str
    instance: str
    reserved: Resources


class WorkerRecord(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Recent failures on one worker: time of the last failure by job id."""

    failed_jobs: dict[str, int] = {}
    quarantined_until_ms: int = 0


class FamilyUsage(msgspec.Struct, kw_only=True):
    """Measured usage of the latest runs of one job family, oldest first."""

    updated_ms: int
    memory_mib: list[int] = []
    cpu_millicores: list[int] = []
    run_time_s: list[int] = []


@dataclass(kw_only=True)
class JobsState:
    """State of all jobs; the maps are keyed by job id, instance id, team, task id or family."""

    live: dict[str, Job] = field(default_factory=dict)
    finished: dict[str, FinishedJob] = field(default_factory=dict)
    remembered: dict[str, int] = field(default_factory=dict)
    """Number of jobs in `live` and `finished`, by team."""
    loads: dict[str, Load] = field(default_factory=dict)
    teams: dict[str, Load] = field(default_factory=dict)
    holds: dict[str, Hold] = field(default_factory=dict)
    orphans: dict[str, Orphan] = field(default_factory=dict)
    workers: dict[str, WorkerRecord] = field(default_factory=dict)
    families: dict[str, FamilyUsage] = field(default_factory=dict)
    forgot_ms: int = 0
    accepted: int = 0
    """Number of accepted submissions; checked against live, finished and forgotten jobs."""
    forgotten: int = 0


def job_team(job_id: str) -> str:
    """Return the team part of a job id."""
    return job_id.partition(":")[0]


def task_id(job_id: str, job: Job, attempt: int) -> str:
    """Return the task id of one attempt; it is the same in every process and on every retry."""
    return f"{job_id}:{job.submitted_offset}:{attempt}"


def latest_task_id(job_id: str, job: Job) -> str:
    """Return the task id of the latest attempt."""
    return task_id(job_id, job, job.attempt)


def job_id_of_task(task: str) -> str:
    """Return the job id that a task id contains."""
    return task.rsplit(":", 2)[0]


@dataclass(frozen=True, kw_only=True, slots=True)
class StartTask(Effect):
    """Start an attempt; the placer does so at once, other processes if the task is still missing.

    The platform refuses the request after `not_after_ms` (log time), so that a placer that was
    paused can't start a task that others have already abandoned.
    """

    task: str
    job: str
    instance: str
    placer: str
    program: str
    resources: Resources
    resume_from: str
    not_after_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StopTask(Effect):
    """Stop a task; if it hasn't started, the platform must refuse to start it later."""

    task: str
    job: str
    instance: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckpointTask(Effect):
    """Checkpoint a task and stop it at the checkpoint."""

    task: str
    job: str
    instance: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleTask(Effect):
    """Limit a task's CPU to `cpu_millicores`."""

    task: str
    job: str
    instance: str
    cpu_millicores: int


TaskEffect = StartTask | StopTask | CheckpointTask | ThrottleTask


@dataclass(frozen=True, kw_only=True, slots=True)
class JobChanged(Effect):
    """The status of a job changed; `reason` is empty if there is nothing to explain."""

    job: str
    status: JobStatus
    version: int
    offset: int
    reason: str = ""
