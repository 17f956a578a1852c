"""Jobs whose workers fall silent: a lease that has expired says nothing about the job."""

from __future__ import annotations

from heatherkeel.core.models import RejectReason
from heatherkeel.jobs.const import MAX_START_FAILURES, QUARANTINE_MS, RETRY_MAX_MS
from heatherkeel.jobs.models import JobStatus
from heatherkeel.jobs.records import (
    JobUnplaceable,
    LossEvidence,
    TaskEnded,
    TaskExit,
    TaskLost,
    TaskProvedNotStarted,
    TaskStarted,
)
from heatherkeel.pools.models import InstanceGone

from .conftest import JOB, Fleet, spec_of

ATTEMPTS = 3


def fall_silent(fleet: Fleet, worker: str) -> str:
    """Run the job on a worker, let its lease expire, and return the abandoned task."""
    task = fleet.run(worker)
    fleet.accept(lost(fleet, task, LossEvidence.LEASE_LAPSED))
    return task


def lost(fleet: Fleet, task: str, evidence: LossEvidence) -> TaskLost:
    return TaskLost(task=task, expected_version=fleet.job().version, evidence=evidence)


def submit_repeatable_job(fleet: Fleet) -> None:
    fleet.submit(JOB, spec_of(memory_mib=10, idempotent=True, max_attempts=ATTEMPTS))


def test_a_job_whose_workers_only_fall_silent_isnt_failed(fleet: Fleet) -> None:
    # Guards against a job that is shown as failed though none of its attempts is known to have.
    submit_repeatable_job(fleet)
    for number in range(2 * ATTEMPTS):
        fall_silent(fleet, f"w{number % 3}")
    assert fleet.status() is JobStatus.QUEUED
    assert fleet.job().failures == 0
    fleet.end(fleet.run("w0"))
    assert fleet.status() is JobStatus.SUCCEEDED


def test_a_job_whose_workers_fall_silent_waits_longer_each_time(fleet: Fleet) -> None:
    # Guards against a job that takes one worker after the other within seconds.
    submit_repeatable_job(fleet)
    waits = []
    for number in range(12):
        fall_silent(fleet, f"w{number % 3}")
        waits.append(fleet.job().not_before_ms - fleet.now_ms)
    assert waits[:3] == [1_000, 2_000, 4_000]
    assert waits[-1] == RETRY_MAX_MS


def test_a_job_whose_silent_workers_prove_to_be_gone_fails_at_its_limit(fleet: Fleet) -> None:
    # Guards against a job that crashes one worker after the other without end.
    submit_repeatable_job(fleet)
    for number in range(ATTEMPTS):
        task = fall_silent(fleet, f"w{number}")
        fleet.accept(lost(fleet, task, LossEvidence.TASK_GONE))
    finished = fleet.state.jobs.finished[JOB]
    assert finished.status is JobStatus.FAILED
    assert finished.reason == f"attempt {ATTEMPTS} of {ATTEMPTS}: gone with w2"


def test_a_failure_that_is_heard_late_counts_against_the_limit(fleet: Fleet) -> None:
    # Guards against a failing job that runs without end, since its workers report late.
    submit_repeatable_job(fleet)
    for number in range(ATTEMPTS):
        task = fall_silent(fleet, f"w{number}")
        fleet.accept(TaskEnded(task=task, exit=TaskExit.FAILED))
    assert fleet.status() is JobStatus.FAILED


def test_an_abandoned_task_that_was_stopped_counts_as_no_failure(fleet: Fleet) -> None:
    # Guards against failing a job because its abandoned tasks were stopped on our own request.
    submit_repeatable_job(fleet)
    for number in range(ATTEMPTS):
        task = fall_silent(fleet, f"w{number}")
        fleet.accept(TaskStarted(task=task))
        fleet.accept(TaskEnded(task=task, exit=TaskExit.STOPPED))
    assert fleet.status() is JobStatus.QUEUED


def test_late_failures_dont_end_a_job_that_runs(fleet: Fleet) -> None:
    # Guards against stopping an attempt that may succeed; its own end decides.
    submit_repeatable_job(fleet)
    tasks = [fall_silent(fleet, f"w{number}") for number in range(ATTEMPTS)]
    current = fleet.run("w0")
    for task in tasks:
        fleet.accept(lost(fleet, task, LossEvidence.TASK_GONE))
    assert fleet.status() is JobStatus.RUNNING
    fleet.end(current)
    assert fleet.status() is JobStatus.SUCCEEDED


def test_a_job_whose_starts_reach_no_worker_isnt_failed(fleet: Fleet) -> None:
    # Guards against failing a job because its workers can't be reached for an hour.
    submit_repeatable_job(fleet)
    for number in range(2 * MAX_START_FAILURES):
        fleet.place(f"w{number % 3}")
        fleet.accept(TaskProvedNotStarted(task=fleet.task()))
    assert fleet.status() is JobStatus.QUEUED
    assert fleet.job().not_before_ms - fleet.now_ms == RETRY_MAX_MS
    fleet.end(fleet.run("w0"))
    assert fleet.status() is JobStatus.SUCCEEDED


def test_a_job_that_all_workers_refuse_fails_at_the_limit(fleet: Fleet) -> None:
    # Guards against a job that is offered to workers without end.
    submit_repeatable_job(fleet)
    for number in range(MAX_START_FAILURES):
        fleet.now_ms += QUARANTINE_MS
        fleet.place(f"w{number % 3}")
        fleet.end(fleet.task(), TaskExit.REFUSED, ran=False)
    assert fleet.status() is JobStatus.FAILED


def test_a_job_whose_large_worker_is_being_replaced_isnt_failed(fleet: Fleet) -> None:
    # Guards against failing a job as too large while the worker that it ran on is away.
    fleet.admit("w3", memory_mib=9_000)
    fleet.submit(JOB, spec_of(memory_mib=8_000, idempotent=True))
    fall_silent(fleet, "w3")
    fleet.accept(InstanceGone(instance="w3", boot_id="boot"))
    assert fleet.refuse(JobUnplaceable(jobs=(JOB,))) is RejectReason.CONFLICT
    fleet.admit("w4", memory_mib=9_000)
    fleet.end(fleet.run("w4"))
    assert fleet.status() is JobStatus.SUCCEEDED
