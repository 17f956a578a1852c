"""Tests of workers that are slow against the learned durations of what they run."""

from __future__ import annotations

import pytest

from heatherkeel.dispatch.const import MAX_SLOW_WORKERS_FRACTION, SLOW_JUDGE_INTERVAL_MS, SLOW_MS
from heatherkeel.dispatch.models import Run
from heatherkeel.platform.workers import RunningTask

from .partition import Partition, make_step, started_runs, stopped_runs
from .test_durations import REAL_MS, teach

WORKERS = 5
SLOW_PERCENT = 18.0
"""Progress after the expected duration on a worker that takes more than five times as long."""
USUAL_PERCENT = 95.0


class UnevenPool(Partition):
    """A pool of five workers, each with three jobs of two tasks, whose durations are known."""

    def __init__(self, *, jobs: int = 3 * WORKERS, is_taught: bool = True, cpu: int = 8000) -> None:
        super().__init__(workers=WORKERS, cpu=cpu)
        if is_taught:
            teach(self, off=0.1)
        for number in range(jobs):
            self.submit(make_step(count=2, cpu=1000, estimated_ms=REAL_MS), job_id=f"{number:016x}")
        self.runs = self.start_planned_runs()
        self.now_ms += REAL_MS

    def list_progress(self, worker_id: str, percent: float) -> list[Run]:
        """Let a worker list its runs with a progress; returns the runs that are stopped then."""
        running = [
            RunningTask(
                task=run.task.name, attempt=run.attempt, saved="", percent=percent, figure=0.0
            )
            for run in self.state.workers[worker_id].runs.values()
        ]
        return stopped_runs(self.list_runs(worker_id, *running))

    def is_slow(self, worker_id: str) -> bool:
        """Return whether a worker is known to be slow."""
        return self.state.workers[worker_id].is_slow(self.now_ms)


def test_slow_worker_is_found_by_the_progress_of_what_it_runs() -> None:
    """Guards against a worker that takes five times as long and gets most of the work."""
    pool = UnevenPool()
    for worker_id in list(pool.entries)[1:]:
        pool.list_progress(worker_id, USUAL_PERCENT)
    pool.list_progress("w0", SLOW_PERCENT)
    assert [worker_id for worker_id in pool.entries if pool.is_slow(worker_id)] == ["w0"]


def test_its_late_tasks_are_stopped_as_far_as_others_have_room() -> None:
    pool = UnevenPool()
    stopped = pool.list_progress("w0", SLOW_PERCENT)
    assert stopped and {run.worker_id for run in stopped} == {"w0"}
    full = UnevenPool(jobs=4 * WORKERS)
    assert all(worker.free_cpu() == 0 for worker in full.state.workers.values())
    assert not full.list_progress("w0", SLOW_PERCENT)
    assert full.is_slow("w0")


def test_tasks_that_are_nearly_done_stay() -> None:
    """Guards against a restart that takes longer than the rest of the task."""
    pool = UnevenPool()
    pool.now_ms += 4 * REAL_MS
    assert not pool.list_progress("w0", USUAL_PERCENT)
    assert pool.is_slow("w0")


def test_slow_worker_gets_work_only_where_no_other_has_room() -> None:
    pool = UnevenPool()
    pool.list_progress("w0", SLOW_PERCENT)
    pool.effects.clear()
    pool.submit(make_step(count=5, cpu=1000, estimated_ms=REAL_MS), job_id="f" * 16)
    pool.tick(1)
    assert "w0" not in {run.worker_id for run in started_runs(pool.effects)}


def test_worker_is_judged_anew_after_a_while() -> None:
    """Guards against a worker that is well again and stays idle."""
    pool = UnevenPool()
    pool.list_progress("w0", SLOW_PERCENT)
    pool.now_ms += SLOW_MS
    assert not pool.is_slow("w0")


@pytest.mark.parametrize("jobs", [2, 1])
def test_few_long_steps_are_no_evidence(jobs: int) -> None:
    """Guards against a worker set aside for one job that takes long everywhere."""
    pool = UnevenPool(jobs=jobs)
    for worker_id in pool.entries:
        pool.list_progress(worker_id, SLOW_PERCENT)
        assert not pool.is_slow(worker_id)


def test_pool_in_which_all_are_late_keeps_most_of_its_workers() -> None:
    """Guards against a pool without workers when what is expected is wrong."""
    pool = UnevenPool()
    for worker_id in pool.entries:
        pool.list_progress(worker_id, SLOW_PERCENT)
    slow = [worker_id for worker_id in pool.entries if pool.is_slow(worker_id)]
    assert len(slow) <= MAX_SLOW_WORKERS_FRACTION * WORKERS


def test_nothing_is_slow_while_durations_are_unknown() -> None:
    pool = UnevenPool(is_taught=False)
    pool.list_progress("w0", SLOW_PERCENT)
    assert not pool.is_slow("w0")


def test_nothing_is_slow_where_that_is_switched_off() -> None:
    pool = UnevenPool()
    pool.state.finds_slow_workers = False
    pool.list_progress("w0", SLOW_PERCENT)
    assert not pool.is_slow("w0")


def test_ended_tasks_count() -> None:
    pool = UnevenPool()
    pool.now_ms += 3 * REAL_MS
    runs = [run for run in pool.runs if run.worker_id == "w0"]
    for run in runs:
        pool.state.workers["w0"].clock_received_ms = pool.now_ms
        pool.end_run_listed(run, run.answered_ms)
    pool.now_ms += SLOW_JUDGE_INTERVAL_MS
    pool.list_runs("w0")
    assert pool.is_slow("w0")
