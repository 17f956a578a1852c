"""Expired leases: no job runs twice, and the capacity of abandoned tasks stays reserved."""

from __future__ import annotations

import pytest

from heatherkeel.core.models import RejectReason
from heatherkeel.jobs.models import JobStatus, StopTask
from heatherkeel.jobs.records import (
    CheckpointCause,
    JobCheckpoint,
    JobResolve,
    LossEvidence,
    Resolution,
    TaskCheckpointed,
    TaskEnded,
    TaskExit,
    TaskLost,
    TaskProvedNotStarted,
    TaskStarted,
)

from .conftest import JOB, TEAM, Fleet, spec_of

EXPIRED = LossEvidence.LEASE_LAPSED
GONE = LossEvidence.TASK_GONE


def lost(fleet: Fleet, evidence: LossEvidence, task: str | None = None) -> TaskLost:
    job = fleet.state.jobs.live.get(JOB)
    version = 1 if job is None else job.version
    return TaskLost(task=task or fleet.task(), expected_version=version, evidence=evidence)


def resolve(fleet: Fleet, resolution: Resolution) -> JobResolve:
    return JobResolve(
        job=JOB, team=TEAM, expected_version=fleet.job().version, resolution=resolution
    )


def test_a_job_with_an_expired_lease_waits_for_proof(fleet: Fleet) -> None:
    # The worker is partitioned while the task runs, and reconnects. Starting the job again in the
    # meantime would write the ledger twice.
    task = fleet.run("w0")
    fleet.accept(lost(fleet, EXPIRED))
    assert fleet.status() is JobStatus.UNKNOWN
    assert fleet.job().reason == "lease lapsed on w0: it may have run, or be running"
    assert fleet.refuse(fleet.placement("w1")) is RejectReason.WRONG_STATE
    fleet.accept(TaskStarted(task=task))
    assert fleet.status() is JobStatus.RUNNING
    fleet.end(task)
    assert fleet.status() is JobStatus.SUCCEEDED


def test_an_unknown_job_that_never_started_runs_again(fleet: Fleet) -> None:
    fleet.submit()
    fleet.place("w0")
    fleet.accept(lost(fleet, EXPIRED))
    fleet.accept(TaskProvedNotStarted(task=fleet.task()))
    fleet.end(fleet.run("w1"))
    assert fleet.status() is JobStatus.SUCCEEDED


def test_an_unknown_job_that_was_seen_running_is_not_proved_unstarted(fleet: Fleet) -> None:
    # The platform lost its record of the start and now reports that the task never started.
    task = fleet.run("w0")
    fleet.accept(lost(fleet, EXPIRED))
    assert fleet.refuse(TaskProvedNotStarted(task=task)) is RejectReason.WRONG_STATE
    assert fleet.status() is JobStatus.UNKNOWN


def test_a_task_that_is_gone_leaves_the_decision_to_the_owner(fleet: Fleet) -> None:
    # The worker rebooted; the task no longer runs, but may have written the ledger.
    fleet.run("w0")
    fleet.accept(lost(fleet, GONE))
    assert fleet.status() is JobStatus.UNKNOWN
    assert fleet.state.jobs.loads == {}
    fleet.accept(resolve(fleet, Resolution.RUN_AGAIN))
    fleet.end(fleet.run("w1"))
    assert fleet.status() is JobStatus.SUCCEEDED


def test_an_owner_who_gives_up_ends_an_unknown_job(fleet: Fleet) -> None:
    task = fleet.run("w0")
    fleet.accept(lost(fleet, EXPIRED))
    fleet.accept(resolve(fleet, Resolution.GIVE_UP))
    assert fleet.status() is JobStatus.FAILED
    assert [effect.task for effect in fleet.effects if isinstance(effect, StopTask)] == [task]
    # The worker's capacity isn't released before the platform reports the end of the task.
    assert fleet.state.jobs.loads["w0"].tasks == 1
    fleet.end(task, TaskExit.STOPPED)
    assert fleet.state.jobs.loads == {}


