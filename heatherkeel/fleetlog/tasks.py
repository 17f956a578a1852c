"""Messages of the platform's task interface (`docs/design/jobs.md`).

What we rely on: a task id is started at most once, whatever is asked and however often; a task
that was stopped before it started, or asked for too late, is void and never starts; and the
platform remembers a task id for longer than the fold remembers its job.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class TaskState(StrEnum):
    """What the platform knows of a task."""

    RUNNING = "running"
    ENDED = "ended"
    VOID = "void"
    """It never started, and never will."""
    LAPSED = "lapsed"
    """Its lease lapsed: its worker isn't heard of, and may still run it."""
    GONE = "gone"
    """It can't run any more, and nobody knows how far it came."""


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
    """The worker would not start it; only with `void`."""


class TaskRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A start; memory in MiB, `not_after_ms` in the log's time."""

    instance: str
    program: str
    cpu_millicores: int
    memory_mib: int
    accelerators: int
    resume_from: str
    not_after_ms: int


class TaskView(msgspec.Struct, frozen=True, kw_only=True):
    """What the platform says of one task; usage lags behind the task."""

    task: str
    instance: str
    state: TaskState
    exit: ReportedExit = ReportedExit.NONE
    retryable: bool = True
    detail: str = ""
    peak_memory_mib: int = 0
    cpu_millicores: int = 0


class TaskList(msgspec.Struct, frozen=True, kw_only=True):
    """Tasks that changed after a point of the platform's own count of changes."""

    upto: int
    tasks: list[TaskView]


class ThrottleRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a task to this many thousandths of a core."""

    cpu_millicores: int


class StopRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Stop a task; the worker is named in case the platform never heard of the task."""

    instance: str
