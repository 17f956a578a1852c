"""Workers that are unresponsive, lost, replaced, leaving, stalled, or that fail all tasks."""

from __future__ import annotations

from heatherkeel.dispatch.const import (
    LEASE_MS,
    LEAVING_MS,
    MIN_UNRESPONSIVE_MS,
    QUARANTINE_MS,
    STALLED_MS,
)
from heatherkeel.dispatch.events import IncarnationsListed, Tick
from heatherkeel.dispatch.models import JobState, Run
from heatherkeel.platform.errors import Failure
from heatherkeel.platform.workers import RunningTask

from .partition import JOB, OTHER_JOB, Partition, make_entry, make_step, started_runs, stopped_runs

LONG_TASK_MS = 300_000


def start_long_jobs_on(partition: Partition, worker_id: str) -> None:
    """Start two jobs of one long task each on a given worker."""
    for job_id in (JOB, OTHER_JOB):
        start_job_on(partition, worker_id, job_id, estimated_ms=LONG_TASK_MS)


def start_job_on(
    partition: Partition, worker_id: str, job_id: str = JOB, *, estimated_ms: int = 500
) -> Run:
    """Start a job of one task on a given worker and return its run."""
    partition.effects.clear()
    for worker in partition.state.workers.values():
        worker.is_leaving = worker.id != worker_id
    partition.submit(make_step(estimated_ms=estimated_ms), job_id=job_id)
    (run,) = partition.start_planned_runs()
    assert run.worker_id == worker_id
    for worker in partition.state.workers.values():
        worker.is_leaving = False
    partition.state.workers[worker_id].lease_until_ms = partition.now_ms + 500_000 + LEASE_MS
    return run