def test_placement_refuses_a_second_run(fleet: Fleet, monkeypatch: pytest.MonkeyPatch) -> None:
    # A faulty expiry rule queues the job again. The placement must be refused; with that check
    # disabled as well, the invariant check finds the second run.
    fleet.run("w0")
    monkeypatch.setattr("heatherkeel.jobs.tasks.may_run_again", lambda _: True)
    fleet.accept(lost(fleet, GONE))
    fleet.now_ms += 60_000
    assert fleet.refuse(fleet.placement("w1")) is RejectReason.CONFLICT
    monkeypatch.setattr("heatherkeel.jobs.placing.may_run_again", lambda _: True)
    with pytest.raises(AssertionError, match="non_idempotent_job_runs_at_most_once"):
        fleet.append(fleet.placement("w1"))


def test_an_idempotent_job_runs_again_and_its_old_task_stays_reserved(fleet: Fleet) -> None:
    # The worker reconnects with its task still running. Its memory must still be reserved, and
    # the old task is stopped as soon as it is reported.
    fleet.submit(JOB, spec_of(idempotent=True, memory_mib=3_000))
    old = fleet.run("w0")
    fleet.accept(lost(fleet, EXPIRED))
    fleet.now_ms += 60_000
    assert fleet.refuse(fleet.placement("w0")) is RejectReason.IN_USE
    fleet.run("w1")
    fleet.accept(TaskStarted(task=old))
    assert [effect.task for effect in fleet.effects if isinstance(effect, StopTask)] == [old]
    fleet.accept(lost(fleet, GONE, old))
    assert list(fleet.state.jobs.loads) == ["w1"]


def test_a_late_success_of_a_queued_job_counts(fleet: Fleet) -> None:
    fleet.submit(JOB, spec_of(idempotent=True))
    old = fleet.run("w0")
    fleet.accept(lost(fleet, EXPIRED))
    fleet.end(old)
    assert fleet.status() is JobStatus.SUCCEEDED


def test_a_paused_observer_cannot_report_an_outdated_expiry(fleet: Fleet) -> None:
    # An entry instance is paused and reports an expired lease after the worker is back and the
    # job runs again. Its report has an outdated version.
    task = fleet.run("w0")
    late = lost(fleet, EXPIRED)
    fleet.accept(lost(fleet, EXPIRED))
    fleet.accept(TaskStarted(task=task))
    assert fleet.refuse(late) is RejectReason.STALE_VERSION
    assert fleet.status() is JobStatus.RUNNING


def test_a_drained_job_resumes_on_another_worker(fleet: Fleet) -> None:
    fleet.submit(JOB, spec_of(checkpointable=True))
    task = fleet.run("w0")
    job = fleet.job()
    ask = JobCheckpoint(
        job=JOB, attempt=1, expected_version=job.version, cause=CheckpointCause.DRAIN
    )
    assert fleet.refuse(ask) is RejectReason.WRONG_STATE
    fleet.drain("w0")
    fleet.accept(ask)
    fleet.accept(TaskCheckpointed(task=task, saved=True, stopped=True))
    assert fleet.status() is JobStatus.QUEUED and fleet.job().failures == 0
    fleet.run("w1")
    assert fleet.job().checkpoint == task and fleet.job().resumed
    # While the resumed task may still run, the job is unknown; once it is gone, the job resumes.
    fleet.accept(lost(fleet, EXPIRED))
    assert fleet.status() is JobStatus.UNKNOWN
    fleet.accept(lost(fleet, GONE))
    fleet.end(fleet.run("w2"))
    assert fleet.status() is JobStatus.SUCCEEDED


def test_evidence_after_the_end_changes_nothing(fleet: Fleet) -> None:
    task = fleet.run("w0")
    fleet.end(task)
    for body in (
        TaskStarted(task=task),
        TaskEnded(task=task, exit=TaskExit.FAILED),
        lost(fleet, GONE, task),
        TaskCheckpointed(task=task, saved=True, stopped=True),
    ):
        assert fleet.refuse(body) is RejectReason.NOT_FOUND
