"""Workers whose capacity shrinks: guards against starts that overload them.

Workers don't always enforce their capacity, and their entries report a change late.
"""

from __future__ import annotations

import pytest

from heatherkeel.dispatch.events import Tick
from heatherkeel.dispatch.models import RunState
from heatherkeel.platform.errors import Failure

from .partition import OTHER_JOB, Partition, make_entry, make_step, started_runs


def shrink_worker(partition: Partition, worker_id: str, cpu: int) -> None:
    """Reduce the capacity in a worker's entry."""
    partition.entries[worker_id] = make_entry(cpu=cpu)
    partition.list_workers()


def test_planned_start_that_no_longer_fits_moves_to_another_worker() -> None:
    """Guards against sending a planned start after the worker's entry has shrunk."""
    partition = Partition(workers=2, cpu=4000)
    planned = started_runs(partition.submit(make_step(count=2, cpu=2000)))
    (worker_id,) = {run.worker_id for run in planned}
    partition.effects.clear()
    shrink_worker(partition, worker_id, 2000)
    kept = [run for run in planned if run in run.task.runs]
    assert len(kept) == 1
    (moved,) = started_runs(partition.effects)
    assert moved.worker_id != worker_id


def test_running_tasks_stay_and_none_start_on_a_shrunken_worker() -> None:
    partition = Partition(workers=1, cpu=4000)
    partition.submit(make_step(count=2, cpu=2000))
    runs = partition.start_planned_runs()
    shrink_worker(partition, "w0", 1000)
    assert all(run.state is RunState.RUNNING for run in runs)
    assert not started_runs(partition.submit(make_step(cpu=100), job_id=OTHER_JOB))
    partition.end_run(runs[0])
    assert not started_runs(partition.effects)
    partition.end_run(runs[1])
    assert started_runs(partition.effects)


def test_nothing_starts_on_a_worker_with_an_outdated_entry() -> None:
    """Guards against starts on a worker whose capacity may have shrunk since its entry was read."""
    partition = Partition(workers=2)
    (run,) = started_runs(partition.submit(make_step()))
    partition.effects.clear()
    worker_ids = frozenset(partition.entries)
    partition.apply(Tick(**partition.event_times(), outdated=worker_ids))
    assert partition.state.workers[run.worker_id].is_outdated
    assert not started_runs(partition.submit(make_step(), job_id=OTHER_JOB))
    partition.apply(Tick(**partition.event_times(), outdated=frozenset()))
    assert started_runs(partition.effects)


@pytest.mark.parametrize("refusal", [(Failure.RESERVED, "room"), (Failure.INVALID, "")])
def test_worker_that_refuses_a_start_is_not_retried_at_once(
    refusal: tuple[Failure, str],
) -> None:
    """Guards against repeated starts on a worker that refuses them and stays the emptiest."""
    partition = Partition(workers=1)
    partition.submit(make_step())
    refusals = 0
    for _ in range(10):
        for run in started_runs(partition.effects):
            if run not in run.task.runs:
                continue
            refusals += 1
            partition.answer_start(run, refusal[0], detail=refusal[1])
        partition.tick(20)
    assert refusals == 1
