"""Load that a partition's owner reports for each pool, by which pools gain and lose machines."""

from __future__ import annotations

from heatherkeel.dispatch.const import (
    CAPACITY_GRACE_MS,
    MAX_NEEDS,
    MAX_STARVED,
    NEEDS_TURN_MS,
    STARVED_MS,
)
from heatherkeel.dispatch.events import Tick
from heatherkeel.dispatch.load import measure_pools
from heatherkeel.dispatch.pools import enqueue_step
from heatherkeel.platform.callers import StepRequest
from heatherkeel.questions.messages import Need

from .partition import OTHER_JOB, Partition, make_step


def test_load_counts_running_and_waiting_tasks() -> None:
    partition = Partition(workers=1, cpu=8000)
    partition.submit(StepRequest(count=12, cpu=1000, memory_mb=50, estimated_ms=100))
    (load,) = measure_pools(partition.state)
    assert load.used_cpu == 8000
    assert (load.wanted_cpu, load.wanted_memory_mb) == (12_000, 600)
    assert load.lacking == 0


def test_waiting_long_running_tasks_request_workers() -> None:
    """Guards against counting short tasks, which free their capacity soon."""
    partition = Partition(workers=1, cpu=8000)
    partition.submit(StepRequest(count=6, cpu=2000, lasts=True))
    partition.submit(StepRequest(count=3, cpu=2000, estimated_ms=100), job_id=OTHER_JOB)
    (load,) = measure_pools(partition.state)
    assert load.lacking == 1


def test_step_with_max_per_worker_requests_enough_workers() -> None:
    """Guards against a lack computed from total capacity alone, without `max_per_worker`."""
    partition = Partition(workers=4, cpu=8000)
    partition.submit(StepRequest(count=12, cpu=100, lasts=True, max_per_worker=1))
    (load,) = measure_pools(partition.state)
    assert load.lacking == 8


def test_tasks_that_fit_no_worker_request_none() -> None:
    """Guards against requesting machines without end for a job that fits none of them."""
    partition = Partition(workers=2, cpu=8000)
    partition.submit(StepRequest(count=2, cpu=9000, lasts=True))
    partition.submit(StepRequest(count=2, cpu=100, lasts=True, label="gpu"), job_id=OTHER_JOB)
    (load,) = measure_pools(partition.state)
    assert load.lacking == 0


def test_waiting_step_with_nothing_to_start_requests_no_worker() -> None:
    """Guards against a division by zero that ended the owner's process."""
    partition = Partition(workers=1, cpu=8000)
    partition.list_known_runs("w0")
    partition.submit(StepRequest(count=1, cpu=2000, lasts=True))
    (step,) = partition.job().steps()
    enqueue_step(partition.state, step)
    (load,) = measure_pools(partition.state)
    assert load.lacking == 0


def test_needs_that_no_worker_meets_are_reported() -> None:
    """Guards against reporting a step that only waits together with those that fit no worker."""
    partition = Partition(workers=2, cpu=8000)
    partition.submit(
        StepRequest(count=1, cpu=100, estimated_ms=100, label="b"),
        StepRequest(count=1, cpu=9000, estimated_ms=100),
        StepRequest(count=9, cpu=8000, estimated_ms=100),
    )
    (load,) = measure_pools(partition.state)
    assert load.needs == [Need(label="b", cpu=100), Need(cpu=9000)]


def test_task_that_fits_beside_no_long_running_task_is_a_need() -> None:
    """Guards against a large task that waits for as long as long-running tasks hold each worker."""
    partition = Partition(workers=2, cpu=64_000)
    partition.submit(StepRequest(count=2, cpu=9000, lasts=True, max_per_worker=1), job_id=OTHER_JOB)
    partition.start_planned_runs()
    partition.submit(StepRequest(count=1, cpu=58_000, estimated_ms=500))
    assert measure_pools(partition.state)[0].needs == [Need(cpu=58_000)]