def test_unresponsive_worker_keeps_its_tasks_until_its_lease_has_expired() -> None:
    """Guards against a second run beside a worker that is cut off, also if its clock is 2% slow."""
    partition = Partition()
    run = start_job_on(partition, "w0")
    partition.fail_listing("w0")
    del partition.entries["w0"]
    partition.list_workers()
    partition.effects.clear()
    partition.tick(LEASE_MS)
    assert not started_runs(partition.effects)
    partition.tick(LEASE_MS // 10 + 600)
    (again,) = started_runs(partition.effects)
    assert again.task is run.task
    assert again.worker_id == "w1"
    assert "w0" not in partition.state.workers


def test_other_incarnation_at_its_address_proves_a_worker_gone() -> None:
    partition = Partition()
    run = start_job_on(partition, "w0")
    partition.effects.clear()
    partition.fail_listing("w0", Failure.OTHER_INSTANCE)
    (again,) = started_runs(partition.effects)
    assert again.task is run.task


def test_entry_of_a_gone_incarnation_is_ignored() -> None:
    """Guards against adding and dropping a dead worker repeatedly until its entry expires."""
    partition = Partition()
    partition.fail_listing("w0", Failure.OTHER_INSTANCE)
    partition.list_workers()
    assert "w0" not in partition.state.workers
    del partition.entries["w0"]
    partition.list_workers()
    assert not partition.state.ended_incarnations


def test_run_missing_from_a_later_listing_starts_again() -> None:
    partition = Partition()
    run = start_job_on(partition, "w0")
    partition.effects.clear()
    partition.now_ms += 10
    partition.list_runs("w0")
    (again,) = started_runs(partition.effects)
    assert again.attempt == run.attempt + 1


def test_listing_requested_before_the_start_was_answered_is_no_proof() -> None:
    """Guards against a second run when answers on different connections arrive out of order."""
    partition = Partition()
    run = start_job_on(partition, "w0")
    partition.now_ms -= 10
    partition.list_runs("w0")
    assert run in run.task.runs


def test_stopped_task_resumes_from_its_saved_state() -> None:
    partition = Partition()
    run = start_job_on(partition, "w0")
    partition.effects.clear()
    partition.end_run(run, "stopped", saved="half")
    (again,) = started_runs(partition.effects)
    assert again.saved == "half"


def test_task_that_fails_as_often_as_allowed_fails_its_job() -> None:
    partition = Partition(max_failures=2)
    partition.submit(make_step(count=2))
    first, _ = partition.start_planned_runs()
    partition.end_run(first, "failed")
    assert partition.job().state is JobState.ACTIVE
    again = next(run for run in partition.start_planned_runs() if run.task is first.task)
    effects = partition.end_run(again, "failed")
    assert partition.job().state is JobState.FAILED
    assert len(stopped_runs(effects)) == 1


def test_only_failed_ends_count_as_failures() -> None:
    partition = Partition(max_failures=1)
    partition.submit(make_step())
    for _ in range(4):
        (run,) = partition.start_planned_runs()
        partition.end_run(run, "lapsed")
    assert partition.job().state is JobState.ACTIVE


def test_worker_that_fails_several_jobs_is_quarantined_for_a_while() -> None:
    """Guards against a faulty worker that stays the emptiest and so gets most of the work."""
    partition = Partition(workers=3, max_failures=9)
    for number in range(3):
        partition.end_run(start_job_on(partition, "w0", f"{number:016x}"), "failed")
    assert partition.state.workers["w0"].quarantined_until_ms > partition.now_ms
    assert not partition.state.workers["w0"].runs
    partition.tick(QUARANTINE_MS)
    assert partition.state.workers["w0"].accepts_work(partition.now_ms)


def test_draining_worker_gets_no_new_work() -> None:
    partition = Partition(workers=1)
    partition.entries["w0"] = make_entry(state="draining")
    partition.list_workers()
    assert not started_runs(partition.submit(make_step()))


def test_long_running_tasks_are_moved_one_at_a_time() -> None:
    """Guards against exceeding `max_unavailable` when two machines are drained at once."""
    partition = Partition(workers=4)
    partition.submit(make_step(count=2, cpu=100, lasts=True, max_unavailable=1, max_per_worker=1))
    first, second = partition.start_planned_runs()
    for worker_id in partition.entries:
        partition.list_known_runs(worker_id, percent=100.0)
    (stop,) = stopped_runs(partition.mark_leaving(first.worker_id, second.worker_id))
    partition.end_run(stop, "stopped")
    (moved,) = partition.start_planned_runs()
    partition.list_known_runs(moved.worker_id, percent=20.0)
    partition.effects.clear()
    partition.tick(100)
    assert not stopped_runs(partition.effects)
    partition.list_known_runs(moved.worker_id, percent=100.0)
    partition.tick(100)
    (other,) = stopped_runs(partition.effects)
    assert {stop, other} == {first, second}


def test_long_running_task_on_an_unresponsive_worker_counts_as_unavailable() -> None:
    """Guards against exceeding `max_unavailable` by trusting an unresponsive worker's listing."""
    partition = Partition(workers=3)
    partition.submit(make_step(count=2, cpu=100, lasts=True, max_unavailable=1, max_per_worker=1))
    first, second = partition.start_planned_runs()
    for worker_id in partition.entries:
        partition.list_known_runs(worker_id, percent=100.0)
    partition.fail_listing(first.worker_id)
    assert not stopped_runs(partition.mark_leaving(second.worker_id))


def test_leaving_worker_keeps_its_tasks_while_nothing_can_start() -> None:
    partition = Partition()
    partition.submit(make_step(cpu=100, lasts=True, max_unavailable=1))
    (run,) = partition.start_planned_runs()
    partition.list_known_runs(run.worker_id, percent=100.0)
    partition.apply(Tick(**partition.event_times(), can_start=False))
    assert not stopped_runs(partition.mark_leaving(run.worker_id))


def test_leaving_worker_gets_work_again_when_its_request_expires() -> None:
    """Guards against a worker that gets no work for good after the fleet's owner died."""
    partition = Partition(workers=1)
    partition.mark_leaving("w0")
    assert not started_runs(partition.submit(make_step()))
    partition.tick(LEAVING_MS)
    assert started_runs(partition.effects)


def test_worker_is_empty_only_after_its_ends_were_acknowledged() -> None:
    """Guards against rebooting a machine whose ends aren't stored, which would repeat its tasks."""
    partition = Partition()
    run = start_job_on(partition, "w0")
    partition.end_run(run)
    worker = partition.state.workers["w0"]
    assert not worker.runs
    assert not worker.is_empty()
    worker.last_acknowledged_end = worker.last_processed_end
    assert worker.is_empty()


def test_unresponsive_worker_replaced_on_its_machine_is_dropped_at_once() -> None:
    partition = Partition()
    run = start_job_on(partition, "w0")
    partition.effects.clear()
    partition.fail_listing("w0")
    partition.now_ms += MIN_UNRESPONSIVE_MS
    partition.apply(IncarnationsListed(**partition.event_times(), worker_ids=frozenset({"w1"})))
    (again,) = started_runs(partition.effects)
    assert again.task is run.task


def test_worker_that_no_list_named_works_again_once_it_answers() -> None:
    """Guards against a worker without work for good, and tasks that wait although it has room."""
    partition = Partition(workers=1)
    run = start_job_on(partition, "w0")
    worker = partition.state.workers["w0"]
    partition.fail_listing("w0")
    partition.now_ms += MIN_UNRESPONSIVE_MS
    for _ in range(2):
        partition.apply(IncarnationsListed(**partition.event_times(), worker_ids=frozenset()))
        partition.list_workers()
    assert partition.state.workers["w0"] is worker
    partition.effects.clear()
    row = RunningTask(task=run.task.name, attempt=run.attempt, saved="", percent=50.0, figure=0.0)
    partition.list_runs("w0", row)
    assert [stop.key() for stop in stopped_runs(partition.effects)] == [run.key()]
    partition.submit(make_step(), job_id=OTHER_JOB)
    assert started_runs(partition.effects)


def test_worker_without_an_entry_that_no_list_names_is_dropped() -> None:
    """Guards against calls for good to a worker that is gone."""
    partition = Partition(workers=1)
    start_job_on(partition, "w0")
    partition.fail_listing("w0")
    del partition.entries["w0"]
    partition.list_workers()
    partition.now_ms += MIN_UNRESPONSIVE_MS
    partition.apply(IncarnationsListed(**partition.event_times(), worker_ids=frozenset()))
    assert not partition.state.workers


def test_list_of_machines_that_was_requested_too_early_ends_no_worker() -> None:
    """Guards against a second run beside a worker that started after a slow list was requested."""
    partition = Partition()
    start_job_on(partition, "w0")
    partition.effects.clear()
    partition.fail_listing("w0")
    asked_ms = partition.now_ms + 100
    partition.now_ms += MIN_UNRESPONSIVE_MS
    partition.apply(
        IncarnationsListed(
            **partition.event_times(), worker_ids=frozenset({"w1"}), asked_ms=asked_ms
        )
    )
    assert not started_runs(partition.effects)


def test_unresponsive_worker_that_its_machine_still_lists_keeps_its_tasks() -> None:
    """Guards against a second run beside a worker that is only cut off."""
    partition = Partition()
    start_job_on(partition, "w0")
    partition.effects.clear()
    partition.fail_listing("w0")
    partition.now_ms += MIN_UNRESPONSIVE_MS
    partition.apply(
        IncarnationsListed(**partition.event_times(), worker_ids=frozenset({"w0", "w1"}))
    )
    assert not started_runs(partition.effects)


def test_worker_whose_tasks_are_all_stalled_is_quarantined() -> None:
    """Guards against jobs that wait for good on a worker whose tasks make no progress."""
    partition = Partition(workers=4)
    first = start_job_on(partition, "w0")
    second = start_job_on(partition, "w0", OTHER_JOB)
    partition.list_known_runs("w0", percent=30.0)
    partition.now_ms += STALLED_MS
    effects = partition.list_known_runs("w0", percent=30.0)
    assert set(stopped_runs(effects)) == {first, second}
    assert not partition.state.workers["w0"].accepts_work(partition.now_ms)


def test_worker_whose_long_tasks_progress_slowly_is_kept() -> None:
    """Guards against stopping long tasks, whose whole percents take seconds each."""
    partition = Partition(workers=4)
    start_long_jobs_on(partition, "w0")
    for percent in (30.0, 30.0, 30.0, 31.0, 31.0, 31.0):
        partition.now_ms += 1000
        assert not stopped_runs(partition.list_known_runs("w0", percent=percent))
    assert not partition.state.workers["w0"].quarantined_until_ms


def test_worker_whose_long_tasks_are_all_stalled_is_quarantined() -> None:
    """Guards against long tasks that wait for good on a worker that makes no progress."""
    partition = Partition(workers=4)
    start_long_jobs_on(partition, "w0")
    partition.list_known_runs("w0", percent=30.0)
    partition.now_ms += LONG_TASK_MS // 20
    assert len(stopped_runs(partition.list_known_runs("w0", percent=30.0))) == 2


def test_worker_with_one_progressing_task_is_kept() -> None:
    partition = Partition(workers=4)
    first = start_job_on(partition, "w0")
    second = start_job_on(partition, "w0", OTHER_JOB)
    partition.list_known_runs("w0", percent=30.0)
    partition.now_ms += STALLED_MS
    rows = [
        RunningTask(task=run.task.name, attempt=1, saved="", percent=percent, figure=0.0)
        for run, percent in ((first, 30.0), (second, 31.0))
    ]
    assert not stopped_runs(partition.list_runs("w0", *rows))


def test_worker_that_refuses_the_connection_is_not_retried_at_once() -> None:
    """Guards against repeated starts on a worker that is gone but still has an entry."""
    partition = Partition(workers=2)
    worker = partition.state.workers["w0"]
    partition.state.workers["w1"].is_leaving = True
    (run,) = started_runs(partition.submit(make_step()))
    partition.state.workers["w1"].is_leaving = False
    (again,) = started_runs(partition.answer_start(run, Failure.REFUSED))
    assert again.worker_id == "w1"
    assert not worker.accepts_work(partition.now_ms)
    partition.list_known_runs("w0")
    assert worker.accepts_work(partition.now_ms)


def test_start_answered_by_another_incarnation_proves_the_worker_gone() -> None:
    partition = Partition(workers=2)
    (run,) = started_runs(partition.submit(make_step()))
    (again,) = started_runs(partition.answer_start(run, Failure.OTHER_INSTANCE))
    assert again.worker_id != run.worker_id
    assert run.worker_id not in partition.state.workers
