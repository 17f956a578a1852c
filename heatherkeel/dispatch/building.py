"""Creates steps and tasks of jobs from their requests."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from heatherkeel.durations.models import StepEstimate
from heatherkeel.platform.callers import JobRequest, StepRequest
from heatherkeel.platform.operator import Queue
from heatherkeel.platform.ranges import LARGEST_WORK

from .const import MAX_STARTABLE_TASKS
from .models import Job, JobState, Step, Task
from .terms import JobTerms

DEFAULT_TARGET_MS = 1000
"""Target latency of a job whose queue isn't known, in milliseconds."""


LARGE_JOB_BYTES: Final = 64 * 1024
"""Memory from which a job counts as large, in bytes; more than a hundred tasks."""
TASK_BYTES: Final = 512
STEP_BYTES: Final = 1024
DEPENDENCY_BYTES: Final = 40
"""Memory of the parts of a job, in bytes."""


def estimate_kept_bytes(request: JobRequest) -> int:
    """Return the memory that a job takes at its owner until it has ended, in bytes."""
    tasks = sum(step.count for step in request.steps)
    occurrences = min(max(1, request.repeat_count), 1 + MAX_STARTABLE_TASKS // max(1, tasks))
    steps = sum(STEP_BYTES + DEPENDENCY_BYTES * len(step.depends_on) for step in request.steps)
    return len(request.spec) + occurrences * (steps + TASK_BYTES * tasks)


def critical_paths_ms(
    steps: tuple[StepRequest, ...], estimates: Sequence[StepEstimate] | None = None
) -> list[float]:
    """Return the critical path from each step's start to the job's end, in milliseconds.

    Without estimates, the declared durations are used.
    """
    after = [0.0] * len(steps)
    paths = [0.0] * len(steps)
    for number in range(len(steps) - 1, -1, -1):
        step = steps[number]
        longest_ms = estimates[number].longest_ms if estimates else step.estimated_ms
        paths[number] = longest_ms + after[number]
        for earlier in step.depends_on:
            after[earlier] = max(after[earlier], paths[number])
    return paths


def remaining_work(
    steps: tuple[StepRequest, ...], estimates: Sequence[StepEstimate] | None = None
) -> list[float]:
    """Return the work of each step and all later ones, in core-milliseconds.

    Best-effort tasks count as no work. Without estimates, the declared durations are used.
    """
    remaining = [0.0] * (len(steps) + 1)
    for number in range(len(steps) - 1, -1, -1):
        step = steps[number]
        task_ms = estimates[number].task_ms if estimates else step.estimated_ms
        work = 0.0 if step.fills else step.count * step.cpu * task_ms / 1000
        remaining[number] = min(LARGEST_WORK, remaining[number + 1] + work)
    return remaining[:-1]


def set_objective(job: Job, terms: Queue | JobTerms | None) -> None:
    """Set the time by which a job should be complete, by the terms of its queue."""
    critical_path_ms = max(critical_paths_ms(job.request.steps, job.estimates), default=0.0)
    slack = terms.slack_factor if terms else 1.0
    target_ms = terms.target_latency_ms if terms else DEFAULT_TARGET_MS
    job.due_ms = job.accepted_ms + slack * critical_path_ms + target_ms


def begin_occurrence(job: Job, occurrence: int, *, begins_ms: float) -> list[Step]:
    """Create the steps and tasks of one occurrence; steps without dependencies are open."""
    steps = []
    for number, request in enumerate(job.request.steps):
        step = Step(
            job=job,
            occurrence=occurrence,
            number=number,
            request=request,
            is_open=not request.depends_on,
        )
        prefix = step.name()
        step.tasks = [
            Task(step=step, index=index, name=f"{prefix}.{index}") for index in range(request.count)
        ]
        steps.append(step)
    job.occurrences[occurrence] = steps
    set_latest_starts(job, steps, begins_ms=begins_ms)
    return steps


def fold_if_over(job: Job, number: int) -> list[Step]:
    """Keep only the number of an occurrence that is done and of which no run is left.

    Returns its steps if it was folded.
    """
    steps = job.occurrences.get(number, [])
    if not job.request.repeat_count or not steps:
        return []
    if any(step.has_runs() or not step.is_done() for step in steps):
        return []
    del job.occurrences[number]
    job.folded.add(number)
    return steps


def set_latest_starts(job: Job, steps: list[Step], *, begins_ms: float) -> None:
    """Set the latest start and the work of an occurrence's steps by the job's objective."""
    due_ms = begins_ms + job.due_ms - job.accepted_ms
    paths = critical_paths_ms(job.request.steps, job.estimates)
    remaining = remaining_work(job.request.steps, job.estimates)
    for step, path_ms, work in zip(steps, paths, remaining, strict=True):
        step.latest_start_ms = due_ms - path_ms
        step.work = work


def open_dependents(step: Step) -> list[Step]:
    """Open steps whose dependencies are all done by now; returns those that opened."""
    steps = step.job.occurrences[step.occurrence]
    opened = []
    for dependent in steps:
        if dependent.is_open:
            continue
        if all(steps[earlier].is_done() for earlier in dependent.request.depends_on):
            dependent.is_open = True
            opened.append(dependent)
    return opened


def occurrence_start_wall_ms(job: Job, occurrence: int) -> int:
    """Return the start time of an occurrence of a repeated job, on the wall clock."""
    return job.request.start_at_ms + occurrence * job.request.interval_ms


def make_placeholder_task(name: str, *, service: str) -> Task:
    """Return a placeholder for a task whose job isn't known, so that it can be stopped."""
    job = Job(
        id=name.split(".", 1)[0],
        queue="",
        service=service,
        request=JobRequest(),
        accepted_ms=0,
        accepted_wall_ms=0,
        state=JobState.CANCELED,
    )
    step = Step(job=job, occurrence=0, number=0, request=StepRequest(count=1))
    return Task(step=step, index=0, name=name)
