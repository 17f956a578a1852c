"""What a pool's owner tells of its load, by which machines come and go."""

from __future__ import annotations

from heatherkeel.dispatch.const import UNHEARD_MS
from heatherkeel.dispatch.load import measure_pools
from heatherkeel.dispatch.pools import wait_for_room
from heatherkeel.platform.callers import StepRequest
from heatherkeel.questions.messages import Need

from .partition import OTHER_JOB, Partition


def test_memory_counts_of_what_runs_and_of_what_waits() -> None:
    partition = Partition(workers=1, cpu=8000)
    partition.submit(StepRequest(count=12, cpu=1000, memory_mb=50, estimated_ms=100))
    (load,) = measure_pools(partition.state)
    assert load.used_cpu == 8000
    assert (load.wanted_cpu, load.wanted_memory_mb) == (12_000, 600)
    assert load.lacking == 0


def test_lasting_tasks_without_room_ask_for_workers() -> None:
    """Two of six lasting tasks find no worker; what ends soon by itself isn't counted with them."""
    partition = Partition(workers=1, cpu=8000)
    partition.submit(StepRequest(count=6, cpu=2000, lasts=True))
    partition.submit(StepRequest(count=3, cpu=2000, estimated_ms=100), job_id=OTHER_JOB)
    (load,) = measure_pools(partition.state)
    assert load.lacking == 1


def test_step_that_spreads_asks_for_as_many_workers_as_it_must_have() -> None:
    """Twelve lasting tasks, one a worker at the most, meet a share of four workers.

    The room of the four would hold them all, so by their sums nothing was missing; half of the
    tasks had to wait while machines came one every two seconds.
    """
    partition = Partition(workers=4, cpu=8000)
    partition.submit(StepRequest(count=12, cpu=100, lasts=True, max_per_worker=1))
    (load,) = measure_pools(partition.state)
    assert load.lacking == 8


def test_tasks_that_no_worker_can_ever_hold_ask_for_none() -> None:
    """A job that can never be done waits; machines that came for it would come without end."""
    partition = Partition(workers=2, cpu=8000)
    partition.submit(StepRequest(count=2, cpu=9000, lasts=True))
    partition.submit(StepRequest(count=2, cpu=100, lasts=True, label="gpu"), job_id=OTHER_JOB)
    (load,) = measure_pools(partition.state)
    assert load.lacking == 0


def test_step_that_waits_with_nothing_to_start_asks_for_none() -> None:
    """A lasting task ran on a worker that fell silent; its step waits until that is settled.

    Nothing of the step can start meanwhile. Its owner ended with a division by zero, and with it
    all partitions of the process.
    """
    partition = Partition(workers=1, cpu=8000)
    partition.list_known_runs("w0")
    partition.submit(StepRequest(count=1, cpu=2000, lasts=True))
    (step,) = partition.job().steps()
    wait_for_room(partition.state, step)
    (load,) = measure_pools(partition.state)
    assert load.lacking == 0


def test_needs_that_no_worker_of_the_share_has_are_told() -> None:
    """A step wants a label, another more processor than any worker has; a third only waits."""
    partition = Partition(workers=2, cpu=8000)
    partition.submit(
        StepRequest(count=1, cpu=100, estimated_ms=100, label="b"),
        StepRequest(count=1, cpu=9000, estimated_ms=100),
        StepRequest(count=9, cpu=8000, estimated_ms=100),
    )
    (load,) = measure_pools(partition.state)
    assert load.needs == [Need(label="b", cpu=100), Need(cpu=9000)]


def test_task_that_fits_beside_no_lasting_task_is_a_need() -> None:
    """A task of most of a machine waits in a share whose every machine has a lasting task.

    By the sums its share has room, and an empty machine of that size would do, so nothing was
    moved: the job had nothing running for as long as the lasting tasks stayed.
    """
    partition = Partition(workers=2, cpu=64_000)
    partition.submit(StepRequest(count=2, cpu=9000, lasts=True, max_per_worker=1), job_id=OTHER_JOB)
    partition.start_planned_runs()
    partition.submit(StepRequest(count=1, cpu=58_000, estimated_ms=500))
    assert measure_pools(partition.state)[0].needs == [Need(cpu=58_000)]


def test_task_that_fits_once_short_tasks_have_ended_is_no_need() -> None:
    partition = Partition(workers=2, cpu=64_000)
    partition.submit(StepRequest(count=2, cpu=9000, estimated_ms=500), job_id=OTHER_JOB)
    partition.start_planned_runs()
    partition.submit(StepRequest(count=2, cpu=58_000, estimated_ms=500))
    assert measure_pools(partition.state)[0].needs == []


def test_work_that_is_worth_nothing_any_more_asks_for_no_machine() -> None:
    """A turn that was beyond the room leaves jobs that nobody waits for any more.

    They run when there is room; machines are for the jobs of the next pool in its turn.
    """
    partition = Partition(workers=1, cpu=8000)
    partition.submit(StepRequest(count=40, cpu=8000, estimated_ms=500))
    assert measure_pools(partition.state)[0].wanted_cpu == 40 * 8000
    partition.tick(60_000)
    assert measure_pools(partition.state)[0].wanted_cpu == 8000


def test_label_of_a_worker_that_leaves_is_needed_anew() -> None:
    partition = Partition(workers=2, cpu=8000)
    partition.submit(StepRequest(count=9, cpu=8000, estimated_ms=100, label="a"))
    assert measure_pools(partition.state)[0].needs == []
    partition.mark_leaving("w0", "w1")
    assert measure_pools(partition.state)[0].needs == [Need(label="a", cpu=8000)]


def test_worker_that_does_not_answer_is_told_to_be_no_room() -> None:
    """A worker falls silent for longer than one lost answer takes, and is heard again later.

    It stays listed while its heartbeats reach the store, so nobody else could tell.
    """
    partition = Partition(workers=2, cpu=8000)
    partition.fail_listing("w0")
    assert measure_pools(partition.state)[0].unheard == []
    partition.tick(UNHEARD_MS)
    assert measure_pools(partition.state)[0].unheard == ["w0"]
    partition.list_known_runs("w0")
    assert measure_pools(partition.state)[0].unheard == []
