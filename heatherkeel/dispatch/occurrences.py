"""Occurrences of repeated jobs, and when each begins.

A job may be due any number of times at once. What its owner does and keeps for it is bounded by
what runs and by a few tasks more that may start next.
"""

from __future__ import annotations

from .building import begin_occurrence, occurrence_start_wall_ms
from .const import MAX_OPEN_TASKS, MAX_STARTABLE_TASKS
from .events import Effects
from .models import Job, Step
from .pools import enqueue_step
from .state import PartitionState


def begin_due_occurrences(state: PartitionState, job: Job, effects: Effects) -> None:
    """Begin occurrences that are due; a job without a schedule begins at once.

    Those for which there are enough tasks to start begin later, when some of these have started.
    """
    limits: _Limits | None = None
    while (number := job.find_next_occurrence()) is not None:
        begins_ms = find_begin_ms(state, job, number)
        if begins_ms > state.now_ms:
            return
        limits = limits or _Limits(job)
        if limits.are_reached():
            return
        for step in begin_occurrence(job, number, begins_ms=begins_ms):
            limits.count(step)
            enqueue_step(state, step)
        effects.touch(job.service)


def find_begin_ms(state: PartitionState, job: Job, number: int) -> float:
    """Return when an occurrence is due, on the monotonic clock."""
    if not job.request.repeat_count:
        return float(job.accepted_ms)
    return float(state.now_ms - state.wall_ms + occurrence_start_wall_ms(job, number))


class _Limits:
    """How many tasks of a job could start now, and how many aren't done in all."""

    def __init__(self, job: Job) -> None:
        self.startable = 0
        self.open = 0
        for step in job.steps():
            self.count(step)

    def count(self, step: Step) -> None:
        """Count the tasks of a step."""
        if step.is_done():
            return
        self.open += len(step.tasks)
        if step.is_open:
            self.startable += sum(1 for task in step.tasks if not task.is_done and not task.runs)

    def are_reached(self) -> bool:
        """Return whether no further occurrence begins."""
        return self.startable >= MAX_STARTABLE_TASKS or self.open >= MAX_OPEN_TASKS
