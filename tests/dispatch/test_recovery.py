"""Recovery of a partition by a new owner from the stored records."""

from __future__ import annotations

from heatherkeel.dispatch.const import LEASE_MS, MIN_UNRESPONSIVE_MS
from heatherkeel.dispatch.events import (
    Effects,
    ForgetJob,
    IncarnationsListed,
    SaveJob,
    StopTask,
)
from heatherkeel.dispatch.jobs import stop_leftover_runs
from heatherkeel.dispatch.models import JobState, RunState
from heatherkeel.dispatch.records import (
    PROGRESS_PREFIX,
    REQUEST_PREFIX,
    StoredRequest,
    encode_progress,
    encode_request,
)
from heatherkeel.dispatch.recovery import read_records, restore_jobs
from heatherkeel.ownership.const import TTL_MS
from heatherkeel.platform.callers import JobRequest
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.workers import RunningTask

from .partition import JOB, Partition, make_step, started_runs, stopped_runs


def take_over(
    earlier: Partition,
    *,
    workers: int = 2,
    with_listings: bool = False,
    progress: bytes | None = None,
) -> Partition:
    """Return the partition as its next owner restores it, optionally with its workers listed.

    `progress` is the job's stored record, if it isn't the one of this release.
    """
    job = earlier.job()
    request = StoredRequest(
        queue=job.queue, service=job.service, accepted_wall_ms=1000, request=job.request
    )
    records = [
        KeyedRecord(key=f"{REQUEST_PREFIX}{JOB}", value=encode_request(request), offset=1),
        KeyedRecord(
            key=f"{PROGRESS_PREFIX}{JOB}", value=progress or encode_progress(job), offset=2
        ),
    ]
    later = Partition(workers=0)
    later.now_ms = later.state.now_ms = later.state.wall_ms = earlier.now_ms
    later.entries = dict(list(earlier.entries.items())[:workers])
    later.list_workers()
    restore_jobs(later.state, read_records(records))
    effects = Effects()
    stop_leftover_runs(later.state, effects)
    later.effects += effects.items
    if with_listings:
        for worker_id in later.entries:
            later.list_known_runs(worker_id)
    return later


def test_unresponsive_worker_of_an_earlier_owner_keeps_its_tasks_for_its_lease() -> None:
    """Guards against a second run while the lease granted by the earlier owner is valid."""
    earlier = Partition()
    earlier.submit(make_step())
    (run,) = earlier.start_planned_runs()
    later = take_over(earlier)
    later.fail_listing(run.worker_id)
    other = next(worker_id for worker_id in later.entries if worker_id != run.worker_id)
    later.list_known_runs(other)
    later.tick(LEASE_MS)
    assert not started_runs(later.effects)
    later.tick(TTL_MS + LEASE_MS)
    (again,) = started_runs(later.effects)
    assert again.attempt == run.attempt + 1


