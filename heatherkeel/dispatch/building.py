"""Makes jobs, their steps and tasks of what callers have sent."""

from __future__ import annotations

from heatherkeel.platform.callers import JobRequest, StepRequest
from heatherkeel.platform.operator import Queue

from .models import Job, JobState, Step, Task

DEFAULT_TARGET_MS = 1000
"""Allowed on top of the work of a job whose queue isn't known, in milliseconds."""


def longest_chain_ms(steps: tuple[StepRequest, ...]) -> list[float]:
    """Return for each step the work from its start to the job's end, in milliseconds."""
    after = [0.0] * len(steps)
    chains = [0.0] * len(steps)
    for number in range(len(steps) - 1, -1, -1):
        step = steps[number]
        chains[number] = step.estimated_ms + after[number]
        for earlier in step.depends_on:
            after[earlier] = max(after[earlier], chains[number])
    return chains


def work_ahead(steps: tuple[StepRequest, ...]) -> list[float]:
    """Return for each step what it and all later steps ask for, in core-milliseconds.

    Tasks that fill take no room.
    """
    ahead = [0.0] * (len(steps) + 1)
    for number in range(len(steps) - 1, -1, -1):
        step = steps[number]
        own = 0.0 if step.fills else step.count * step.cpu * step.estimated_ms / 1000
        ahead[number] = ahead[number + 1] + own
    return ahead[:-1]


def set_objective(job: Job, queue: Queue | None) -> None:
    """Work out until when the job should be complete."""
    chain_ms = max(longest_chain_ms(job.request.steps), default=0.0)
    slack = queue.slack_factor if queue else 1.0
    target_ms = queue.target_latency_ms if queue else DEFAULT_TARGET_MS
    job.due_ms = job.accepted_ms + slack * chain_ms + target_ms


def begin_occurrence(job: Job, occurrence: int, *, begins_ms: float) -> list[Step]:
    """Make the steps and tasks of one occurrence; steps that depend on none are open."""
    due_ms = begins_ms + job.due_ms - job.accepted_ms
    chains = longest_chain_ms(job.request.steps)
    works = work_ahead(job.request.steps)
    steps = []
    for number, request in enumerate(job.request.steps):
        step = Step(
            job=job,
            occurrence=occurrence,
            number=number,
            request=request,
            latest_start_ms=due_ms - chains[number],
            work=works[number],
            is_open=not request.depends_on,
        )
        prefix = step.name()
        step.tasks = [
            Task(step=step, index=index, name=f"{prefix}.{index}") for index in range(request.count)
        ]
        steps.append(step)
    job.occurrences[occurrence] = steps
    return steps


def open_followers(step: Step) -> list[Step]:
    """Open the steps that depended on a step that is done; returns those that opened."""
    steps = step.job.occurrences[step.occurrence]
    opened = []
    for follower in steps:
        if follower.is_open:
            continue
        if all(steps[earlier].is_done() for earlier in follower.request.depends_on):
            follower.is_open = True
            opened.append(follower)
    return opened


def occurrence_begins_wall_ms(job: Job, occurrence: int) -> int:
    """Return when an occurrence of a repeated job is due, on the wall clock."""
    return job.request.start_at_ms + occurrence * job.request.interval_ms


def make_unknown_task(name: str, *, service: str) -> Task:
    """Return a task in the place of one whose job isn't known; it only can be stopped."""
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
