"""A job that is too large for its owner.

The owner's process runs out of memory, or stands still, and is killed; the partition goes to the
next process, which reads the same job and is killed as well, one after the other. Its queue isn't
served by anybody, and its caller has been told that the job was accepted.
"""

from __future__ import annotations

from heatherkeel.dispatch.const import MAX_OPEN_TASKS
from heatherkeel.dispatch.ends import find_task
from heatherkeel.dispatch.events import JobSubmitted
from heatherkeel.dispatch.models import Task
from heatherkeel.platform.callers import JobRequest

from .partition import JOB, Partition, make_step


def unfinished(partition: Partition) -> list[Task]:
    """Return the tasks of the occurrences that have begun."""
    steps = partition.job().steps()
    return [task for step in steps for task in step.tasks if not task.is_done]


def submit_repeated(partition: Partition, *, count: int, times: int) -> None:
    """Submit a job all of whose occurrences are due already."""
    request = JobRequest(
        spec="s", steps=(make_step(count=count, cpu=100),), repeat_count=times, start_at_ms=1
    )
    partition.apply(
        JobSubmitted(
            **partition.event_times(),
            job_id=JOB,
            queue="quotes",
            service="portal",
            request=request,
            accepted_wall_ms=partition.now_ms,
        )
    )


def test_occurrences_that_are_due_at_once_begin_a_bounded_number_at_a_time() -> None:
    partition = Partition()
    submit_repeated(partition, count=1000, times=1_000_000_000)
    assert len(unfinished(partition)) <= MAX_OPEN_TASKS


def test_held_back_occurrences_begin_when_earlier_ones_are_done() -> None:
    partition = Partition()
    times = 3 * MAX_OPEN_TASKS // 1000
    submit_repeated(partition, count=1000, times=times)
    for _ in range(times):
        for step in partition.job().steps():
            for task in step.tasks:
                task.is_done = True
            step.done = len(step.tasks)
        partition.tick(100)
    assert len(partition.job().occurrences) == times


def test_name_that_is_no_task_names_no_task() -> None:
    """A worker lists something that nobody here has started."""
    state = Partition().state
    assert find_task(state, "stray") is None
    assert find_task(state, f"{JOB}.0.x.1") is None
