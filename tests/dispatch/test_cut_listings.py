"""Listings that hold as many ends as they can: what they lack is no proof of anything."""

from __future__ import annotations

from heatherkeel.dispatch.const import MAX_OPEN_TASKS
from heatherkeel.dispatch.ends import DONE
from heatherkeel.dispatch.events import IncarnationsListed
from heatherkeel.dispatch.models import JobState, Run
from heatherkeel.platform.workers import MAX_LISTED_ENDS, EndedTask, RunningTask

from .partition import Partition, make_step, started_runs, stopped_runs
from .test_recovery import take_over

WORKER = "w0"
TASKS = 1300
"""More than two listings hold."""
CPU = 5


def start_tasks(count: int = TASKS) -> Partition:
    """Return a partition whose worker runs all tasks of a job."""
    assert count * CPU <= 8000 and count <= MAX_OPEN_TASKS
    partition = Partition(workers=1)
    partition.submit(make_step(count=count, cpu=CPU, memory_mb=1))
    assert len(partition.start_planned_runs()) == count
    partition.list_known_runs(WORKER)
    return partition


def make_ends(runs: list[Run], outcome: str = DONE) -> list[EndedTask]:
    """Return ends of runs, numbered from 1."""
    return [
        EndedTask(number=number, task=run.task.name, attempt=run.attempt, outcome=outcome, saved="")
        for number, run in enumerate(runs, start=1)
    ]


def list_ends(partition: Partition, ends: list[EndedTask], *running: RunningTask) -> None:
    """Let the worker list the first ends that a listing holds, and exactly these runs."""
    partition.ends[WORKER] = ends[:MAX_LISTED_ENDS]
    partition.list_runs(WORKER, *running)


def test_runs_behind_the_first_ends_of_a_listing_are_not_lost() -> None:
    """Guards against second runs of tasks whose ends one listing has no room for."""
    partition = start_tasks()
    ends = make_ends(partition.job().runs())
    partition.effects.clear()
    for acknowledged in range(0, TASKS, MAX_LISTED_ENDS):
        list_ends(partition, ends[acknowledged:])
        partition.tick(100)
    assert partition.job().state is JobState.COMPLETE
    assert not started_runs(partition.effects)


def test_next_owner_does_not_lose_runs_behind_the_first_ends() -> None:
    """Guards against the same by the first listing of an owner that takes the worker over."""
    earlier = start_tasks()
    ends = make_ends(earlier.job().runs())
    later = take_over(earlier, workers=1)
    later.effects.clear()
    for acknowledged in range(0, TASKS, MAX_LISTED_ENDS):
        list_ends(later, ends[acknowledged:])
        later.tick(100)
    assert later.job().state is JobState.COMPLETE
    assert not started_runs(later.effects)


def test_ends_that_cannot_be_acknowledged_keep_the_others_open() -> None:
    """Guards against second runs, and a worker set aside as stalled, in an outage of the store."""
    partition = start_tasks()
    ends = make_ends(partition.job().runs())
    partition.effects.clear()
    for _ in range(100):
        list_ends(partition, ends)
        partition.tick(100)
    assert len(partition.job().runs()) == TASKS - MAX_LISTED_ENDS
    assert not started_runs(partition.effects) and not stopped_runs(partition.effects)
    assert not partition.state.workers[WORKER].quarantined_until_ms


def test_run_that_was_never_started_starts_again_after_a_whole_listing() -> None:
    """Guards against a task that waits for good since one listing was cut."""
    partition = start_tasks(MAX_LISTED_ENDS + 10)
    runs = partition.job().runs()
    ends = make_ends(runs[: MAX_LISTED_ENDS + 5])
    partition.effects.clear()
    list_ends(partition, ends)
    assert not started_runs(partition.effects)
    list_ends(partition, ends[MAX_LISTED_ENDS:])
    partition.tick(100)
    restarted = {run.task.name for run in started_runs(partition.effects)}
    assert restarted == {run.task.name for run in runs[MAX_LISTED_ENDS + 5 :]}


def test_runs_of_a_worker_that_has_started_again_are_lost() -> None:
    """Guards against runs that are kept for good though their worker has forgotten its ends."""
    partition = start_tasks()
    list_ends(partition, make_ends(partition.job().runs()))
    partition.restart_worker(WORKER)
    partition.effects.clear()
    partition.list_runs(WORKER)
    partition.tick(100)
    assert len(started_runs(partition.effects)) == TASKS - MAX_LISTED_ENDS


def test_canceled_runs_behind_the_first_ends_keep_their_capacity_until_listed() -> None:
    """Guards against ends of a canceled job that free capacity before they are known."""
    partition = start_tasks()
    runs = partition.job().runs()
    partition.cancel()
    for run in runs:
        run.answered_ms = partition.now_ms
    ends = make_ends(runs, "stopped")
    list_ends(partition, ends)
    worker = partition.state.workers[WORKER]
    assert worker.used_cpu == CPU * (TASKS - MAX_LISTED_ENDS)
    for acknowledged in range(MAX_LISTED_ENDS, TASKS, MAX_LISTED_ENDS):
        list_ends(partition, ends[acknowledged:])
    assert worker.used_cpu == 0


def test_loss_of_a_worker_speaks_against_no_run_that_may_have_ended() -> None:
    """Guards against a job that is given up for workers that went after its tasks had ended."""
    partition = start_tasks(MAX_LISTED_ENDS + 5)
    list_ends(partition, make_ends(partition.job().runs()))
    partition.fail_listing(WORKER)
    partition.tick(1300)
    del partition.entries[WORKER]
    partition.list_workers()
    partition.apply(IncarnationsListed(**partition.event_times(), worker_ids=frozenset()))
    tasks = [task for step in partition.job().steps() for task in step.tasks if not task.is_done]
    assert len(tasks) == 5
    assert all(not task.losses_in_a_row() and not task.runs for task in tasks)


def test_long_running_task_that_may_have_ended_does_not_count_as_serving() -> None:
    """Guards against stops beyond what a step may lack, by what an earlier listing has shown."""
    partition = Partition(workers=1)
    partition.submit(make_step(count=MAX_LISTED_ENDS, cpu=CPU, memory_mb=1))
    plain = partition.start_planned_runs()
    partition.submit(make_step(lasts=True, cpu=CPU, max_unavailable=1), job_id=f"{9:016x}")
    (lasting,) = partition.start_planned_runs()
    partition.list_known_runs(WORKER, percent=100.0)
    assert lasting.is_at_work
    list_ends(partition, make_ends(plain))
    assert not lasting.is_at_work and lasting in lasting.task.runs
