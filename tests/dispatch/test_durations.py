"""Tests of how the dispatcher measures durations and uses learned ones."""

from __future__ import annotations

from math import exp
from random import Random

import msgspec
import pytest

from heatherkeel.dispatch.building import critical_paths_ms, remaining_work
from heatherkeel.dispatch.events import DurationsOffered, ObserveDuration
from heatherkeel.dispatch.models import Job, Run
from heatherkeel.dispatch.records import decode_progress, decode_request, encode_progress
from heatherkeel.dispatch.recovery import StoredJobs, restore_jobs
from heatherkeel.dispatch.state import PartitionState
from heatherkeel.durations.messages import DurationsOffer, QueueRow
from heatherkeel.durations.models import StepEstimate, StepKind, StepTimes
from heatherkeel.platform.callers import StepRequest

from .partition import JOB, OTHER_JOB, Partition, make_entry, make_step

REAL_MS = 900


def teach(partition: Partition, *, off: float = 0.9, steps: int = 40) -> None:
    """Let steps end that took about 900 ms, while what was declared was off."""
    random = Random(4)
    for number in range(steps):
        times = StepTimes()
        for _ in range(4):
            times.add(REAL_MS * exp(random.gauss(0, 0.1)))
        declared_ms = round(REAL_MS * exp(random.gauss(0, off)))
        kind = StepKind(queue="quotes", content=number, declared_ms=declared_ms, tasks=4)
        partition.state.durations.record(kind, times, partition.now_ms)


def run_step(partition: Partition, step: StepRequest, took_ms: int = 700) -> list[Run]:
    """Submit a job with one step, and answer its starts; the clock then advances."""
    partition.submit(step)
    runs = partition.start_planned_runs()
    assert len(runs) == step.count
    partition.now_ms += took_ms
    for worker_id in partition.entries:
        partition.list_known_runs(worker_id)
    return runs


def end_all(partition: Partition, runs: list[Run]) -> None:
    for run in runs:
        # A listing was waiting for the end.
        partition.state.workers[run.worker_id].clock_received_ms = partition.now_ms
        partition.end_run_listed(run, run.answered_ms)


def count_learned(partition: Partition) -> int:
    return sum(round(known.own.steps) for known in partition.state.durations.queues.values())


def test_a_step_is_learned_once_all_its_tasks_are_done() -> None:
    partition = Partition()
    runs = run_step(partition, make_step(count=3))
    end_all(partition, runs[:2])
    assert count_learned(partition) == 0
    end_all(partition, runs[2:])
    assert count_learned(partition) == 1
    times = partition.job().occurrences[0][0].times
    assert exp(times.mean) == pytest.approx(700, rel=0.2)
    assert any(isinstance(effect, ObserveDuration) for effect in partition.effects)


def test_failed_stopped_and_canceled_runs_are_not_learned() -> None:
    partition = Partition(max_failures=9)
    runs = run_step(partition, make_step(count=2))
    for run, outcome in zip(runs, ("failed", "stopped"), strict=True):
        partition.end_run_listed(run, run.answered_ms, outcome=outcome)
    assert partition.job().occurrences[0][0].times.tasks == 0
    partition.cancel()
    assert count_learned(partition) == 0


def test_a_run_on_a_worker_that_was_unresponsive_is_not_learned() -> None:
    """Guards against the time of an outage being taken for the task's."""
    partition = Partition()
    runs = run_step(partition, make_step(count=1))
    partition.fail_listing(runs[0].worker_id)
    partition.list_known_runs(runs[0].worker_id)
    end_all(partition, runs)
    assert partition.job().state.is_final()
    assert count_learned(partition) == 0


def test_a_run_without_a_confirmed_start_is_not_learned() -> None:
    partition = Partition()
    partition.submit(make_step(count=1))
    run = partition.job().occurrences[0][0].tasks[0].runs[0]
    partition.now_ms += 700
    partition.end_run_listed(run, None)
    assert partition.job().state.is_final()
    assert count_learned(partition) == 0


def test_an_end_that_no_listing_waited_for_is_not_learned() -> None:
    """Guards against pauses between listings being taken for the task's time."""
    partition = Partition()
    runs = run_step(partition, make_step(count=1))
    partition.now_ms += 900
    begun_ms = runs[0].answered_ms
    partition.end_run_listed(runs[0], begun_ms)
    assert count_learned(partition) == 0


