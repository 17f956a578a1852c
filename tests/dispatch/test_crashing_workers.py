"""Guards against blaming long-running tasks for workers that crash by themselves."""

from __future__ import annotations

import pytest

from heatherkeel.dispatch.const import MAX_LASTING_CRASHES, PROVEN_MS
from heatherkeel.dispatch.models import JobState, Run

from .partition import JOB, OTHER_JOB, Partition, make_step, stopped_runs
from .test_crashing_tasks import CrashingFleet
from .test_recovery import take_over

SERVICE = {"lasts": True, "max_unavailable": 1}


def make_proven_partition(*, workers: int = 4, count: int = 6) -> CrashingFleet:
    """Return a fleet with a long-running job whose tasks have all been at work for a while."""
    partition = Partition(workers=workers)
    partition.submit(make_step(count=count, cpu=1300, **SERVICE))
    partition.start_planned_runs()
    work(partition, PROVEN_MS + 1000)
    return CrashingFleet(partition, crashing="")


def work(partition: Partition, ms: int, *, without: str = "") -> None:
    """Let time pass while all workers but one list their runs."""
    until_ms = partition.now_ms + ms
    while partition.now_ms < until_ms:
        for worker_id, worker in list(partition.state.workers.items()):
            if worker_id != without and not worker.is_unresponsive:
                partition.list_known_runs(worker_id, percent=100.0)
        partition.tick(50)


def run_service_that_crashes_workers() -> CrashingFleet:
    """Run a long-running job of three tasks for long, of which the first crashes its workers."""
    partition = Partition(workers=4)
    partition.submit(make_step(count=3, cpu=6000, **SERVICE))
    fleet = CrashingFleet(partition, crashing=f"{JOB}.0.0.0")
    for _ in range(12):
        fleet.run_round()
        work(partition, 1000)
    return fleet


def crash_the_newest(fleet: CrashingFleet, *, after_ms: int) -> list[Run]:
    """Crash the worker that got the latest starts, some time after them; returns these."""
    runs = fleet.partition.start_planned_runs()
    assert runs, "the lost tasks have started again"
    work(fleet.partition, after_ms, without=runs[0].worker_id)
    fleet.crash(runs[0].worker_id)
    return runs


@pytest.mark.parametrize("after_ms", [400, 700, 1500])
def test_long_running_job_outlives_workers_that_crash_one_at_a_time(after_ms: int) -> None:
    """Guards against a job that is failed, and its tasks at work stopped, by bad luck."""
    fleet = make_proven_partition()
    partition = fleet.partition
    first, *_ = partition.job().runs()
    fleet.crash(first.worker_id)
    for _ in range(8):
        crash_the_newest(fleet, after_ms=after_ms)
    assert partition.job().state is JobState.ACTIVE
    assert not stopped_runs(partition.effects)
    partition.start_planned_runs()
    work(partition, PROVEN_MS + 1000)
    assert all(task.runs for task in partition.job().steps()[0].tasks)


def test_task_that_crashes_workers_is_withheld_while_others_of_its_step_serve() -> None:
    """Guards against stopping the sound tasks of a step with a bound on unavailable ones."""
    fleet = run_service_that_crashes_workers()
    partition = fleet.partition
    assert fleet.crashes == MAX_LASTING_CRASHES
    assert partition.job().state is JobState.ACTIVE
    assert not stopped_runs(partition.effects)
    first, *others = partition.job().steps()[0].tasks
    assert not first.runs and all(task.runs for task in others)


def test_withheld_task_is_not_started_by_the_next_owner() -> None:
    """Guards against starts of a task that crashes workers after each change of owners."""
    partition = run_service_that_crashes_workers().partition
    later = take_over(partition, workers=4, with_listings=True)
    work(later, 2000)
    assert not later.job().steps()[0].tasks[0].runs
    assert later.job().state is JobState.ACTIVE


def test_task_that_crashes_workers_late_is_given_up_where_no_others_crash() -> None:
    """Guards against a task that is started for ever since it takes a while to crash a worker."""
    partition = Partition(workers=4)
    partition.submit(make_step(cpu=100))
    fleet = CrashingFleet(partition, crashing="")
    for _ in range(4):
        crash_the_newest(fleet, after_ms=700)
    assert partition.job().state is JobState.FAILED


def crash_a_pool_that_crashes(*, losses: int) -> JobState:
    """Return a short job's state after so many losses, in a pool whose workers crash as well."""
    partition = Partition(workers=6)
    partition.submit(make_step(count=2, cpu=100, lasts=True), job_id=OTHER_JOB)
    partition.start_planned_runs()
    work(partition, PROVEN_MS + 1000)
    fleet = CrashingFleet(partition, crashing="")
    run, *_ = partition.job(OTHER_JOB).runs()
    fleet.crash(run.worker_id)
    partition.start_planned_runs()
    partition.submit(make_step(cpu=100))
    for _ in range(losses):
        crash_the_newest(fleet, after_ms=700)
    return partition.job().state


def test_job_is_kept_if_workers_without_it_crash_as_well() -> None:
    """Guards against failing a short job that has lost several workers by bad luck."""
    assert crash_a_pool_that_crashes(losses=5) is JobState.ACTIVE


def test_task_that_crashes_workers_late_is_given_up_where_others_crash_in_the_end() -> None:
    """Guards against a task that crashes workers without end, since others crash as well."""
    assert crash_a_pool_that_crashes(losses=8) is JobState.FAILED