def test_worker_unresponsive_after_its_first_listing_keeps_its_tasks_for_a_lease() -> None:
    """Guards against a second run while the lease granted by the earlier owner is valid."""
    earlier = Partition()
    earlier.submit(make_step())
    (run,) = earlier.start_planned_runs()
    later = take_over(earlier, with_listings=True)
    later.fail_listing(run.worker_id)
    later.effects.clear()
    later.tick(LEASE_MS)
    assert not started_runs(later.effects)
    later.tick(LEASE_MS // 10 + 600)
    assert [again.task.name for again in started_runs(later.effects)] == [run.task.name]


def test_crash_of_a_worker_that_restarts_under_the_next_owner_is_counted() -> None:
    """Guards against endless restarts, under successive owners, of a task that crashes workers."""
    earlier = Partition()
    earlier.submit(make_step())
    (run,) = earlier.start_planned_runs()
    earlier.restart_worker(run.worker_id)
    later = take_over(earlier)
    later.born_ms = earlier.born_ms
    later.list_runs(run.worker_id)
    assert later.job().possible_crashes == 1


def test_new_worker_that_the_list_of_machines_lacks_keeps_its_tasks_under_the_next_owner() -> None:
    """Guards against a second run beside a worker that joined right before the takeover."""
    earlier = Partition()
    earlier.tick(LEASE_MS)
    earlier.submit(make_step())
    (run,) = earlier.start_planned_runs()
    del earlier.entries[run.worker_id]
    later = take_over(earlier, with_listings=True)
    (other,) = later.entries
    listed = IncarnationsListed(**later.event_times(), worker_ids=frozenset({other}))
    assert not started_runs(later.apply(listed))
    later.now_ms += MIN_UNRESPONSIVE_MS
    listed = IncarnationsListed(**later.event_times(), worker_ids=frozenset({other}))
    (again,) = started_runs(later.apply(listed))
    assert again.task.name == run.task.name


def test_task_that_a_worker_lists_keeps_running_under_the_next_owner() -> None:
    earlier = Partition()
    earlier.submit(make_step())
    (run,) = earlier.start_planned_runs()
    later = take_over(earlier, with_listings=True)
    assert not started_runs(later.effects)
    assert later.state.workers[run.worker_id].used_cpu == 2000


def test_unsent_start_is_repeated_once_the_worker_has_listed_its_runs() -> None:
    earlier = Partition()
    earlier.submit(make_step())
    (run,) = started_runs(earlier.effects)
    later = take_over(earlier)
    later.list_runs(run.worker_id)
    (again,) = started_runs(later.effects)
    assert again.attempt == run.attempt + 1


def test_cancel_is_continued_by_the_next_owner() -> None:
    """Guards against tasks that keep running when the owner dies before its stops are sent."""
    earlier = Partition()
    earlier.submit(make_step())
    (run,) = earlier.start_planned_runs()
    effects = earlier.cancel()
    assert not any(isinstance(effect, ForgetJob) for effect in effects)
    later = take_over(earlier)
    assert later.job().state is JobState.CANCELED
    assert [stop.key() for stop in stopped_runs(later.effects)] == [run.key()]
    assert later.state.workers[run.worker_id].used_cpu == 2000
    (left,) = later.state.workers[run.worker_id].runs.values()
    left.answered_ms = later.now_ms
    later.effects.clear()
    later.list_runs(run.worker_id)
    kinds = [type(effect) for effect in later.effects]
    assert kinds.index(SaveJob) < kinds.index(ForgetJob)


def test_run_of_an_unknown_job_is_stopped() -> None:
    partition = Partition()
    row = RunningTask(task="00000000000000ff.0.0.3", attempt=4, saved="", percent=1, figure=0)
    (run,) = stopped_runs(partition.list_runs("w0", row))
    assert run.key() == ("00000000000000ff.0.0.3", 4)
    assert run.state is RunState.STOPPING
    assert not stopped_runs(partition.list_runs("w0", row))


def test_ended_job_keeps_its_state_without_its_request() -> None:
    earlier = Partition()
    earlier.submit(make_step())
    (run,) = earlier.start_planned_runs()
    earlier.end_run(run)
    job = earlier.job()
    record = KeyedRecord(key=f"{PROGRESS_PREFIX}{JOB}", value=encode_progress(job), offset=2)
    later = Partition()
    restore_jobs(later.state, read_records([record]))
    assert later.job().state is JobState.COMPLETE
    assert later.job().request == JobRequest()


def test_stop_of_a_long_running_task_is_known_to_the_next_owner() -> None:
    """Guards against exceeding `max_unavailable` when the owner dies after it sent a stop."""
    earlier = Partition(workers=4)
    earlier.submit(make_step(count=2, cpu=100, lasts=True, max_unavailable=1))
    first, second = earlier.start_planned_runs()
    for worker_id in earlier.entries:
        earlier.list_known_runs(worker_id, percent=100.0)
    effects = earlier.mark_leaving(first.worker_id, second.worker_id)
    kinds = [type(effect) for effect in effects]
    assert kinds == [SaveJob, StopTask]
    assert isinstance(effects[1], StopTask)
    assert effects[1].once_stored
    (stop,) = stopped_runs(effects)
    later = take_over(earlier, workers=4)
    assert [run.key() for run in stopped_runs(later.effects)] == [stop.key()]
    for worker_id in later.entries:
        rows = [
            RunningTask(task=run.task.name, attempt=1, saved="", percent=100.0, figure=0)
            for run in (first, second)
            if run.worker_id == worker_id
        ]
        later.list_runs(worker_id, *rows)
    later.effects.clear()
    later.mark_leaving(first.worker_id, second.worker_id)
    assert not stopped_runs(later.effects)


def test_tasks_not_listed_yet_count_as_running() -> None:
    """Guards against a new owner that stops all tasks of a step before it has listed them."""
    earlier = Partition(workers=4)
    earlier.submit(make_step(count=4, cpu=100, lasts=True, max_unavailable=1))
    runs = earlier.start_planned_runs()
    later = take_over(earlier, workers=4)
    assert not stopped_runs(later.mark_leaving(*{run.worker_id for run in runs}))


def test_failure_listed_again_to_the_next_owner_counts_once() -> None:
    """Guards against failing a job by an end that was stored but not acknowledged."""
    earlier = Partition(workers=2, max_failures=2)
    earlier.submit(make_step())
    (run,) = earlier.start_planned_runs()
    earlier.end_run(run, "failed")
    later = take_over(earlier)
    later.state.queues = earlier.state.queues
    later.ends = earlier.ends
    later.list_runs(run.worker_id)
    assert later.job().state is JobState.ACTIVE


def test_job_id_that_is_used_again_with_fewer_tasks_stops_no_owner() -> None:
    """Guards against a request that ends each process that takes its partition over."""
    earlier = Partition()
    earlier.submit(make_step(count=2), make_step(depends_on=(0,)))
    for run in earlier.start_planned_runs():
        earlier.end_run(run)
    earlier.start_planned_runs()
    for task in earlier.job().occurrences[0][0].tasks:
        task.unclear_losses = 1
    earlier.job().request = JobRequest(spec="s", steps=(make_step(),))
    later = take_over(earlier)
    assert [task.is_done for task in later.job().occurrences[0][0].tasks] == [True]
