"""Repeated jobs with many occurrences: guards against one that stops each owner in turn."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from heatherkeel.dispatch.const import MAX_STARTABLE_TASKS
from heatherkeel.dispatch.events import ForgetJob
from heatherkeel.dispatch.load import measure_pools
from heatherkeel.dispatch.models import JobState, Run
from heatherkeel.dispatch.progress_records import ProgressRecords
from heatherkeel.dispatch.records import (
    StoredProgress,
    StoredTask,
    decode_progress,
    encode_progress,
)
from heatherkeel.platform.callers import StepRequest
from heatherkeel.platform.workers import RunningTask

from .partition import JOB, OTHER_JOB, Partition, make_step
from .stored_progress import store_changed
from .test_recovery import take_over
from .work import count_lines

LATE_MS = 10_000_000_000
"""How long ago the first occurrence was due, in milliseconds."""
FEW, MANY = 1000, 1_000_000
FLAT = 1.25
"""Factor by which work may differ between few and many occurrences."""
SHAPES: dict[str, dict[str, Any]] = {
    "once a second": {"steps": (make_step(),), "interval_ms": 1000},
    "all at once": {"steps": (make_step(),), "interval_ms": 0},
    "two steps": {"steps": (make_step(), make_step(depends_on=(0,))), "interval_ms": 1000},
    "wide": {"steps": (make_step(count=50, cpu=100),), "interval_ms": 1000},
    "copies": {"steps": (make_step(may_copy=True),), "interval_ms": 1000},
    "gang": {"steps": (make_step(count=2, is_gang=True),), "interval_ms": 1000},
}


def make_partition(*jobs: str, shape: str = "once a second", times: int = FEW) -> Partition:
    """Return a partition with repeated jobs whose occurrences are all due."""
    partition = Partition()
    partition.tick(LATE_MS)
    for worker_id in partition.entries:
        partition.list_known_runs(worker_id)
    fields = dict(SHAPES[shape])
    steps: tuple[StepRequest, ...] = fields.pop("steps")
    for job_id in jobs:
        partition.submit(*steps, job_id=job_id, repeat_count=times, **fields)
    return partition


def continue_later(earlier: Partition, progress: bytes) -> Partition:
    """Return the next owner's partition, which goes on from a record of the job's progress."""
    later = take_over(earlier, progress=progress)
    later.ends = earlier.ends
    for worker_id in later.entries:
        later.list_known_runs(worker_id)
    later.tick(100)
    return later


def run_rounds(
    partition: Partition, rounds: int, *, started: set[tuple[str, int]] | None = None
) -> None:
    """Start what is planned, and end all that runs, the latest first; a tick ends each round."""
    for _ in range(rounds):
        partition.start_planned_runs()
        runs = [run for job in partition.state.jobs.values() for run in job.runs()]
        for run in reversed(runs):
            if started is not None:
                started.add(run.key())
            partition.end_run(run)
        partition.tick(100)


def measure_work(times: int, shape: str) -> dict[str, int]:
    """Return the lines of Python that the owner executes for each kind of event."""
    partition = make_partition(JOB, shape=shape, times=times)
    run_rounds(partition, 3)
    runs = [run for run in partition.start_planned_runs() if run in run.task.runs]
    progress = encode_progress(partition.job())
    records = ProgressRecords()
    records.list_changed(partition.job())
    return {
        "end": count_lines(lambda: partition.end_run(runs[0])),
        "tick": count_lines(lambda: partition.tick(100)),
        "load report": count_lines(lambda: measure_pools(partition.state)),
        "record": count_lines(lambda: ProgressRecords().list_changed(partition.job())),
        "next record": count_lines(lambda: records.list_changed(partition.job())),
        "recovery": count_lines(lambda: continue_later(partition, progress)),
        "cancel": count_lines(partition.cancel),
    }


@pytest.mark.parametrize("shape", SHAPES)
def test_work_does_not_grow_with_the_number_of_occurrences(shape: str) -> None:
    """Guards against an owner that answers nobody beside one job with many due occurrences."""
    few, many = measure_work(FEW, shape), measure_work(MANY, shape)
    assert {kind: lines for kind, lines in many.items() if lines > FLAT * few[kind]} == {}


def test_a_dozen_such_jobs_cost_what_may_run_of_each() -> None:
    """Guards against work that multiplies with several repeated jobs."""
    jobs = [f"{number:016x}" for number in range(1, 13)]
    partition = make_partition(*jobs, times=MANY)
    one = make_partition(JOB, times=MANY)
    lines = count_lines(lambda: measure_pools(partition.state))
    assert lines <= FLAT * len(jobs) * count_lines(lambda: measure_pools(one.state))
    waiting = sum(len(step.waiting()) for step in partition.state.pools["portal"].open_steps)
    assert waiting <= len(jobs) * MAX_STARTABLE_TASKS


@pytest.mark.parametrize("shape", SHAPES)
def test_record_does_not_grow_with_what_is_done(shape: str) -> None:
    """Guards against a record that outgrows the store, so that nothing is stored any more."""
    partition = make_partition(JOB, shape=shape, times=MANY)
    sizes, work, records = [], dict[str, bytes](), ProgressRecords()
    for _ in range(60):
        run_rounds(partition, 1)
        store_changed(records, partition.job(), work)
        sizes.append(sum(len(value) for value in work.values()))
    assert partition.job().folded.count() > 60
    # The numbers of occurrences become longer.
    assert max(sizes[20:]) <= FLAT * max(sizes[:20])


@pytest.mark.parametrize("shape", SHAPES)
def test_each_occurrence_runs_once_through_changes_of_owners(shape: str) -> None:
    """Guards against an occurrence that is left out or done again after a takeover."""
    times = 8 if shape == "wide" else 260
    partition = make_partition(JOB, shape=shape, times=times)
    started: set[tuple[str, int]] = set()
    for _ in range(times):
        run_rounds(partition, 2, started=started)
        if partition.job().state.is_final():
            break
        partition = continue_later(partition, encode_progress(partition.job()))
    assert partition.job().state is JobState.COMPLETE
    tasks = times * sum(step.count for step in partition.job().request.steps)
    assert len({name for name, _ in started}) == len(started) == tasks


def test_record_of_an_earlier_release_is_continued() -> None:
    """Guards against done occurrences that run again, or all that an earlier owner had begun."""
    partition = make_partition(JOB, times=20_000)
    rows = [
        StoredTask(
            occurrence=number,
            step=0,
            index=0,
            attempt=1,
            failed_attempts=[],
            is_done=number != 7,
            saved="",
            runs=[],
        )
        for number in (0, 1, 2, 7, 10, 11)
    ]
    earlier = StoredProgress(
        state=JobState.ACTIVE,
        queue="quotes",
        service="portal",
        accepted_wall_ms=partition.now_ms,
        begun=20_000,
        tasks=rows,
    )
    job = continue_later(partition, _encode(earlier)).job()
    assert job.folded.list_ranges() == [(0, 3), (10, 12)]
    assert 7 in job.occurrences
    assert len(job.occurrences) <= MAX_STARTABLE_TASKS + len(job.runs()) + 1


def _encode(progress: StoredProgress) -> bytes:
    value = msgspec.json.encode(progress)
    assert decode_progress(value).ok() == progress
    return value


def test_invalid_numbers_of_a_record_are_left_out() -> None:
    """Guards against an owner that ends on a record with occurrences that the job doesn't have."""
    partition = make_partition(JOB, times=3)
    row = StoredTask(
        occurrence=-1,
        step=0,
        index=0,
        attempt=1,
        failed_attempts=[],
        is_done=True,
        saved="",
        runs=[],
    )
    progress = StoredProgress(
        state=JobState.ACTIVE, queue="quotes", service="portal", accepted_wall_ms=0, tasks=[row]
    )
    assert sorted(continue_later(partition, _encode(progress)).job().occurrences) == [0, 1, 2]


def test_other_jobs_of_the_pool_go_on_beside_it() -> None:
    """Guards against a repeated job that keeps all capacity, and against one that gets none."""
    partition = make_partition(JOB, times=MANY)
    partition.submit(make_step(), job_id=OTHER_JOB)
    for _ in range(10):
        run_rounds(partition, 1)
    assert partition.job(OTHER_JOB).state is JobState.COMPLETE
    assert partition.job().folded.count() > 10


def test_late_run_of_a_folded_occurrence_keeps_the_job() -> None:
    """Guards against a live job whose request is dropped with a run that isn't known any more."""
    partition = make_partition(JOB, times=MANY)
    run_rounds(partition, 1)
    number = partition.job().folded.list_ranges()[0][0]
    stray = RunningTask(task=f"{JOB}.{number}.0.0", attempt=9, saved="", percent=1, figure=0)
    worker_id = next(iter(partition.entries))
    partition.list_runs(worker_id, stray)
    unknown: Run = partition.state.workers[worker_id].runs[(stray.task, 9)]
    partition.effects.clear()
    partition.end_run(unknown, "stopped")
    assert not any(isinstance(effect, ForgetJob) for effect in partition.effects)