def test_a_run_that_continued_from_a_checkpoint_is_not_learned() -> None:
    partition = Partition(max_failures=9)
    runs = run_step(partition, make_step(count=1, saves=True))
    partition.end_run_listed(runs[0], runs[0].answered_ms, outcome="stopped", saved="half")
    again = partition.start_planned_runs()
    assert again[0].attempt == 2
    end_all(partition, again)
    assert partition.job().state.is_final()
    assert count_learned(partition) == 0


def test_a_run_away_from_its_data_is_not_learned() -> None:
    partition = Partition()
    partition.entries = {"w0": make_entry(rack="r2")}
    partition.list_workers()
    runs = run_step(partition, make_step(count=1, data_rack="r1"))
    end_all(partition, runs)
    assert count_learned(partition) == 0


def test_accepted_jobs_use_learned_durations() -> None:
    partition = Partition()
    teach(partition)
    partition.submit(make_step(count=4, cpu=1000, estimated_ms=9000))
    job = partition.job()
    step = job.occurrences[0][0]
    assert job.estimates is not None
    assert step.work < 4 * 4000
    longest_ms = job.estimates[0].longest_ms
    assert job.due_ms - job.accepted_ms == pytest.approx(1.6 * longest_ms + 600)
    assert step.latest_start_ms == pytest.approx(job.due_ms - longest_ms)
    pool = partition.state.pools["portal"]
    assert pool.arrivals[-1][1] == step.work


def test_good_declarations_are_served_as_before() -> None:
    """Guards against a change for queues whose callers declare durations well."""
    learned, plain = Partition(), Partition()
    teach(learned, off=0.2, steps=200)
    step = make_step(count=4, cpu=1000, estimated_ms=9000)
    jobs: list[Job] = []
    for partition in (learned, plain):
        partition.submit(step)
        jobs.append(partition.job())
    assert jobs[0].estimates is None
    assert jobs[0].due_ms == jobs[1].due_ms
    steps = [job.occurrences[0][0] for job in jobs]
    assert (steps[0].work, steps[0].latest_start_ms) == (steps[1].work, steps[1].latest_start_ms)


def test_a_small_job_declared_as_large_goes_first_in_a_backlog() -> None:
    """Guards against wrong declarations that put short jobs behind long ones under load."""
    partition = Partition(workers=1, cpu=8000)
    teach(partition)
    partition.submit(make_step(count=1, cpu=8000, estimated_ms=900), job_id="0" * 15 + "1")
    partition.start_planned_runs()
    # Really 900 ms each, in all 40 tasks: declared as a tenth; and one task declared as much more.
    partition.submit(make_step(count=40, cpu=8000, estimated_ms=90), job_id=OTHER_JOB)
    partition.submit(make_step(count=1, cpu=8000, estimated_ms=5000), job_id=JOB)
    order = partition.state.pools["portal"].open_steps.in_order(partition.now_ms)
    assert [step.job.id for step in order] == [JOB, OTHER_JOB]


def test_a_new_owner_keeps_the_objective_of_a_started_job() -> None:
    """Guards against objectives that change with the owner, whose own estimates differ."""
    partition = Partition()
    teach(partition)
    partition.submit(make_step(count=2, estimated_ms=9000))
    job = partition.job()
    stored = decode_progress(encode_progress(job)).unwrap()
    request = decode_request(
        msgspec.json.encode(
            {
                "queue": job.queue,
                "service": job.service,
                "accepted_wall_ms": job.accepted_wall_ms,
                "request": msgspec.to_builtins(job.request),
            }
        )
    ).unwrap()
    state = PartitionState(token=9, lease_ms=6000, status_ms=1000)
    state.queues = partition.state.queues
    state.now_ms, state.wall_ms = 50_000, partition.now_ms
    restore_jobs(state, StoredJobs(requests={JOB: request}, progress={JOB: stored}))
    restored = state.jobs[JOB]
    objective_ms = job.due_ms - job.accepted_ms
    assert restored.due_ms - restored.accepted_ms == pytest.approx(objective_ms)
    assert restored.occurrences[0][0].work == job.occurrences[0][0].work


