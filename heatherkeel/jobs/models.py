"""Jobs as the fold knows them: their states, what they hold, and the effects they ask for."""

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
"""`team:name`; the caller chooses the name, so a resubmission carries the same id."""

TaskId = Annotated[str, Meta(pattern=r"^[^:]+:[^:]+:[0-9]+:[0-9]+$", max_length=200)]
"""`team:name:submission:attempt`."""


class JobStatus(StrEnum):
    """Where a job stands; the last three are final."""

    QUEUED = "queued"
    PLACED = "placed"
    """An attempt is bound to a worker; its task may or may not have started."""
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    UNKNOWN = "unknown"
    """The task's lease lapsed and nobody can tell whether it ran; its owner decides."""
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


HOLDING: Final = (JobStatus.PLACED, JobStatus.RUNNING, JobStatus.CHECKPOINTING)
"""States in which a job occupies its worker for certain."""


LEAVING: Final = (InstanceStatus.DRAINING, InstanceStatus.QUIESCED)
"""Status of a worker in a planned stop or move that its tasks can still hold up."""


class Resources(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An amount of the three resources; memory in MiB, processors in thousandths of a core."""

    cpu_millicores: Annotated[int, Meta(ge=0, le=1_000_000_000)] = 0
    memory_mib: MemoryMib = 0
    accelerators: Count = 0


class JobSpec(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True
):
    """What the owner declares; sizes and run time (seconds) may be far off.

    `idempotent` says that running it twice does no harm. `checkpointable` says that it can be
    stopped at a checkpoint and run on from there; for a job that isn't idempotent it promises
    as well that what it does after a checkpoint may be done again from that checkpoint.
    `not_after_ms`, in log time, is the latest start; 0 sets none.
    """

    pool: Name
    program: Annotated[str, Meta(max_length=MAX_PROGRAM_CHARS)] = ""
    """What the platform is to run; it is passed on as it is."""
    family: Name = "default"
    """Jobs of one team and family are taken to be alike when sizes are learned."""
    service_class: ServiceClass = ServiceClass.BATCH
    size: Resources = Resources()
    run_time_s: Annotated[int, Meta(ge=0, le=31_536_000)] = 0
    idempotent: bool = False
    checkpointable: bool = False
    max_attempts: Annotated[int, Meta(ge=1, le=100)] = 3
    not_after_ms: Annotated[int, Meta(ge=0)] = 0


class Job(msgspec.Struct, kw_only=True, omit_defaults=True):
    """A job that isn't finished; times in log milliseconds.

    A struct in place of a data class, as most fields of most jobs stand at their defaults and
    are left out of snapshots (`docs/design/jobs.md` has the bytes of both).
    """

    spec: JobSpec
    submitted_ms: int
    submitted_offset: int
    """Part of the task ids: a job that was forgotten and comes again has other tasks."""
    changed_ms: int
    status: JobStatus = JobStatus.QUEUED
    version: int = 1
    attempt: int = 0
    """The newest attempt; attempts are numbered from 1 and never reused."""
    failures: int = 0
    """Attempts that ran, or may have run, and did not succeed."""
    start_failures: int = 0
    """Attempts that are known not to have run."""
    runs: int = 0
    """Attempts from the start of the work that ran, or may have run."""
    runs_allowed: int = 1
    """How many such attempts a job that isn't idempotent may have: one more per owner's word."""
    not_before_ms: int = 0
    instance: str = ""
    placer: str = ""
    reserved: Resources | None = None
    """What the newest attempt holds of its worker and of its team's quota."""
    resumed: bool = False
    """The newest attempt began at a checkpoint."""
    checkpoint: str = ""
    """The task whose checkpoint a further attempt begins at; empty: from the start."""
    peak_memory_mib: int = 0
    peak_cpu_millicores: int = 0
    started_ms: int = 0
    cancelling: bool = False
    reason: str = ""
    failed_on: list[str] = []
    """Workers on which attempts failed, the newest last."""


class FinishedJob(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What is remembered of a finished job; `spec_digest` tells a resubmission from a clash."""

    spec_digest: str
    status: JobStatus
    ended_ms: int
    version: int
    attempt: int = 0
    reason: str = ""


class Load(msgspec.Struct, kw_only=True, omit_defaults=True):
    """What jobs hold of one worker, or of one team's quota."""

    cpu_millicores: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    tasks: int = 0
    overrun_mib: int = 0
    """Memory that running tasks use above what they hold."""


class Hold(msgspec.Struct, frozen=True, kw_only=True):
    """Room on a worker that is being made for one urgent job; nothing else is placed there."""

    job: str
    until_ms: int


class Orphan(msgspec.Struct, frozen=True, kw_only=True):
    """A task that its job has given up on, and that may still run on a worker that came back."""

    job: str
    instance: str
    reserved: Resources


class WorkerRecord(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Evidence against one worker: jobs that failed there, with the time of the failure."""

    failed_jobs: dict[str, int] = {}
    quarantined_until_ms: int = 0


class FamilyUsage(msgspec.Struct, kw_only=True):
    """The newest ended runs of one job family, oldest first."""

    updated_ms: int
    memory_mib: list[int] = []
    cpu_millicores: list[int] = []
    run_time_s: list[int] = []


@dataclass(kw_only=True)
class JobsState:
    """What the log has decided about jobs; maps by job id, instance id, team or task id."""

    live: dict[str, Job] = field(default_factory=dict)
    finished: dict[str, FinishedJob] = field(default_factory=dict)
    remembered: dict[str, int] = field(default_factory=dict)
    """Jobs in `live` and `finished`, by team."""
    loads: dict[str, Load] = field(default_factory=dict)
    teams: dict[str, Load] = field(default_factory=dict)
    holds: dict[str, Hold] = field(default_factory=dict)
    orphans: dict[str, Orphan] = field(default_factory=dict)
    workers: dict[str, WorkerRecord] = field(default_factory=dict)
    families: dict[str, FamilyUsage] = field(default_factory=dict)
    forgot_ms: int = 0
    accepted: int = 0
    """Submissions accepted so far; with `forgotten` it shows that no job vanished."""
    forgotten: int = 0


def job_team(job_id: str) -> str:
    """Return the team that a job id names."""
    return job_id.partition(":")[0]


def task_id(job_id: str, job: Job, attempt: int) -> str:
    """Return the platform's task id of one attempt: the same at every process and every try."""
    return f"{job_id}:{job.submitted_offset}:{attempt}"


def task_of(job_id: str, job: Job) -> str:
    """Return the platform's task id of the newest attempt."""
    return task_id(job_id, job, job.attempt)


def task_job(task: str) -> str:
    """Return the job that a task id names."""
    return task.rsplit(":", 2)[0]


@dataclass(frozen=True, kw_only=True, slots=True)
class StartTask(Effect):
    """Start an attempt; the placer does so at once, any other process if it finds it undone.

    `not_after_ms`, in log time, voids the request: a placer that was paused must not start a
    task after others have given it up.
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
    """Stop a task; if it never started, the platform must refuse to start it from then on."""

    task: str
    job: str
    instance: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckpointTask(Effect):
    """Checkpoint a task and stop it there."""

    task: str
    job: str
    instance: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleTask(Effect):
    """Hold a task to this many thousandths of a core."""

    task: str
    job: str
    instance: str
    cpu_millicores: int


TaskEffect = StartTask | StopTask | CheckpointTask | ThrottleTask


@dataclass(frozen=True, kw_only=True, slots=True)
class JobChanged(Effect):
    """A job reached a status; `reason` says why, where there is something to say."""

    job: str
    status: JobStatus
    version: int
    offset: int
    reason: str = ""
