"""Starts: guards against duplicate, premature and oversized ones."""

from __future__ import annotations

from heatherkeel.dispatch.events import SaveJob, StartTask
from heatherkeel.dispatch.models import JobState, RunState
from heatherkeel.platform.errors import Failure
from heatherkeel.platform.workers import RunningTask

from .partition import JOB, OTHER_JOB, Partition, make_step, started_runs, stopped_runs


def test_attempt_is_stored_before_its_start_is_sent() -> None:
    effects = Partition().submit(make_step())
    kinds = [type(effect) for effect in effects]
    assert kinds.index(SaveJob) < kinds.index(StartTask)


def test_worker_capacity_is_never_exceeded() -> None:
    partition = Partition(workers=2, cpu=8000)
    runs = started_runs(partition.submit(make_step(count=20, cpu=3000)))
    assert len(runs) == 4
    assert all(worker.used_cpu <= 8000 for worker in partition.state.workers.values())


def test_capacity_of_a_stopping_run_still_counts() -> None:
    """Guards against overloading a worker that is still stopping a task."""
    partition = Partition(workers=1, cpu=4000)
    partition.submit(make_step(cpu=4000))
    (run,) = partition.start_planned_runs()
    partition.submit(make_step(cpu=4000), job_id=OTHER_JOB)
    assert stopped_runs(partition.cancel()) == [run]
    assert not started_runs(partition.effects)
    partition.end_run(run, "stopped")
    assert [run.task.step.job.id for run in started_runs(partition.effects)] == [OTHER_JOB]


def test_step_starts_only_after_all_its_dependencies() -> None:
    partition = Partition()
    partition.submit(make_step(count=2), make_step(depends_on=(0,)))
    first, second = partition.start_planned_runs()
    partition.end_run(first)
    assert not started_runs(partition.effects)
    partition.end_run(second)
    assert [run.task.step.number for run in started_runs(partition.effects)] == [1]


def test_step_starts_at_most_max_per_worker_tasks_on_a_worker() -> None:
    partition = Partition(workers=3)
    runs = started_runs(partition.submit(make_step(count=5, cpu=100, max_per_worker=1)))
    assert sorted(run.worker_id for run in runs) == ["w0", "w1", "w2"]


def test_unanswered_start_is_stopped_before_the_task_starts_elsewhere() -> None:
    """Guards against a second run beside a start that the worker executes late."""
    partition = Partition()
    (run,) = started_runs(partition.submit(make_step()))
    partition.effects.clear()
    assert stopped_runs(partition.answer_start(run, Failure.UNKNOWN)) == [run]
    partition.list_known_runs(run.worker_id)
    assert not started_runs(partition.effects)
    run.answered_ms = partition.now_ms
    partition.list_runs(run.worker_id)
    (again,) = started_runs(partition.effects)
    assert again.attempt == run.attempt + 1


def test_long_running_task_with_unanswered_start_is_kept_if_it_runs() -> None:
    """Guards against needless stops, which could exceed the step's `max_unavailable`."""
    partition = Partition(workers=1)
    (run,) = started_runs(partition.submit(make_step(lasts=True, max_unavailable=1)))
    assert not stopped_runs(partition.answer_start(run, Failure.UNKNOWN))
    row = RunningTask(task=run.task.name, attempt=1, saved="", percent=100.0, figure=0.0)
    assert not stopped_runs(partition.list_runs("w0", row))
    assert run.state is RunState.RUNNING


def test_long_running_task_with_unanswered_start_is_stopped_if_it_does_not_run() -> None:
    partition = Partition(workers=1)
    (run,) = started_runs(partition.submit(make_step(lasts=True, max_unavailable=1)))
    partition.answer_start(run, Failure.UNKNOWN)
    assert stopped_runs(partition.list_runs("w0")) == [run]


def test_refused_start_is_repeated_elsewhere_at_once() -> None:
    partition = Partition()
    (run,) = started_runs(partition.submit(make_step()))
    (again,) = started_runs(partition.answer_start(run, Failure.REFUSED))
    assert again.attempt == run.attempt + 1


def test_listed_run_of_an_earlier_attempt_is_stopped_and_counted() -> None:
    """Guards against a start that is executed late and runs beside a later attempt."""
    partition = Partition(workers=1, cpu=8000)
    partition.submit(make_step(cpu=4000))
    (run,) = partition.start_planned_runs()
    late = RunningTask(task=run.task.name, attempt=0, saved="", percent=1.0, figure=0.0)
    current = RunningTask(task=run.task.name, attempt=1, saved="", percent=1.0, figure=0.0)
    effects = partition.list_runs("w0", late, current)
    assert [stop.attempt for stop in stopped_runs(effects)] == [0]
    assert partition.state.workers["w0"].used_cpu == 8000


def test_job_is_complete_only_with_its_last_task() -> None:
    partition = Partition()
    partition.submit(make_step(count=2))
    first, second = partition.start_planned_runs()
    partition.end_run(first)
    assert partition.job().state is JobState.ACTIVE
    partition.end_run(second)
    assert partition.job().state is JobState.COMPLETE


def test_repeated_submission_changes_nothing() -> None:
    partition = Partition()
    partition.submit(make_step())
    assert not started_runs(partition.submit(make_step()))
    (run,) = partition.start_planned_runs()
    partition.end_run(run)
    assert not started_runs(partition.submit(make_step()))
    assert partition.job().state is JobState.COMPLETE


def test_cancel_of_a_planned_start_frees_its_capacity_and_sends_nothing() -> None:
    partition = Partition(workers=1)
    (run,) = started_runs(partition.submit(make_step()))
    assert run.state is RunState.PLANNED
    assert not stopped_runs(partition.cancel())
    assert partition.state.workers["w0"].used_cpu == 0
    assert run not in run.task.runs


def test_gang_starts_completely_or_not_at_all() -> None:
    partition = Partition(workers=2, cpu=4000)
    assert not started_runs(partition.submit(make_step(count=5, cpu=2000, is_gang=True)))
    assert all(worker.used_cpu == 0 for worker in partition.state.workers.values())
    runs = started_runs(partition.submit(make_step(count=4, is_gang=True), job_id=OTHER_JOB))
    assert len(runs) == 4
    assert {run.attempt for run in runs} == {1}


def test_end_of_one_gang_member_ends_the_gang() -> None:
    partition = Partition()
    partition.submit(make_step(count=2, is_gang=True))
    first, _ = partition.start_planned_runs()
    partition.end_run(first)
    assert partition.job().state is JobState.COMPLETE


def test_jobs_with_different_ids_start_separately() -> None:
    partition = Partition()
    partition.submit(make_step(), job_id=JOB)
    partition.submit(make_step(), job_id=OTHER_JOB)
    assert {run.task.step.job.id for run in started_runs(partition.effects)} == {JOB, OTHER_JOB}