def test_workers_that_large_tasks_need_are_reserved_and_there_is_one_for_each() -> None:
    """Guards against taking away the one machine that a large task fits on, again and again."""
    partition = Partition(workers=2, cpu=64_000)
    partition.submit(StepRequest(count=1, cpu=9000, lasts=True), job_id=OTHER_JOB)
    (lasting,) = partition.start_planned_runs()
    partition.submit(StepRequest(count=3, cpu=58_000, estimated_ms=500))
    (large,) = partition.start_planned_runs()
    assert large.worker_id != lasting.worker_id
    (load,) = measure_pools(partition.state)
    assert load.reserved == [large.worker_id]
    assert load.needs == [Need(cpu=58_000)], "two tasks wait, and one worker can hold them"
    partition.tick(60_000)
    (load,) = measure_pools(partition.state)
    assert (load.reserved, load.needs) == ([large.worker_id], []), "worth nothing by now"


def test_no_worker_is_reserved_for_tasks_that_fit_beside_long_running_ones() -> None:
    partition = Partition(workers=2, cpu=64_000)
    partition.submit(StepRequest(count=1, cpu=9000, lasts=True), job_id=OTHER_JOB)
    partition.start_planned_runs()
    partition.submit(StepRequest(count=9, cpu=50_000, estimated_ms=500))
    (load,) = measure_pools(partition.state)
    assert (load.reserved, load.needs) == ([], [])


def test_task_that_fits_once_short_tasks_have_ended_is_no_need() -> None:
    partition = Partition(workers=2, cpu=64_000)
    partition.submit(StepRequest(count=2, cpu=9000, estimated_ms=500), job_id=OTHER_JOB)
    partition.start_planned_runs()
    partition.submit(StepRequest(count=2, cpu=58_000, estimated_ms=500))
    assert measure_pools(partition.state)[0].needs == []


def test_jobs_long_past_their_objective_request_no_machines() -> None:
    """Guards against machines for jobs that are too late to be useful to their callers."""
    partition = Partition(workers=1, cpu=8000)
    partition.submit(StepRequest(count=40, cpu=8000, estimated_ms=500))
    assert measure_pools(partition.state)[0].wanted_cpu == 40 * 8000
    partition.tick(60_000)
    assert measure_pools(partition.state)[0].wanted_cpu == 8000


def test_label_of_a_leaving_worker_becomes_a_need() -> None:
    partition = Partition(workers=2, cpu=8000)
    partition.submit(StepRequest(count=9, cpu=8000, estimated_ms=100, label="a"))
    assert measure_pools(partition.state)[0].needs == []
    partition.mark_leaving("w0", "w1")
    assert measure_pools(partition.state)[0].needs == [Need(label="a", cpu=8000)]


def test_unresponsive_worker_is_reported() -> None:
    """Guards against counting the capacity of a listed worker that doesn't answer."""
    partition = Partition(workers=2, cpu=8000)
    partition.fail_listing("w0")
    assert measure_pools(partition.state)[0].unheard == []
    partition.tick(CAPACITY_GRACE_MS)
    assert measure_pools(partition.state)[0].unheard == ["w0"]
    partition.list_known_runs("w0")
    assert measure_pools(partition.state)[0].unheard == []


def test_worker_without_an_entry_that_answers_is_reported() -> None:
    partition = Partition(workers=2, cpu=8000)
    del partition.entries["w0"]
    partition.list_workers()
    (load,) = measure_pools(partition.state)
    assert (list(load.workers), load.unlisted) == (["w1"], ["w0"])
    partition.fail_listing("w0")
    assert measure_pools(partition.state)[0].unlisted == []


def test_unresponsive_worker_of_a_leaving_machine_is_reported() -> None:
    """Guards against a machine that counts as on its way to a share while nobody can empty it."""
    partition = Partition(workers=2, cpu=8000)
    partition.mark_leaving("w0")
    partition.fail_listing("w0")
    partition.tick(CAPACITY_GRACE_MS)
    assert measure_pools(partition.state)[0].unheard == ["w0"]


