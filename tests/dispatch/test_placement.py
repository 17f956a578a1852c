"""Where a step's tasks go, by how many jobs a lost worker or zone takes along.

The load is that of a queue of short jobs in its turn: a dozen jobs at once, each of some tasks of a
few cores, on workers of 64 cores in four zones.
"""

from __future__ import annotations

import pytest

from heatherkeel.platform.callers import StepRequest

from .partition import JOB, Partition, make_entry, make_step

ZONES = ("a", "b", "c", "d")
JOBS = 12


def make_partition(*, workers: int = 8, cpu: int = 64_000) -> Partition:
    """Return a partition with workers dealt out over the zones."""
    partition = Partition(workers=0)
    partition.entries = {
        f"w{number}": make_entry(cpu=cpu, zone=ZONES[number % len(ZONES)])
        for number in range(workers)
    }
    partition.list_workers()
    for worker_id in partition.entries:
        partition.list_known_runs(worker_id)
    return partition


def submit_turn(partition: Partition, step: StepRequest) -> list[set[str]]:
    """Submit the jobs of a turn; returns for each the workers on which its tasks are."""
    names = [f"{number:016x}" for number in range(JOBS)]
    for name in names:
        partition.submit(step, job_id=name)
    return [{run.worker_id for run in partition.job(name).runs()} for name in names]


def test_lost_worker_takes_few_jobs_along() -> None:
    """A worker is lost, or slow, in a pool's turn, and each job that has a task on it is late.

    Twelve jobs of six tasks on eight workers: with each task on the emptiest worker nearly all
    jobs would have one on any of them. Here a worker is given whole jobs.
    """
    partition = make_partition()
    places = submit_turn(partition, make_step(count=6, cpu=3500))
    assert all(len(workers) == 1 for workers in places)
    hit = [sum(worker in workers for workers in places) for worker in partition.entries]
    assert max(hit) <= 2


def test_cut_zone_takes_no_more_jobs_along_than_its_share() -> None:
    """A step that no worker has room for spreads, but within one zone.

    When a zone is cut off, its tasks can't be started elsewhere before their leases have run out.
    """
    partition = make_partition(workers=16, cpu=16_000)
    places = submit_turn(partition, make_step(count=6, cpu=3500))
    zones = [{partition.entries[worker].zone for worker in workers} for workers in places]
    assert all(len(found) == 1 for found in zones[:8])
    assert sum(len(found) > 1 for found in zones) <= JOBS // 4


def test_jobs_that_come_one_after_the_other_go_to_the_emptiest_workers() -> None:
    partition = make_partition(workers=4)
    places = submit_turn(partition, make_step(count=2, cpu=4000))
    assert len({worker for workers in places[:4] for worker in workers}) == 4


@pytest.mark.parametrize("most", [1, 2])
def test_step_that_must_spread_does(most: int) -> None:
    partition = make_partition()
    partition.submit(make_step(count=6, cpu=3500, max_per_worker=most))
    held = [run.worker_id for run in partition.job(JOB).runs()]
    assert len(held) == 6
    assert max(held.count(worker) for worker in held) <= most
