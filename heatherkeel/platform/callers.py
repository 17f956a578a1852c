"""Requests and responses of callers: jobs, their states and queue lengths."""

from __future__ import annotations

from typing import Final

import msgspec
from result import Err, Ok, Result

from .ranges import Amount, Count, Duration, Instant

MAX_SPEC_BYTES: Final = 4000
MAX_STEPS: Final = 1_000
"""Maximum number of steps of a job; the end of a step is checked against all others."""
MAX_TASKS: Final = 20_000
"""Maximum number of tasks of a job, without repetitions. It keeps one job from exhausting the
memory of its partition's owner, and of each process that takes the partition over."""


VALUE_BYTES: Final = 48
"""Memory of a decoded number and its place in a list, in bytes."""
OBJECT_BYTES: Final = 256
"""Memory of a decoded step without its lists, in bytes."""


class StepRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One step of a job; CPU in thousandths of a core, memory in MiB, times in ms."""

    count: Count = 0
    cpu: Amount = 0
    memory_mb: Amount = msgspec.field(name="memMb", default=0)
    gpu: Amount = 0
    estimated_ms: Duration = msgspec.field(name="estimatedMs", default=0)
    depends_on: tuple[Count, ...] = msgspec.field(name="dependsOn", default=())
    saves: bool = msgspec.field(name="checkpointing", default=False)
    """Its tasks save checkpoints."""
    is_gang: bool = msgspec.field(name="gang", default=False)
    is_colocated: bool = msgspec.field(name="colocated", default=False)
    label: str = msgspec.field(name="requirements", default="")
    """A label that the worker must have; empty if any worker is suitable."""
    data_rack: str = msgspec.field(name="dataRack", default="")
    max_per_worker: Count = msgspec.field(name="antiAffinity", default=0)
    """Maximum number of tasks of the step on one worker; 0 for no limit."""
    may_copy: bool = msgspec.field(name="speculative", default=False)
    lasts: bool = msgspec.field(name="longRunning", default=False)
    image: str = ""
    tail_target_ms: Duration = msgspec.field(name="targetMs", default=0)
    fills: bool = False
    """Its tasks are best-effort: their CPU isn't counted, and they get what others leave."""
    max_unavailable: Count | None = msgspec.field(name="maxUnavailable", default=None)


class JobRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job as submitted by a caller."""

    spec: str = ""
    steps: tuple[StepRequest, ...] = ()
    repeat_count: Count = msgspec.field(name="repeatCount", default=0)
    start_at_ms: Instant = msgspec.field(name="startAtMs", default=0)
    interval_ms: Duration = msgspec.field(name="intervalMs", default=0)


def estimate_decoded_bytes(body: bytes) -> int:
    """Return the memory that a job takes at most once it is decoded.

    Commas and braces in strings count as well: the estimate is made before the body is parsed.
    """
    return len(body) + VALUE_BYTES * body.count(b",") + OBJECT_BYTES * body.count(b"{")


def decode_job(body: bytes) -> Result[JobRequest, str]:
    """Decode and validate a job; the error describes the first fault."""
    try:
        job = msgspec.json.decode(body, type=JobRequest)
    except (ValueError, RecursionError) as err:
        return Err(str(err))
    fault = _find_fault(job)
    return Err(fault) if fault else Ok(job)


def _find_fault(job: JobRequest) -> str | None:
    if not job.steps:
        return "a job needs at least one step"
    if len(job.steps) > MAX_STEPS:
        return f"a job may have {MAX_STEPS} steps"
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        return f"spec is longer than {MAX_SPEC_BYTES} bytes"
    for number, step in enumerate(job.steps):
        if not 0 < step.count <= MAX_TASKS:
            return f"steps[{number}].count must be from 1 to {MAX_TASKS}"
        if any(not 0 <= earlier < number for earlier in step.depends_on):
            return f"steps[{number}].dependsOn may name earlier steps only"
        if min(step.cpu, step.memory_mb, step.gpu, step.estimated_ms) < 0:
            return f"steps[{number}] has a negative amount"
    if sum(step.count for step in job.steps) > MAX_TASKS:
        return f"a job may have {MAX_TASKS} tasks"
    return None


def encode_job_state(state: str) -> bytes:
    """Encode the response with a job's state; state names are the same on the platform."""
    return msgspec.json.encode({"state": state})


def encode_queue_length(pending: int) -> bytes:
    """Encode the response with the number of accepted jobs that have no task started."""
    return msgspec.json.encode({"pendingJobs": pending})
