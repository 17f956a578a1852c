"""A task crashes every worker that starts it.

Its caller never hears how the job ends. Workers of the pool go down one after the other, each with
all that it ran: seconds apart, each a few milliseconds after the task was started there. A loss was
charged to the worker alone, and its task waited again as if nothing had been. On a fleet the same
task was lost 66 times in a row, under owners before and after a hand-over, and never once listed.
"""

from __future__ import annotations

from heatherkeel.dispatch.const import LEASE_MS, PROVEN_MS, SILENT_MS
from heatherkeel.dispatch.events import LivesListed
from heatherkeel.dispatch.models import JobState, Run, RunState
from heatherkeel.platform.callers import StepRequest
from heatherkeel.platform.errors import Failure

from .partition import JOB, OTHER_JOB, Partition, make_entry, make_step, started_runs
from .test_recovery import take_over

ALLOWED_AFTER_THREE = 2
"""How often a task may be started again after three workers have crashed under it."""
FEWEST_CRASHES = 2
"""After one crash alone nobody can say that the task was the cause."""


class CrashingFleet:
    """A partition whose workers crash when they start a given task, and come back as others."""

    def __init__(self, partition: Partition, *, crashing: str) -> None:
        self.partition = partition
        self.crashing = crashing
        self.crashes = 0
        self.lives = 100

    def turn(self) -> list[Run]:
        """Let planned starts be carried out, and what they crash be found gone; returns them."""
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
        """Let a worker crash, and the list of machines name the next life of its machine."""
        partition = self.partition
        partition.fail_listing(worker_id)
        for _ in range(SILENT_MS // 100):
            for other in list(partition.state.workers):
                if other != worker_id and not partition.state.workers[other].is_silent:
                    partition.list_known_runs(other, percent=100.0)
            partition.tick(100)
        self.lives += 1
        del partition.entries[worker_id]
        partition.entries[f"w{self.lives}"] = make_entry()
        partition.list_workers()
        partition.list_known_runs(f"w{self.lives}")
        alive = frozenset(partition.entries)
        partition.apply(LivesListed(**partition.event_times(), worker_ids=alive))


def play(partition: Partition, *steps: StepRequest, turns: int = 12) -> CrashingFleet:
    """Submit a job whose first task crashes workers, and play some turns."""
    partition.submit(*steps)
    fleet = CrashingFleet(partition, crashing=f"{JOB}.0.0.0")
    for _ in range(turns):
        fleet.turn()
    return fleet


def test_task_that_crashes_each_worker_is_given_up() -> None:
    partition = Partition(workers=4)
    fleet = play(partition, make_step(count=3))
    assert FEWEST_CRASHES <= fleet.crashes <= 3 + ALLOWED_AFTER_THREE
    assert partition.job().state is JobState.FAILED


def test_lasting_task_that_crashes_each_worker_is_given_up() -> None:
    partition = Partition(workers=4)
    fleet = play(partition, make_step(count=2, cpu=500, lasts=True))
    assert FEWEST_CRASHES <= fleet.crashes <= 3 + ALLOWED_AFTER_THREE
    assert partition.job().state is JobState.FAILED


def test_crashes_are_counted_across_a_hand_over() -> None:
    """Each owner dies after one more worker has crashed; its successor knows what is stored."""
    partition = Partition(workers=4)
    partition.submit(make_step())
    fleet = CrashingFleet(partition, crashing=f"{JOB}.0.0.0")
    for _ in range(8):
        fleet.turn()
        if fleet.partition.job().state is JobState.FAILED:
            break
        fleet.partition = take_over(fleet.partition, workers=4)
        for worker_id in fleet.partition.entries:
            fleet.partition.list_runs(worker_id)
    assert fleet.partition.job().state is JobState.FAILED
    assert fleet.crashes <= 3 + ALLOWED_AFTER_THREE


def test_tasks_that_go_down_beside_it_are_not_given_up() -> None:
    """A lasting job and a short one share the workers that crash, and wait at the same moments.

    Started anew beside the task that crashes workers, they go down with it again and again, and
    would be taken for the cause as well as it.
    """
    partition = Partition(workers=3)
    partition.submit(make_step(count=3, cpu=100, lasts=True), job_id=OTHER_JOB)
    short = f"{3:016x}"
    partition.submit(make_step(count=3, cpu=100), job_id=short)
    play(partition, make_step(count=3))
    assert partition.job().state is JobState.FAILED
    assert partition.job(OTHER_JOB).state is JobState.ACTIVE
    assert partition.job(short).state is JobState.ACTIVE
    assert all(task.runs for step in partition.job(OTHER_JOB).steps() for task in step.tasks)


def test_task_that_has_run_for_a_while_before_each_crash_is_kept() -> None:
    """A lasting task sees many workers go in its life; none of them because of it."""
    partition = Partition(workers=3)
    partition.submit(make_step(cpu=100, lasts=True))
    fleet = CrashingFleet(partition, crashing="")
    for _ in range(8):
        fleet.turn()
        for _ in range(30):
            for worker_id in list(partition.state.workers):
                partition.list_known_runs(worker_id, percent=100.0)
            partition.tick(100)
        (run,) = partition.job().runs()
        fleet.crash(run.worker_id)
    assert partition.job().state is JobState.ACTIVE


def test_lasting_tasks_that_were_lost_together_share_few_workers_again() -> None:
    """A rack goes down with two lasting jobs; each machine that has one can't be sent away."""
    partition = Partition(workers=3)
    partition.submit(make_step(cpu=100, lasts=True))
    partition.submit(make_step(cpu=100, lasts=True), job_id=OTHER_JOB)
    first, second = partition.start_planned_runs()
    assert first.worker_id == second.worker_id
    CrashingFleet(partition, crashing="").crash(first.worker_id)
    first, second = partition.start_planned_runs()
    assert first.worker_id == second.worker_id


def test_crash_after_a_long_run_is_no_suspicion() -> None:
    """A worker goes down with a task that has been at work for long, for a reason of its own."""
    partition = Partition(workers=3)
    partition.submit(make_step(cpu=100, lasts=True))
    (run,) = partition.start_planned_runs()
    for _ in range(PROVEN_MS // 100 + 1):
        partition.list_known_runs(run.worker_id, percent=100.0)
        partition.tick(100)
    CrashingFleet(partition, crashing="").crash(run.worker_id)
    assert run.task.crashes == 0


def test_starts_that_never_reached_their_workers_are_weaker_evidence() -> None:
    """A rack loses power. Idle workers are asked seldom, so a start is the first to find that out.

    Its task is sent to one dead worker after the other, and none of them went because of it.
    """
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


def test_start_that_another_life_refused_is_no_suspicion() -> None:
    """A machine has moved, and another worker has its address: the start was surely not done."""
    partition = Partition(workers=2)
    (run,) = started_runs(partition.submit(make_step()))
    run.state = RunState.SENT
    partition.answer_start(run, Failure.OTHER_INSTANCE)
    assert run.task.crashes == 0


def test_copies_beside_silent_workers_are_bounded_too() -> None:
    """A task that may be copied starts elsewhere as soon as its worker doesn't answer.

    Long before the first worker is known to have crashed, its copies have crashed the next ones.
    """
    partition = Partition(workers=10)
    for worker in partition.state.workers.values():
        worker.lease_until_ms = partition.now_ms + 500_000 + LEASE_MS
    partition.submit(make_step(may_copy=True))
    started = 0
    for _ in range(10):
        for run in partition.start_planned_runs():
            started += 1
            partition.fail_listing(run.worker_id)
        partition.tick(100)
    assert started <= 3 + ALLOWED_AFTER_THREE
