"""Messages of the platform's task interface (`docs/design/jobs.md`).

The platform guarantees that a task id starts at most once, that a task that was stopped before
its start or requested too late is void and never starts, and that it remembers a task id for
longer than the fold remembers its job.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class TaskState(StrEnum):
    """State of a task on the platform."""

    RUNNING = "running"
    ENDED = "ended"
    VOID = "void"
    """It has not started and never will."""
    LAPSED = "lapsed"
    """Its lease has expired: its worker is unresponsive and may still run it."""
    GONE = "gone"
    """It no longer runs, and its progress is unknown."""


class ReportedExit(StrEnum):
    """How a task ended."""

    NONE = ""
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    OUT_OF_MEMORY = "out_of_memory"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    """Stopped at a checkpoint that was saved."""
    REFUSED = "refused"
    """The worker refused to start it; only with `void`."""


class TaskRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to start a task; memory in MiB, `not_after_ms` in the log's time."""

    instance: str
    program: str
    cpu_millicores: int
    memory_mib: int
    accelerators: int
    resume_from: str
    not_after_ms: int


class TaskView(msgspec.Struct, frozen=True, kw_only=True):
    """One task as reported by the platform; its usage may be outdated."""

    task: str
    instance: str
    state: TaskState
    exit: ReportedExit = ReportedExit.NONE
    retryable: bool = True
    detail: str = ""
    peak_memory_mib: int = 0
    cpu_millicores: int = 0


class TaskList(msgspec.Struct, frozen=True, kw_only=True):
    """Tasks that changed after a change number of the platform."""

    upto: int
    tasks: list[TaskView]


class ThrottleRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to limit a task to this many thousandths of a core."""

    cpu_millicores: int


class StopRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to stop a task; names the worker in case the platform doesn't know the task."""

    instance: str
