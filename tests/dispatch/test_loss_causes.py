"""What of a lost worker speaks against a task, and what doesn't."""

from __future__ import annotations

from collections import Counter

from heatherkeel.dispatch.const import LEASE_MS, MAX_CRASHES, MAX_PAUSE_MS
from heatherkeel.dispatch.events import StopAnswered, WorkerFailed
from heatherkeel.dispatch.models import JobState
from heatherkeel.dispatch.records import encode_progress
from heatherkeel.platform.errors import CallError, Failure

from .partition import OTHER_JOB, Partition, make_entry, make_step
from .test_recovery import take_over
from .test_silent_workers import MAX_STARTS, SilentFleet

LONGEST_MS = 2 * MAX_PAUSE_MS


def time_out_listing(partition: Partition, worker_id: str) -> None:
    """Let a listing time out."""
    times = partition.event_times()
    error = CallError(failure=Failure.UNKNOWN, is_timeout=True)
    partition.apply(WorkerFailed(**times, worker_id=worker_id, error=error))


def replace_worker(partition: Partition, worker_id: str, successor: str) -> None:
    """Replace a worker's entry by that of its machine's next life."""
    del partition.entries[worker_id]
    partition.entries[successor] = make_entry()
    partition.list_workers()
    partition.list_known_runs(successor)


def test_task_whose_stop_reaches_the_next_life_is_given_up() -> None:
    """Guards against forgetting a crash that the answer to a stop shows first."""
    fleet = SilentFleet(workers=8)
    partition = fleet.partition
    starts = 0
    while partition.job().state is not JobState.FAILED:
        run = fleet.wait_planned(longest_ms=LONGEST_MS)
        starts += 1
        fleet.lose_start(run, is_timeout=False)
        fleet.pass_time(500, silent={run.worker_id}, is_list_read=False)
        error = CallError(failure=Failure.OTHER_INSTANCE)
        partition.apply(StopAnswered(**partition.event_times(), run=run, error=error))
        partition.fail_listing(run.worker_id, Failure.OTHER_INSTANCE)
        replace_worker(partition, run.worker_id, f"new{starts}")
        assert starts <= MAX_STARTS


def test_task_known_to_crash_after_three_unclear_losses_ends_within_its_budget() -> None:
    """Guards against two more starts after the budget has been used up by unclear losses."""
    fleet = SilentFleet(workers=8)
    for _ in range(3):
        run = fleet.wait_start()
        fleet.cut_off(run, is_list_read=False)
        fleet.gone.add(run.worker_id)
    starts = 3
    while fleet.partition.job().state is not JobState.FAILED:
        run = fleet.wait_start(longest_ms=LONGEST_MS)
        starts += 1
        assert starts <= MAX_STARTS
        fleet.partition.tick(10)
        fleet.crashing.crash(run.worker_id)


def test_job_whose_workers_were_named_for_seconds_before_they_were_replaced_is_kept() -> None:
    """Guards against blaming a task for machines that are restarted since they can't be reached."""
    fleet = SilentFleet()
    partition = fleet.partition
    for number in range(MAX_CRASHES - 1):
        run = fleet.wait_start()
        fleet.pass_time(100, silent={run.worker_id})
        partition.fail_listing(run.worker_id)
        fleet.pass_time(4000, silent={run.worker_id})
        named_ms = partition.state.workers[run.worker_id].named_ms
        assert named_ms is not None and run.begun_ms is not None
        assert named_ms - run.begun_ms > 3000
        replace_worker(partition, run.worker_id, f"new{number}")
        fleet.list_machines()
        assert partition.job().state is JobState.ACTIVE


