"""A job's progress in records that the store takes, of which each change stores a few."""

from __future__ import annotations

import pytest

from heatherkeel.dispatch.models import JobState, Run
from heatherkeel.dispatch.progress_records import MAX_ROW_BYTES, MAX_ROWS, ProgressRecords
from heatherkeel.dispatch.records import (
    PROGRESS_PREFIX,
    REQUEST_PREFIX,
    StoredRequest,
    encode_progress,
    encode_request,
)
from heatherkeel.dispatch.recovery import read_records, restore_jobs
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.settings import DEFAULT_RECORD_BYTES
from heatherkeel.platform.workers import MAX_SAVED_CHARS

from .partition import JOB, Partition, make_step, started_runs
from .stored_progress import restore_progress_records, store_changed

MANY = 20_000
CHANGED_RECORDS = 3
"""A change of one task concerns its record and the job's; one more is for a further task."""


def start(tasks: int, *, record_bytes: int = DEFAULT_RECORD_BYTES) -> tuple[Partition, list[Run]]:
    """Return a partition in which all tasks of one job run."""
    partition = Partition(workers=1, cpu=10**7)
    partition.state.record_bytes = record_bytes
    partition.submit(make_step(count=tasks, cpu=1, memory_mb=0))
    return partition, partition.start_planned_runs()


def end(partition: Partition, run: Run) -> None:
    """End a run, as one of the next listing."""
    run.task.is_done = True
    run.task.step.done += 1
    run.task.remove_run(run)


def take_over(partition: Partition, work: dict[str, bytes]) -> tuple[Partition, ProgressRecords]:
    """Return the partition as its next owner restores it, and what that knows of the records."""
    job = partition.job()
    request = StoredRequest(
        queue=job.queue, service=job.service, accepted_wall_ms=1000, request=job.request
    )
    records = {f"{REQUEST_PREFIX}{JOB}": encode_request(request)} | work
    stored = read_records(
        [
            KeyedRecord(key=key, value=value, offset=offset)
            for offset, (key, value) in enumerate(records.items())
        ]
    )
    later = Partition(workers=0)
    later.now_ms = later.state.now_ms = later.state.wall_ms = partition.now_ms
    later.entries = dict(partition.entries)
    later.list_workers()
    restore_jobs(later.state, stored)
    return later, restore_progress_records(stored)


@pytest.mark.parametrize("record_bytes", [4096, DEFAULT_RECORD_BYTES])
@pytest.mark.parametrize("tasks", [1, 64, 65, 300, MANY])
def test_no_record_is_larger_than_the_store_takes(tasks: int, record_bytes: int) -> None:
    """Guards against an append that is refused for ever, with all that is behind it."""
    partition, runs = start(tasks, record_bytes=record_bytes)
    for run in runs:
        run.task.saved = "x" * MAX_SAVED_CHARS
        run.task.failed_attempts = set(range(1, 60))
    work: dict[str, bytes] = {}
    store_changed(ProgressRecords(), partition.job(), work)
    assert max(len(key) + 1 + len(value) for key, value in work.items()) <= record_bytes


def test_a_change_stores_what_has_changed() -> None:
    """Guards against the whole progress of a large job in each append."""
    partition, runs = start(MANY)
    records, work = ProgressRecords(), dict[str, bytes]()
    store_changed(records, partition.job(), work)
    for run in (runs[0], runs[5], runs[-1]):
        end(partition, run)
        changed = records.list_changed(partition.job())
        assert len(changed) <= CHANGED_RECORDS
        assert sum(len(record.value) for record in changed) < MAX_ROWS * MAX_ROW_BYTES / 10
    assert len(records.list_changed(partition.job())) == 1


@pytest.mark.parametrize("tasks", [1, 64, 65, 300, 6000])
def test_next_owner_restores_all_records(tasks: int) -> None:
    """Guards against tasks that are done again since their record was left out."""
    partition, runs = start(tasks)
    for number, run in enumerate(runs):
        if number % 3 == 0:
            end(partition, run)
        elif number % 3 == 1:
            run.task.failed_attempts = {1}
            run.task.unclear_losses = 1
    work: dict[str, bytes] = {}
    store_changed(ProgressRecords(), partition.job(), work)
    later, records = take_over(partition, work)
    assert encode_progress(later.job()) == encode_progress(partition.job())
    # It stores again only what changes.
    assert len(records.list_changed(later.job())) == 1


def test_record_of_an_earlier_release_is_restored_and_replaced() -> None:
    """Guards against tasks that are done again after an upgrade."""
    partition, runs = start(300)
    for run in runs[::2]:
        end(partition, run)
    whole = encode_progress(partition.job())
    later, records = take_over(partition, {f"{PROGRESS_PREFIX}{JOB}": whole})
    assert encode_progress(later.job()) == whole
    work: dict[str, bytes] = {}
    store_changed(records, later.job(), work)
    again, _ = take_over(partition, work)
    assert encode_progress(again.job()) == whole


def test_records_that_an_earlier_release_has_outdated_are_ignored() -> None:
    """Guards against ends that an owner of an earlier release has stored and that are forgotten."""
    partition, runs = start(300)
    work: dict[str, bytes] = {}
    store_changed(ProgressRecords(), partition.job(), work)
    for run in runs:
        end(partition, run)
    work[f"{PROGRESS_PREFIX}{JOB}"] = encode_progress(partition.job())
    later, records = take_over(partition, work)
    assert all(step.is_done() for step in later.job().steps())
    store_changed(records, later.job(), work)
    again, _ = take_over(partition, work)
    assert all(step.is_done() for step in again.job().steps())


def test_records_of_tasks_are_deleted_with_their_job() -> None:
    """Guards against records of ended jobs that fill the store."""
    partition, runs = start(300)
    records, work = ProgressRecords(), dict[str, bytes]()
    store_changed(records, partition.job(), work)
    assert len(work) > 1
    for run in runs:
        end(partition, run)
    store_changed(records, partition.job(), work)
    partition.job().state = JobState.COMPLETE
    store_changed(records, partition.job(), work)
    assert list(work) == [f"{PROGRESS_PREFIX}{JOB}"]


def test_done_tasks_are_not_encoded_again() -> None:
    """Guards against work for each append that grows with what is done."""
    partition, runs = start(6000)
    for run in runs[:-1]:
        end(partition, run)
    records, work = ProgressRecords(), dict[str, bytes]()
    store_changed(records, partition.job(), work)
    assert len(records.settled[JOB]) == 6000 // MAX_ROWS
    later, _ = take_over(partition, work)
    assert encode_progress(later.job()) == encode_progress(partition.job())
    assert not started_runs(later.effects)