def test_records_stay_the_same_without_learned_durations() -> None:
    partition = Partition()
    partition.submit(make_step(count=2))
    assert b"estimates" not in encode_progress(partition.job())


def test_stored_estimates_of_another_number_of_steps_are_ignored() -> None:
    partition = Partition()
    teach(partition)
    partition.submit(make_step(count=2))
    stored = decode_progress(encode_progress(partition.job())).unwrap()
    step = make_step()
    longer = msgspec.structs.replace(partition.job().request, steps=(step, step))
    assert stored.usable_estimates(longer) is None


def test_paths_and_work_by_estimates() -> None:
    steps = (make_step(count=2, cpu=500), make_step(count=1, cpu=1000, depends_on=(0,)))
    estimates = [StepEstimate(task_ms=100, longest_ms=150), StepEstimate(task_ms=40, longest_ms=40)]
    assert critical_paths_ms(steps, estimates) == [190, 40]
    assert remaining_work(steps, estimates) == [140, 40]
    assert critical_paths_ms(steps) == [1000, 500]


def make_offer(teacher: Partition) -> DurationsOffer:
    sums = teacher.state.durations.queues["quotes"].own
    return DurationsOffer(
        relay=3, owner=0, since=0, queues=[QueueRow(queue="quotes", sums=sums.to_row())]
    )


def test_a_new_owner_revises_jobs_that_it_accepted_before_it_heard_from_others() -> None:
    """Guards against objectives by declared durations for all jobs that wait at a hand-over."""
    teacher, partition = Partition(), Partition(workers=1, cpu=8000)
    teach(teacher)
    partition.submit(make_step(count=1, cpu=8000, estimated_ms=900), job_id="0" * 15 + "1")
    partition.start_planned_runs()
    waiting = [make_step(count=2, cpu=8000), make_step(depends_on=(0,), estimated_ms=9000)]
    partition.submit(*waiting, job_id=JOB)
    started = partition.job("0" * 15 + "1")
    due_ms = started.due_ms
    partition.now_ms += 1000
    offer = make_offer(teacher)
    partition.apply(DurationsOffered(**partition.event_times(), offer=offer))
    job = partition.job()
    assert job.estimates is not None
    path_ms = sum(estimate.longest_ms for estimate in job.estimates)
    assert job.due_ms - job.accepted_ms == pytest.approx(1.6 * path_ms + 600)
    assert job.occurrences[0][0].latest_start_ms == pytest.approx(job.due_ms - path_ms)
    open_steps = partition.state.pools["portal"].open_steps
    assert list(open_steps) == [job.occurrences[0][0]]
    assert open_steps.work_in_time == pytest.approx(job.occurrences[0][0].work)
    assert (started.due_ms, started.estimates) == (due_ms, None)


def test_accepted_jobs_keep_their_objective_later() -> None:
    """Guards against objectives that change whenever others have learned something."""
    teacher, partition = Partition(), Partition(workers=1, cpu=8000)
    teach(teacher)
    for number in (1, 2):
        partition.submit(make_step(cpu=8000, estimated_ms=9000), job_id=f"{number:016x}")
    job = partition.job(f"{2:016x}")
    due_ms = job.due_ms
    partition.now_ms += 10_000
    partition.apply(DurationsOffered(**partition.event_times(), offer=make_offer(teacher)))
    assert partition.state.durations.queues["quotes"].is_used
    assert (job.due_ms, job.estimates) == (due_ms, None)


@pytest.mark.parametrize("waits_ms", [0, 1000, 2500])
def test_objectives_of_late_waiting_jobs_are_revised(waits_ms: int) -> None:
    """Guards against a process that ends since a late job's place in the order isn't found."""
    teacher, partition = Partition(), Partition(workers=1, cpu=8000)
    teach(teacher)
    for number in (1, 2):
        partition.submit(make_step(cpu=8000, estimated_ms=50), job_id=f"{number:016x}")
    partition.tick(waits_ms)
    partition.apply(DurationsOffered(**partition.event_times(), offer=make_offer(teacher)))
    assert partition.job(f"{2:016x}").estimates is not None
    partition.cancel(f"{2:016x}")
    assert not list(partition.state.pools["portal"].open_steps)