def test_silence_does_not_decide_after_two_late_crashes() -> None:
    """Guards against a verdict whose last loss is only silence."""
    fleet = SilentFleet()
    partition = fleet.partition
    for _ in range(2):
        run = fleet.wait_start()
        fleet.pass_time(700, silent=set())
        fleet.crashing.crash(run.worker_id)
    assert partition.job().state is JobState.ACTIVE
    run = fleet.wait_start()
    partition.tick(1000)
    time_out_listing(partition, run.worker_id)
    fleet.pass_time(2 * LEASE_MS, silent={run.worker_id}, is_list_read=False)
    assert partition.job().state is JobState.ACTIVE


def test_job_whose_machines_were_moved_under_their_ids_is_kept() -> None:
    """Guards against taking a move to another service for a crash where workers keep their ids."""
    fleet = SilentFleet(workers=8)
    partition = fleet.partition
    for _ in range(3):
        run = fleet.wait_start()
        partition.list_known_runs(run.worker_id)
        partition.born_ms[run.worker_id] = partition.now_ms
        partition.entries[run.worker_id] = make_entry(service="other", born=partition.now_ms)
        partition.list_workers()
        partition.list_runs(run.worker_id)
        assert partition.job().state is JobState.ACTIVE


def test_job_whose_workers_left_as_planned_is_kept_though_the_plan_is_not_repeated() -> None:
    """Guards against forgetting within two seconds that a machine was about to be moved."""
    fleet = SilentFleet(workers=8)
    partition = fleet.partition
    for _ in range(3):
        run = fleet.wait_start()
        partition.mark_leaving(run.worker_id)
        fleet.pass_time(2200, silent={run.worker_id})
        partition.list_workers()
        partition.fail_listing(run.worker_id, Failure.OTHER_INSTANCE)
        assert partition.job().state is JobState.ACTIVE


def test_counts_of_an_earlier_release_are_unclear() -> None:
    """Guards against a verdict on counts for which silence was enough."""
    earlier = Partition(workers=2)
    earlier.submit(make_step())
    job = earlier.job()
    job.state = JobState.ACTIVE
    (task,) = job.steps()[0].tasks
    task.runs.clear()
    task.crashes = 3
    later = take_over(earlier)
    (same,) = later.job().steps()[0].tasks
    assert (same.crashes, same.unclear_losses) == (3, 0)
    record = encode_progress(job).replace(b',"losses":[[0,0,0,3,0,0]]', b"")
    later = take_over(earlier, progress=record)
    (same,) = later.job().steps()[0].tasks
    assert (same.crashes, same.unclear_losses) == (0, 3)


def test_crash_is_known_though_a_move_was_intended_shortly_before() -> None:
    """Guards against starts without end in pools whose machines are about to move all the time."""
    fleet = SilentFleet(workers=8)
    partition = fleet.partition
    starts = 0
    while partition.job().state is not JobState.FAILED:
        run = fleet.wait_start()
        starts += 1
        partition.mark_leaving(run.worker_id)
        partition.mark_leaving()
        partition.tick(10)
        partition.fail_listing(run.worker_id)
        fleet.pass_time(1300, silent={run.worker_id}, is_list_read=False)
        machine = partition.entries[run.worker_id].machine
        replace_worker(partition, run.worker_id, f"new{starts}")
        fleet.list_machines(pools={machine: "portal"})
        assert starts <= MAX_STARTS


def test_tasks_that_crash_workers_late_do_not_excuse_each_other() -> None:
    """Guards against starts without end where several tasks crash their workers some time on."""
    fleet = SilentFleet(workers=8)
    partition = fleet.partition
    partition.submit(make_step(cpu=7000), job_id=OTHER_JOB)
    starts: Counter[str] = Counter()
    while partition.state.jobs:
        runs = partition.start_planned_runs()
        starts.update(run.task.name for run in runs)
        assert max(starts.values()) <= MAX_STARTS
        fleet.pass_time(400, silent=set())
        lost = {run.worker_id for run in runs}
        for worker_id in lost:
            partition.fail_listing(worker_id)
        fleet.pass_time(1300, silent=lost, is_list_read=False)
        for worker_id in lost:
            replace_worker(partition, worker_id, f"{worker_id}x")
        fleet.list_machines()
