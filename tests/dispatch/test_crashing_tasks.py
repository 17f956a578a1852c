"""Guards against endless restarts of a task that crashes every worker that starts it."""

from __future__ import annotations

from heatherkeel.dispatch.const import LEASE_MS, MIN_UNRESPONSIVE_MS, PROVEN_MS
from heatherkeel.dispatch.events import IncarnationsListed
from heatherkeel.dispatch.models import JobState, Run, RunState
from heatherkeel.platform.callers import StepRequest
from heatherkeel.platform.errors import Failure

from .partition import JOB, OTHER_JOB, Partition, make_entry, make_step, started_runs
from .test_recovery import take_over

MAX_STARTS_AFTER_THREE_CRASHES = 2
"""Allowed starts of a task after three workers have crashed under it."""
MIN_CRASHES = 2
"""One crash alone doesn't show that the task was the cause."""


class CrashingFleet:
    """A partition whose workers crash on starting a given task and return under new ids."""

    def __init__(self, partition: Partition, *, crashing: str) -> None:
        self.partition = partition
        self.crashing = crashing
        self.crashes = 0
        self.incarnations = 100

    def run_round(self) -> list[Run]:
        """Execute and return the planned starts, and crash the workers that got the given task."""
        runs = self.partition.start_planned_runs()
        crashed = {run.worker_id for run in runs if run.task.name == self.crashing}
        for worker_id in list(self.partition.state.workers):
            if worker_id not in crashed:
                self.partition.list_known_runs(worker_id, percent=100.0)
        for worker_id in crashed:
            self.crashes += 1
            self.crash(worker_id)
        self.partition.tick(100)
        return runs

    def crash(self, worker_id: str) -> None:
        """Crash a worker and list the new worker of its machine."""
        partition = self.partition
        partition.fail_listing(worker_id)
        for _ in range(MIN_UNRESPONSIVE_MS // 100):
            for other in list(partition.state.workers):
                if other != worker_id and not partition.state.workers[other].is_unresponsive:
                    partition.list_known_runs(other, percent=100.0)
            partition.tick(100)
        self.incarnations += 1
        del partition.entries[worker_id]
        partition.entries[f"w{self.incarnations}"] = make_entry()
        partition.list_workers()
        partition.list_known_runs(f"w{self.incarnations}")
        alive = frozenset(partition.entries)
        partition.apply(IncarnationsListed(**partition.event_times(), worker_ids=alive))


def run_crashing_job(partition: Partition, *steps: StepRequest, rounds: int = 12) -> CrashingFleet:
    """Submit a job whose first task crashes workers, and run some rounds."""
    partition.submit(*steps)
    fleet = CrashingFleet(partition, crashing=f"{JOB}.0.0.0")
    for _ in range(rounds):
        fleet.run_round()
    return fleet


def test_task_that_crashes_each_worker_is_given_up() -> None:
    partition = Partition(workers=4)
    fleet = run_crashing_job(partition, make_step(count=3))
    assert MIN_CRASHES <= fleet.crashes <= 3 + MAX_STARTS_AFTER_THREE_CRASHES
    assert partition.job().state is JobState.FAILED


def test_long_running_task_that_crashes_each_worker_is_given_up() -> None:
    partition = Partition(workers=4)
    fleet = run_crashing_job(partition, make_step(count=2, cpu=500, lasts=True))
    assert MIN_CRASHES <= fleet.crashes <= 3 + MAX_STARTS_AFTER_THREE_CRASHES
    assert partition.job().state is JobState.FAILED


def test_crashes_are_counted_across_owners() -> None:
    """Guards against a count that starts again with each owner; an owner dies after each crash."""
    partition = Partition(workers=4)
    partition.submit(make_step())
    fleet = CrashingFleet(partition, crashing=f"{JOB}.0.0.0")
    for _ in range(8):
        fleet.run_round()
        if fleet.partition.job().state is JobState.FAILED:
            break
        fleet.partition = take_over(fleet.partition, workers=4)
        for worker_id in fleet.partition.entries:
            fleet.partition.list_runs(worker_id)
    assert fleet.partition.job().state is JobState.FAILED
    assert fleet.crashes <= 3 + MAX_STARTS_AFTER_THREE_CRASHES


def test_tasks_lost_beside_a_crashing_task_are_not_given_up() -> None:
    """Guards against failing jobs that are lost repeatedly beside a task that crashes workers."""
    partition = Partition(workers=3)
    partition.submit(make_step(count=3, cpu=100, lasts=True), job_id=OTHER_JOB)
    short = f"{3:016x}"
    partition.submit(make_step(count=3, cpu=100), job_id=short)
    run_crashing_job(partition, make_step(count=3))
    assert partition.job().state is JobState.FAILED
    assert partition.job(OTHER_JOB).state is JobState.ACTIVE
    assert partition.job(short).state is JobState.ACTIVE
    assert all(task.runs for step in partition.job(OTHER_JOB).steps() for task in step.tasks)


def test_task_that_has_run_for_a_while_before_each_crash_is_kept() -> None:
    """Guards against failing a long-running task that has lost many workers by other causes."""
    partition = Partition(workers=3)
    partition.submit(make_step(cpu=100, lasts=True))
    fleet = CrashingFleet(partition, crashing="")
    for _ in range(8):
        fleet.run_round()
        for _ in range(30):
            for worker_id in list(partition.state.workers):
                partition.list_known_runs(worker_id, percent=100.0)
            partition.tick(100)
        (run,) = partition.job().runs()
        fleet.crash(run.worker_id)
    assert partition.job().state is JobState.ACTIVE


def test_long_running_tasks_lost_together_are_placed_together_again() -> None:
    """Guards against spreading long-running tasks, which keeps their machines from other pools."""
    partition = Partition(workers=3)
    partition.submit(make_step(cpu=100, lasts=True))
    partition.submit(make_step(cpu=100, lasts=True), job_id=OTHER_JOB)
    first, second = partition.start_planned_runs()
    assert first.worker_id == second.worker_id
    CrashingFleet(partition, crashing="").crash(first.worker_id)
    first, second = partition.start_planned_runs()
    assert first.worker_id == second.worker_id


def test_crash_after_a_long_run_is_not_counted_against_the_task() -> None:
    """Guards against blaming a task that had already run for a long time."""
    partition = Partition(workers=3)
    partition.submit(make_step(cpu=100, lasts=True))
    (run,) = partition.start_planned_runs()
    for _ in range(PROVEN_MS // 100 + 1):
        partition.list_known_runs(run.worker_id, percent=100.0)
        partition.tick(100)
    CrashingFleet(partition, crashing="").crash(run.worker_id)
    assert run.task.crashes == 0


def test_starts_that_never_reached_their_workers_do_not_fail_the_job() -> None:
    """Guards against blaming a task whose starts found workers that were already dead."""
    partition = Partition(workers=5)
    partition.submit(make_step())
    fleet = CrashingFleet(partition, crashing="")
    for _ in range(3):
        (run,) = started_runs(partition.effects)
        partition.effects.clear()
        run.state = RunState.SENT
        partition.answer_start(run, Failure.UNKNOWN)
        fleet.crash(run.worker_id)
    assert partition.job().state is JobState.ACTIVE


def test_start_refused_by_another_incarnation_is_not_counted_as_a_crash() -> None:
    """Guards against blaming a task that wasn't started, since its worker had been replaced."""
    partition = Partition(workers=2)
    (run,) = started_runs(partition.submit(make_step()))
    run.state = RunState.SENT
    partition.answer_start(run, Failure.OTHER_INSTANCE)
    assert run.task.crashes == 0


def test_copies_of_a_crashing_task_are_bounded() -> None:
    """Guards against copies that crash more workers before the first crash is known."""
    partition = Partition(workers=10)
    for worker in partition.state.workers.values():
        worker.lease_until_ms = partition.now_ms + 500_000 + LEASE_MS
    partition.submit(make_step(may_copy=True))
    starts = 0
    for _ in range(10):
        for run in partition.start_planned_runs():
            starts += 1
            partition.fail_listing(run.worker_id)
        partition.tick(100)
    assert starts <= 3 + MAX_STARTS_AFTER_THREE_CRASHES