def test_label_of_a_quarantined_worker_becomes_a_need() -> None:
    """Guards against a task that waits for as long as its only worker is put in quarantine."""
    partition = Partition(workers=1, cpu=8000)
    partition.submit(make_step(count=9, cpu=8000, label="a"))
    assert measure_pools(partition.state)[0].needs == []
    partition.state.workers["w0"].quarantined_until_ms = partition.now_ms + 5000
    assert measure_pools(partition.state)[0].needs == [Need(label="a", cpu=8000, memory_mb=100)]


def test_equal_needs_hide_no_other() -> None:
    """Guards against a need that isn't reported since several steps have the same one."""
    partition = Partition(workers=1, cpu=8000)
    steps = [make_step(cpu=9000) for _ in range(2 * MAX_NEEDS)]
    partition.submit(*steps, make_step(cpu=100, label="b"))
    needs = measure_pools(partition.state)[0].needs
    assert {need.label for need in needs} == {"", "b"}


def test_needs_beyond_the_limit_take_turns() -> None:
    """Guards against needs that no machine can ever meet, which hide one that some machine can."""
    partition = Partition(workers=1, cpu=8000)
    partition.submit(*[make_step(cpu=9000 + number) for number in range(3 * MAX_NEEDS)])
    partition.submit(make_step(cpu=100, label="b"), job_id=OTHER_JOB)
    reported = set()
    for _ in range(4):
        needs = measure_pools(partition.state)[0].needs
        assert len(needs) == MAX_NEEDS
        reported |= {need.label for need in needs}
        partition.tick(NEEDS_TURN_MS)
    assert reported == {"", "b"}


def make_starved(*steps: StepRequest) -> Partition:
    """Return a partition whose only worker is full, with one waiting job for each of these."""
    partition = Partition(workers=1, cpu=8000)
    partition.submit(make_step(count=9, cpu=8000))
    partition.start_planned_runs()
    for number, step in enumerate(steps):
        partition.submit(step, job_id=f"{number:016x}")
    return partition


def test_job_that_is_too_late_requests_a_machine_if_nothing_of_it_runs() -> None:
    """Guards against an accepted job that waits to the end while other shares' machines idle."""
    partition = make_starved(make_step(count=9, cpu=5000))
    assert measure_pools(partition.state)[0].starved == 0
    partition.tick(60_000)
    load = measure_pools(partition.state)[0]
    assert (load.wanted_cpu, load.starved) == (8000, 1)


def test_small_starved_jobs_share_a_machine() -> None:
    """Guards against a machine for each of many small jobs that are worth nothing any more."""
    partition = make_starved(*[make_step(count=9, cpu=2000) for _ in range(6)])
    partition.tick(60_000)
    assert measure_pools(partition.state)[0].starved == 2


def test_starved_jobs_larger_than_any_machine_request_none() -> None:
    partition = make_starved(make_step(cpu=9000), make_step(cpu=100, memory_mb=1 << 20))
    partition.tick(60_000)
    assert measure_pools(partition.state)[0].starved == 0


def test_jobs_larger_than_any_machine_hide_no_starved_one() -> None:
    """Guards against a job that requests no machine since others before it never can run."""
    partition = make_starved(*[make_step(cpu=9000) for _ in range(MAX_STARVED)])
    partition.submit(make_step(cpu=2000), job_id=f"{MAX_STARVED:016x}")
    partition.tick(60_000)
    assert measure_pools(partition.state)[0].starved == 1


def test_starved_task_with_a_label_is_a_need() -> None:
    """Guards against a task that waits for a worker with its label that is full for long."""
    partition = make_starved(make_step(cpu=2000, label="a"))
    assert measure_pools(partition.state)[0].needs == []
    partition.tick(STARVED_MS)
    load = measure_pools(partition.state)[0]
    assert (load.needs, load.starved) == ([Need(label="a", cpu=2000, memory_mb=100)], 0)


def test_outdated_entries_of_all_workers_make_no_job_starved() -> None:
    """Guards against moves of machines while the store is down, which would start nothing there."""
    partition = make_starved(make_step(cpu=2000))
    partition.now_ms += 60_000
    outdated = frozenset(partition.entries)
    partition.apply(Tick(**partition.event_times(), outdated=outdated))
    assert measure_pools(partition.state)[0].starved == 0
