"""Large jobs: guards against one that exhausts the memory of each owner that loads it."""

from __future__ import annotations

from heatherkeel.dispatch.const import MAX_OPEN_TASKS
from heatherkeel.dispatch.ends import find_task
from heatherkeel.dispatch.models import Task

from .partition import JOB, Partition, make_step


def unfinished_tasks(partition: Partition) -> list[Task]:
    """Return the unfinished tasks of the occurrences that have begun."""
    steps = partition.job().steps()
    return [task for step in steps for task in step.tasks if not task.is_done]


def submit_repeated(partition: Partition, *, count: int, times: int) -> None:
    """Submit a job whose occurrences are all due."""
    partition.submit(make_step(count=count, cpu=100), repeat_count=times, start_at_ms=1)


def test_occurrences_that_are_due_at_once_begin_a_bounded_number_at_a_time() -> None:
    partition = Partition()
    submit_repeated(partition, count=1000, times=1_000_000_000)
    assert len(unfinished_tasks(partition)) <= MAX_OPEN_TASKS


def test_deferred_occurrences_begin_when_earlier_ones_are_done() -> None:
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


def test_unknown_task_name_is_not_found() -> None:
    """Guards against errors on a listed task that this owner didn't start."""
    state = Partition().state
    assert find_task(state, "stray") is None
    assert find_task(state, f"{JOB}.0.x.1") is None
