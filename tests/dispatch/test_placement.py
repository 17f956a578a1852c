"""Placement of steps: guards against a lost worker or zone that affects many jobs."""

from __future__ import annotations

import pytest

from heatherkeel.dispatch.const import ARRIVAL_WINDOW_MS, MAX_MISFITS, TICK_MS
from heatherkeel.platform.callers import StepRequest

from .partition import JOB, OTHER_JOB, Partition, make_entry, make_step, started_runs

ZONES = ("a", "b", "c", "d")
JOBS = 12


def make_partition(*, workers: int = 8, cpu: int = 64_000) -> Partition:
    """Return a partition with workers spread evenly over the zones."""
    partition = Partition(workers=0)
    partition.entries = {
        f"w{number}": make_entry(cpu=cpu, zone=ZONES[number % len(ZONES)])
        for number in range(workers)
    }
    partition.list_workers()
    for worker_id in partition.entries:
        partition.list_known_runs(worker_id)
    return partition


def submit_jobs(partition: Partition, step: StepRequest) -> list[set[str]]:
    """Submit several jobs at once; return for each the workers that hold its tasks."""
    names = [f"{number:016x}" for number in range(JOBS)]
    for name in names:
        partition.submit(step, job_id=name)
    return [{run.worker_id for run in partition.job(name).runs()} for name in names]


def test_lost_worker_affects_few_jobs() -> None:
    """Guards against jobs spread over all workers, where any lost worker delays most."""
    partition = make_partition()
    placements = submit_jobs(partition, make_step(count=6, cpu=3500))
    assert all(len(workers) == 1 for workers in placements)
    affected = [sum(worker in workers for workers in placements) for worker in partition.entries]
    assert max(affected) <= 2


def test_step_too_large_for_one_worker_mostly_stays_in_one_zone() -> None:
    """Guards against steps over several zones, whose tasks wait for the leases of any lost zone."""
    partition = make_partition(workers=16, cpu=16_000)
    placements = submit_jobs(partition, make_step(count=6, cpu=3500))
    zones = [{partition.entries[worker].zone for worker in workers} for workers in placements]
    assert all(len(found) == 1 for found in zones[:8])
    assert sum(len(found) > 1 for found in zones) <= JOBS // 4


def test_consecutive_jobs_go_to_the_emptiest_workers() -> None:
    partition = make_partition(workers=4)
    placements = submit_jobs(partition, make_step(count=2, cpu=4000))
    assert len({worker for workers in placements[:4] for worker in workers}) == 4


@pytest.mark.parametrize("most", [1, 2])
def test_max_per_worker_is_respected(most: int) -> None:
    partition = make_partition()
    partition.submit(make_step(count=6, cpu=3500, max_per_worker=most))
    worker_ids = [run.worker_id for run in partition.job(JOB).runs()]
    assert len(worker_ids) == 6
    assert max(worker_ids.count(worker) for worker in worker_ids) <= most


def test_step_behind_many_that_fit_no_worker_starts() -> None:
    """Guards against a task that waits forever since each pass ends at the same steps before it."""
    partition = Partition(workers=2, cpu=8000)
    for number in range(MAX_MISFITS + 1):
        step = make_step(cpu=100, memory_mb=1 << 20, estimated_ms=100)
        partition.submit(step, job_id=f"{number:016x}")
        step = make_step(cpu=100, label="none", estimated_ms=100)
        partition.submit(step, job_id=f"f{number:015x}")
    partition.submit(make_step(cpu=100, estimated_ms=5000), job_id=OTHER_JOB)
    assert [run.task.step.job.id for run in started_runs(partition.effects)] == [OTHER_JOB]


def test_step_behind_many_that_do_not_fit_now_starts_once_no_job_arrives() -> None:
    """Guards against a task that waits beside room for it while a share works off an overload."""
    partition = Partition(workers=2, cpu=8000)
    partition.submit(make_step(count=2, cpu=100, memory_mb=9000, estimated_ms=100_000))
    for number in range(MAX_MISFITS + 1):
        step = make_step(cpu=100, memory_mb=15_000, estimated_ms=2000)
        partition.submit(step, job_id=f"{number:016x}")
    partition.start_planned_runs()
    partition.submit(make_step(cpu=100, estimated_ms=5000), job_id=OTHER_JOB)
    assert not started_runs(partition.effects)
    partition.tick(ARRIVAL_WINDOW_MS + TICK_MS)
    assert [run.task.step.job.id for run in started_runs(partition.effects)] == [OTHER_JOB]
