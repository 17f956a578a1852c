"""Lasting tasks that stand apart are gathered, so that machines can be sent away.

The load is that of a fleet whose pools have a queue of short jobs and two jobs of lasting tasks. A
machine has 64 cores and a lasting task asks for nine, so seven fit on one.
"""

from __future__ import annotations

import pytest

from heatherkeel.dispatch.models import Run
from heatherkeel.platform.callers import StepRequest

from .partition import JOB, OTHER_JOB, Partition, make_entry, make_step, stopped

CPU = 64_000
TASK_CPU = 9_000
LONG_MS = 20_000


def make_partition(*, workers: int = 8) -> Partition:
    """Return a partition with workers, each in a rack of its own."""
    partition = Partition(workers=0)
    partition.entries = {
        f"w{number}": make_entry(cpu=CPU, rack=f"r{number}") for number in range(workers)
    }
    partition.list_workers()
    for worker_id in partition.entries:
        partition.answer(worker_id)
    return partition


def make_lasting(count: int = 12, **more: object) -> StepRequest:
    """Return a step of lasting tasks, of which one may be away."""
    return make_step(count=count, cpu=TASK_CPU, lasts=True, **({"max_unavailable": 1} | more))


def holders(partition: Partition, *jobs: str) -> set[str]:
    """Return the workers that have a task of these jobs."""
    return {run.worker_id for job in jobs for run in partition.job(job).runs()}


def fill(partition: Partition) -> list[Run]:
    """Let short tasks take nearly all of each worker, as in a pool's turn."""
    partition.submit(make_step(count=len(partition.entries), cpu=55_000), job_id=OTHER_JOB)
    return partition.start_all()


def list_all(partition: Partition) -> None:
    """Let each worker list what runs there, lasting tasks at work."""
    for worker_id in list(partition.state.workers):
        partition.answer(worker_id, percent=100.0)


def live(partition: Partition, ms: int) -> int:
    """Let time pass, with workers that stop and start what they are told.

    Returns the most tasks of one step that were away at once by our orders.
    """
    most = 0
    for _ in range(ms // 100):
        partition.effects.clear()
        partition.tick(100)
        runs = stopped(partition.effects)
        steps = [run.task.step for run in runs]
        most = max([most, *(steps.count(step) for step in steps)])
        for run in runs:
            partition.end(run, "stopped")
        partition.start_all()
        list_all(partition)
    return most


def spread_out(partition: Partition, *jobs: str, step: StepRequest | None = None) -> None:
    """Hand lasting jobs in while the pool is full, and let its short tasks end after that."""
    short = fill(partition)
    for job in jobs:
        partition.submit(step or make_lasting(), job_id=job)
    partition.start_all()
    for run in short:
        partition.end(run)
    partition.start_all()
    list_all(partition)


LASTING_JOB = "00000000000000cc"


def test_tasks_that_came_while_the_pool_was_full_are_gathered() -> None:
    """A job of twelve lasting tasks comes in a queue's turn, while each worker has nine cores left.

    Its tasks stand on all eight workers, and none of their machines can be sent away when the turn
    is over. Two have room for all of them. One task is away at a time.
    """
    partition = make_partition()
    spread_out(partition, LASTING_JOB)
    assert len(holders(partition, LASTING_JOB)) == 8
    assert live(partition, LONG_MS) == 1
    assert len(holders(partition, LASTING_JOB)) == 2
    assert len(partition.job(LASTING_JOB).runs()) == 12


def test_tasks_of_several_jobs_share_workers() -> None:
    partition = make_partition()
    spread_out(partition, LASTING_JOB, JOB)
    live(partition, 2 * LONG_MS)
    assert len(holders(partition, LASTING_JOB, JOB)) == 4


def test_nothing_moves_any_more_once_it_is_gathered() -> None:
    partition = make_partition()
    spread_out(partition, LASTING_JOB)
    live(partition, LONG_MS)
    assert live(partition, LONG_MS) == 0


def test_nothing_is_moved_while_a_task_of_the_step_is_away() -> None:
    """A task of the job has just failed and starts again: another one less would break its budget.

    Whoever uses these tasks counts on all but one of them.
    """
    partition = make_partition()
    spread_out(partition, LASTING_JOB)
    run = partition.job(LASTING_JOB).runs()[0]
    partition.end(run, "failed")
    again = partition.start_all()
    partition.effects.clear()
    for _ in range(20):
        partition.tick(100)
    assert again and not stopped(partition.effects)


def test_tasks_stay_where_the_others_have_no_room() -> None:
    """In a turn all workers are full of short tasks: a task that is stopped would have no place."""
    partition = make_partition(workers=3)
    spread_out(partition, LASTING_JOB)
    for worker in partition.state.workers.values():
        room = worker.free_cpu() // 1000 * 1000
        partition.submit(make_step(cpu=room), job_id=f"{len(partition.state.jobs):016x}")
    partition.start_all()
    partition.effects.clear()
    partition.tick(1000)
    assert not stopped(partition.effects)


@pytest.mark.parametrize("more", [{"is_gang": True}, {"max_per_worker": 1}])
def test_tasks_that_must_stand_as_they_do_are_left(more: dict[str, object]) -> None:
    partition = make_partition()
    spread_out(partition, LASTING_JOB, step=make_lasting(4, **more))
    before = holders(partition, LASTING_JOB)
    assert live(partition, LONG_MS) == 0
    assert holders(partition, LASTING_JOB) == before


def test_worker_that_does_not_answer_is_neither_emptied_nor_filled() -> None:
    """Its tasks may be at work or gone; a task that is stopped there would count as away for long.

    They don't count as at work either, so nothing of their step is moved.
    """
    partition = make_partition()
    spread_out(partition, LASTING_JOB)
    silent = next(iter(holders(partition, LASTING_JOB)))
    partition.fail(silent)
    partition.effects.clear()
    partition.tick(1000)
    assert not stopped(partition.effects)
