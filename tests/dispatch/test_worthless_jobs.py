"""Order of jobs that are worth nothing any more."""

from __future__ import annotations

from heatherkeel.dispatch.models import Run

from .partition import JOB, OTHER_JOB, Partition, make_step, started_runs

WORTHLESS_MS = 60_000
THIRD_JOB = "00000000000000cc"


def _end(partition: Partition, run: Run) -> list[Run]:
    """End a run and return the runs that start in its place."""
    partition.effects.clear()
    partition.end_run(run)
    return started_runs(partition.effects)


def _start_overload(*jobs: str, cpu: int, tasks: int) -> tuple[Partition, list[Run]]:
    """Submit jobs to a full worker, the shortest first, and let them become worthless."""
    partition = Partition(workers=1, cpu=8000)
    for number, job_id in enumerate(jobs):
        step = make_step(count=tasks, cpu=cpu, estimated_ms=500 + 100 * number)
        partition.submit(step, job_id=job_id)
    partition.tick(WORTHLESS_MS)
    return partition, partition.start_planned_runs()


def test_worthless_job_with_nothing_running_goes_before_further_tasks_of_others() -> None:
    """Guards against a job that waits until each task of a larger one has ended."""
    partition, (first, second) = _start_overload(JOB, OTHER_JOB, cpu=4000, tasks=8)
    (started,) = _end(partition, first)
    assert started.task.step.job.id == OTHER_JOB
    (started,) = _end(partition, second)
    assert started.task.step.job.id == JOB, "each of them has something running then"


def test_worthless_jobs_with_nothing_running_get_one_task_each() -> None:
    """Guards against a job that takes all room that is there at once."""
    partition, runs = _start_overload(JOB, OTHER_JOB, THIRD_JOB, cpu=2000, tasks=4)
    assert {run.task.step.job.id for run in runs} == {JOB}
    started = [new.task.step.job.id for run in runs for new in _end(partition, run)]
    assert started == [OTHER_JOB, THIRD_JOB, OTHER_JOB, OTHER_JOB]


def test_jobs_in_time_go_before_worthless_ones_with_nothing_running() -> None:
    partition, (first, _) = _start_overload(JOB, OTHER_JOB, cpu=4000, tasks=8)
    partition.submit(make_step(cpu=4000), job_id=THIRD_JOB)
    (started,) = _end(partition, first)
    assert started.task.step.job.id == THIRD_JOB
