"""A worker's room shrinks while it runs, and its entry says so a little later.

Workers that don't guard their room start whatever they are told to, so a start that comes after the
shrinking puts them over it, and all tasks there suffer. What was planned by the older entry, or is
planned while entries can't be read, must not leave any more.
"""

from __future__ import annotations

import pytest

from heatherkeel.dispatch.events import Tick
from heatherkeel.dispatch.models import RunState
from heatherkeel.platform.errors import Failure

from .partition import OTHER_JOB, Partition, make_entry, make_step, started_runs


def shrink(partition: Partition, worker_id: str, cpu: int) -> None:
    """Let a worker's entry say that it has less room."""
    partition.entries[worker_id] = make_entry(cpu=cpu)
    partition.list_workers()


def test_planned_start_that_no_longer_fits_goes_elsewhere() -> None:
    """A start waits until it is stored; meanwhile the worker's entry tells of less room."""
    partition = Partition(workers=2, cpu=4000)
    planned = started_runs(partition.submit(make_step(count=2, cpu=2000)))
    (worker_id,) = {run.worker_id for run in planned}
    partition.effects.clear()
    shrink(partition, worker_id, 2000)
    kept = [run for run in planned if run in run.task.runs]
    assert len(kept) == 1
    (moved,) = started_runs(partition.effects)
    assert moved.worker_id != worker_id


def test_what_runs_stays_when_its_room_shrinks_and_nothing_joins_it() -> None:
    partition = Partition(workers=1, cpu=4000)
    partition.submit(make_step(count=2, cpu=2000))
    runs = partition.start_planned_runs()
    shrink(partition, "w0", 1000)
    assert all(run.state is RunState.RUNNING for run in runs)
    assert not started_runs(partition.submit(make_step(cpu=100), job_id=OTHER_JOB))
    partition.end_run(runs[0])
    assert not started_runs(partition.effects)
    partition.end_run(runs[1])
    assert started_runs(partition.effects)


def test_nothing_starts_where_the_room_is_not_known_any_more() -> None:
    """A worker's entry hasn't been read for so long that its room may have shrunk unheard."""
    partition = Partition(workers=2)
    (run,) = started_runs(partition.submit(make_step()))
    partition.effects.clear()
    everyone = frozenset(partition.entries)
    partition.apply(Tick(**partition.event_times(), outdated=everyone))
    assert partition.state.workers[run.worker_id].is_outdated
    assert not started_runs(partition.submit(make_step(), job_id=OTHER_JOB))
    partition.apply(Tick(**partition.event_times(), outdated=frozenset()))
    assert started_runs(partition.effects)


@pytest.mark.parametrize("refusal", [(Failure.RESERVED, "room"), (Failure.INVALID, "")])
def test_worker_that_refuses_a_start_is_not_asked_again_at_once(
    refusal: tuple[Failure, str],
) -> None:
    """A worker that guards its room has shrunk, and its entry doesn't say so yet.

    It stays the emptiest of its pool, so each refused start went back to it, one every few
    milliseconds.
    """
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
