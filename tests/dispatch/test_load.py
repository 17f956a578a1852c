"""What a pool's owner tells of its load."""

from __future__ import annotations

from heatherkeel.dispatch.load import measure_pools

from .partition import Partition, make_step


def test_pace_of_arrivals_tells_a_turn_before_its_backlog_does() -> None:
    """A queue's turn begins: short jobs come at many times their usual pace.

    What waits grows only as the pool fills up, and machines take two seconds to come. The pace
    tells within the first second what the turn will ask for.
    """
    partition = Partition(workers=4, cpu=64_000)
    for number in range(10):
        partition.now_ms += 50
        step = make_step(count=6, cpu=3500, estimated_ms=640)
        partition.submit(step, job_id=f"{number:016x}")
    (load,) = measure_pools(partition.state)
    assert load.arriving_cpu == round(10 * 6 * 3500 * 0.64 / 0.8)


def test_few_large_jobs_are_no_pace() -> None:
    partition = Partition(workers=4, cpu=64_000)
    for number in range(3):
        step = make_step(count=16, cpu=7700, estimated_ms=4000)
        partition.submit(step, job_id=f"{number:016x}")
    (load,) = measure_pools(partition.state)
    assert load.arriving_cpu == 0
