"""Runs that are stopped so that another pool gets their machine."""

from __future__ import annotations

import pytest

from heatherkeel.dispatch.const import (
    GIVE_WAY_MS,
    LEAVING_MS,
    LITTLE_DONE_PERCENT,
    MAX_ATTEMPT_TO_STOP,
)
from heatherkeel.dispatch.events import WorkersLeaving
from heatherkeel.dispatch.models import Run, RunState

from .partition import JOB, Partition, make_step


def start_run(
    partition: Partition,
    *,
    age_ms: int = 0,
    percent: float = LITTLE_DONE_PERCENT,
    **step: object,
) -> Run:
    """Start a job of one task, and let it run for some time."""
    partition.submit(make_step(**step))  # type: ignore[arg-type]
    (run,) = partition.start_planned_runs()
    partition.list_known_runs(run.worker_id, percent=percent)
    partition.now_ms += age_ms
    return run


def give_way(partition: Partition, run: Run, *, for_ms: int = 0) -> None:
    """Report for some time that the machine of a run's worker is taken for another pool."""
    for now_ms in range(partition.now_ms, partition.now_ms + for_ms + 1, 100):
        partition.now_ms = now_ms
        workers = frozenset({run.worker_id})
        partition.apply(
            WorkersLeaving(**partition.event_times(), worker_ids=workers, yielding=workers)
        )


def is_stopping(run: Run) -> bool:
    """Return whether a run was told to stop."""
    return run.state is RunState.STOPPING


def make_late(partition: Partition) -> None:
    """Let the job's objective be missed by any run that has not begun yet."""
    for step in partition.job(JOB).steps():
        step.latest_start_ms -= 4000


def test_run_in_time_is_left_to_end() -> None:
    partition = Partition()
    run = start_run(partition, estimated_ms=2000, age_ms=400)
    give_way(partition, run, for_ms=2000)
    assert not is_stopping(run)


def test_late_run_is_stopped_after_a_while() -> None:
    """Guards against machines held for seconds by work that callers get next to nothing from."""
    partition = Partition()
    run = start_run(partition, estimated_ms=2000, age_ms=400)
    make_late(partition)
    give_way(partition, run, for_ms=GIVE_WAY_MS - 100)
    assert not is_stopping(run)
    give_way(partition, run, for_ms=100)
    assert is_stopping(run)


@pytest.mark.parametrize("is_late", [False, True])
def test_run_of_which_little_is_done_is_stopped_at_once(is_late: bool) -> None:
    """Guards against machines that idle for seconds until their last run has ended."""
    partition = Partition()
    run = start_run(partition, estimated_ms=2000, age_ms=400, percent=LITTLE_DONE_PERCENT - 1)
    if is_late:
        make_late(partition)
    give_way(partition, run)
    assert is_stopping(run)


def test_task_gives_way_only_so_often() -> None:
    """Guards against large tasks that never end while pools compete for machines."""
    partition = Partition(workers=2)
    run = start_run(partition, estimated_ms=20_000, age_ms=100, percent=0.0)
    task = run.task
    for attempt in range(1, MAX_ATTEMPT_TO_STOP + 1):
        assert run.attempt == attempt
        give_way(partition, run)
        assert is_stopping(run)
        partition.end_run(run, "stopped")
        partition.start_planned_runs()
        (run,) = task.runs
        partition.list_known_runs(run.worker_id, percent=0.0)
    give_way(partition, run, for_ms=2000)
    assert not is_stopping(run)


def test_worthless_run_is_stopped_at_once() -> None:
    partition = Partition()
    run = start_run(partition, estimated_ms=500, age_ms=6000)
    give_way(partition, run)
    assert is_stopping(run)


def test_run_in_time_is_stopped_if_its_progress_is_stored() -> None:
    partition = Partition()
    run = start_run(partition, estimated_ms=2000, age_ms=1000, saves=True)
    give_way(partition, run, for_ms=500)
    assert not is_stopping(run)
    run.saved = "stored"
    give_way(partition, run)
    assert is_stopping(run)


def test_gang_is_left_to_end() -> None:
    partition = Partition()
    run = start_run(partition, estimated_ms=2000, age_ms=400, is_gang=True)
    make_late(partition)
    give_way(partition, run, for_ms=2000)
    assert not is_stopping(run)


def test_long_running_task_stays_within_its_allowed_unavailability() -> None:
    """Guards against taking down more of a long-running step than its owner allows."""
    partition = Partition(workers=2)
    partition.submit(make_step(count=2, cpu=6000, lasts=True, max_unavailable=1))
    first, second = partition.start_planned_runs()
    for run in (first, second):
        partition.list_known_runs(run.worker_id, percent=100.0)
    workers = frozenset({first.worker_id, second.worker_id})
    partition.apply(WorkersLeaving(**partition.event_times(), worker_ids=workers, yielding=workers))
    states = [run.state for run in (first, second)]
    assert sorted(states) == [RunState.RUNNING, RunState.STOPPING]


def test_worker_serves_again_when_the_fleets_owner_is_gone() -> None:
    """Guards against a machine that belongs to no pool after its fleet's owner has died."""
    partition = Partition(workers=1)
    run = start_run(partition, estimated_ms=20_000, age_ms=400)
    give_way(partition, run)
    worker = partition.state.workers[run.worker_id]
    assert worker.yielding_since_ms is not None
    partition.tick(LEAVING_MS)
    assert worker.yielding_since_ms is None and not worker.is_leaving
    make_late(partition)
    partition.tick(GIVE_WAY_MS)
    assert not is_stopping(run)
