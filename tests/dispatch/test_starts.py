"""Starts: none twice, none over a worker's room, none before its time."""

from __future__ import annotations

from heatherkeel.dispatch.events import SaveJob, StartTask
from heatherkeel.dispatch.models import JobState, RunState
from heatherkeel.platform.errors import Failure
from heatherkeel.platform.workers import RunningTask

from .partition import JOB, OTHER_JOB, Partition, make_step, started_runs, stopped_runs


def test_attempt_is_stored_before_its_order_leaves() -> None:
    effects = Partition().submit(make_step())
    kinds = [type(effect) for effect in effects]
    assert kinds.index(SaveJob) < kinds.index(StartTask)


def test_room_of_a_worker_is_never_exceeded() -> None:
    partition = Partition(workers=2, cpu=8000)
    runs = started_runs(partition.submit(make_step(count=20, cpu=3000)))
    assert len(runs) == 4
    assert all(worker.used_cpu <= 8000 for worker in partition.state.workers.values())


def test_room_of_a_run_that_is_being_stopped_still_counts() -> None:
    """A cancel stops a task that takes the whole worker, and a second job waits.

    The worker still kills the task when the second job's start would reach it, and workers
    don't guard their room: the start would put it over. So the room is free only with the
    listed end.
    """
    partition = Partition(workers=1, cpu=4000)
    partition.submit(make_step(cpu=4000))
    (run,) = partition.start_planned_runs()
    partition.submit(make_step(cpu=4000), job_id=OTHER_JOB)
    assert stopped_runs(partition.cancel()) == [run]
    assert not started_runs(partition.effects)
    partition.end_run(run, "stopped")
    assert [run.task.step.job.id for run in started_runs(partition.effects)] == [OTHER_JOB]


def test_step_starts_only_after_all_that_it_depends_on() -> None:
    partition = Partition()
    partition.submit(make_step(count=2), make_step(depends_on=(0,)))
    first, second = partition.start_planned_runs()
    partition.end_run(first)
    assert not started_runs(partition.effects)
    partition.end_run(second)
    assert [run.task.step.number for run in started_runs(partition.effects)] == [1]


def test_spread_over_workers_is_kept() -> None:
    partition = Partition(workers=3)
    runs = started_runs(partition.submit(make_step(count=5, cpu=100, max_per_worker=1)))
    assert sorted(run.worker_id for run in runs) == ["w0", "w1", "w2"]


def test_start_without_an_answer_is_stopped_before_it_runs_elsewhere() -> None:
    """The order to start a task is carried out seconds late, and its answer never comes.

    Started elsewhere at once, the task would run twice. A stop makes the worker refuse the late
    start, so the task waits until a listing made after the stop's answer doesn't show it.
    """
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


def test_lasting_task_whose_start_went_unanswered_is_kept_if_it_runs() -> None:
    """A worker starts a lasting task, and its answer is lost.

    The task is at work when the answer's time is up. Stopped, it would be away while another
    of its step may be too. The next listing shows it, so it is kept.
    """
    partition = Partition(workers=1)
    (run,) = started_runs(partition.submit(make_step(lasts=True, max_unavailable=1)))
    assert not stopped_runs(partition.answer_start(run, Failure.UNKNOWN))
    row = RunningTask(task=run.task.name, attempt=1, saved="", percent=100.0, figure=0.0)
    assert not stopped_runs(partition.list_runs("w0", row))
    assert run.state is RunState.RUNNING


def test_lasting_task_whose_start_went_unanswered_is_stopped_if_it_does_not_run() -> None:
    partition = Partition(workers=1)
    (run,) = started_runs(partition.submit(make_step(lasts=True, max_unavailable=1)))
    partition.answer_start(run, Failure.UNKNOWN)
    assert stopped_runs(partition.list_runs("w0")) == [run]


def test_refused_start_runs_elsewhere_at_once() -> None:
    partition = Partition()
    (run,) = started_runs(partition.submit(make_step()))
    (again,) = started_runs(partition.answer_start(run, Failure.REFUSED))
    assert again.attempt == run.attempt + 1


def test_late_start_that_a_worker_lists_is_stopped_and_counted() -> None:
    """A start of an earlier attempt is carried out late, while a later one runs elsewhere.

    The worker lists it; it takes room there, and would run beside the other one. It is
    stopped, and its room counts until its end is listed.
    """
    partition = Partition(workers=1, cpu=8000)
    partition.submit(make_step(cpu=4000))
    (run,) = partition.start_planned_runs()
    late = RunningTask(task=run.task.name, attempt=0, saved="", percent=1.0, figure=0.0)
    now = RunningTask(task=run.task.name, attempt=1, saved="", percent=1.0, figure=0.0)
    effects = partition.list_runs("w0", late, now)
    assert [stop.attempt for stop in stopped_runs(effects)] == [0]
    assert partition.state.workers["w0"].used_cpu == 8000


def test_done_job_is_complete_only_with_its_last_task() -> None:
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


def test_cancel_of_a_planned_start_frees_its_room_and_sends_nothing() -> None:
    partition = Partition(workers=1)
    (run,) = started_runs(partition.submit(make_step()))
    assert run.state is RunState.PLANNED
    assert not stopped_runs(partition.cancel())
    assert partition.state.workers["w0"].used_cpu == 0
    assert run not in run.task.runs


def test_gang_starts_whole_or_not_at_all() -> None:
    partition = Partition(workers=2, cpu=4000)
    assert not started_runs(partition.submit(make_step(count=5, cpu=2000, is_gang=True)))
    assert all(worker.used_cpu == 0 for worker in partition.state.workers.values())
    runs = started_runs(partition.submit(make_step(count=4, is_gang=True), job_id=OTHER_JOB))
    assert len(runs) == 4
    assert {run.attempt for run in runs} == {1}


def test_end_of_one_gang_member_stands_for_all() -> None:
    partition = Partition()
    partition.submit(make_step(count=2, is_gang=True))
    first, _ = partition.start_planned_runs()
    partition.end_run(first)
    assert partition.job().state is JobState.COMPLETE


def test_job_id_of_a_known_job_is_kept_apart_from_others() -> None:
    partition = Partition()
    partition.submit(make_step(), job_id=JOB)
    partition.submit(make_step(), job_id=OTHER_JOB)
    assert {run.task.step.job.id for run in started_runs(partition.effects)} == {JOB, OTHER_JOB}
