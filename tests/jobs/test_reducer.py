"""Decisions of the fold about submissions, placements and retries."""

from __future__ import annotations

import pytest

from heatherkeel.catalogue.models import TeamEntry
from heatherkeel.core.models import RejectReason
from heatherkeel.core.registry import find_violations
from heatherkeel.jobs.const import FINISHED_RETENTION_MS
from heatherkeel.jobs.models import JobStatus, StartTask, StopTask, ThrottleTask
from heatherkeel.jobs.records import (
    JobCancel,
    JobPlace,
    JobSubmit,
    JobUnplaceable,
    TaskEnded,
    TaskExit,
    TaskProvedNotStarted,
    TaskStarted,
    UsageReport,
    UsageSample,
)

from .conftest import JOB, TEAM, Fleet, put, spec_of


def test_a_job_runs_from_submission_to_success(fleet: Fleet) -> None:
    task = fleet.run("w0")
    fleet.end(task, peak_memory_mib=500)
    assert fleet.status() is JobStatus.SUCCEEDED
    assert fleet.state.jobs.loads == {} and fleet.state.jobs.teams == {}


def test_a_resubmission_finds_the_same_job(fleet: Fleet) -> None:
    # The answer to a submission is lost and the owner submits again: during the run, after it,
    # and with another spec. The job must not run a second time.
    task = fleet.run("w0")
    assert fleet.accept(JobSubmit(job=JOB, team=TEAM, spec=spec_of())).version == 3
    fleet.end(task)
    fleet.accept(JobSubmit(job=JOB, team=TEAM, spec=spec_of()))
    assert fleet.status() is JobStatus.SUCCEEDED
    other = JobSubmit(job=JOB, team=TEAM, spec=spec_of(memory_mib=7))
    assert fleet.refuse(other) is RejectReason.ALREADY_EXISTS


def test_a_finished_job_is_removed_after_its_retention(fleet: Fleet) -> None:
    # A job with the same id is submitted after the old one was removed. With the same task id,
    # the platform could report the old task's result for the new job.
    old = fleet.run("w0")
    fleet.end(old)
    fleet.now_ms += FINISHED_RETENTION_MS
    fleet.submit("sheetal:other")
    assert JOB not in fleet.state.jobs.finished
    fleet.submit()
    fleet.place("w1")
    assert fleet.task() != old


def test_the_first_of_two_racing_placements_wins(fleet: Fleet) -> None:
    # Two entry instances place the same version of a job on different workers. The second
    # placement must not start a task.
    fleet.submit()
    first, second = fleet.placement("w0"), fleet.placement("w1")
    fleet.accept(first)
    assert any(isinstance(effect, StartTask) for effect in fleet.effects)
    assert fleet.refuse(second) is RejectReason.STALE_VERSION
    assert fleet.effects == []


def test_racing_placements_do_not_overcommit_a_worker(fleet: Fleet) -> None:
    # Two placers see 4,000 MiB free on a worker, and each places a job of 3,000 MiB there.
    fleet.submit("sheetal:a", spec_of(memory_mib=3_000))
    fleet.submit("sheetal:b", spec_of(memory_mib=3_000))
    fleet.accept(fleet.placement("w0", "sheetal:a"))
    assert fleet.refuse(fleet.placement("w0", "sheetal:b")) is RejectReason.IN_USE


def test_without_the_check_in_the_fold_a_worker_is_overcommitted(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The invariant check must find what the safeguard in the previous test prevents.
    monkeypatch.setattr("heatherkeel.jobs.placing.find_shortage", lambda *_: None)
    for name in ("sheetal:a", "sheetal:b"):
        fleet.submit(name, spec_of(memory_mib=3_000))
    fleet.accept(fleet.placement("w0", "sheetal:a"))
    with pytest.raises(AssertionError, match="worker_capacity_holds_for_jobs"):
        fleet.accept(fleet.placement("w0", "sheetal:b"))
    assert [found.where for found in find_violations(fleet.state)] == ["w0"]


def test_racing_placements_do_not_exceed_a_quota(fleet: Fleet) -> None:
    # The quota suffices for one of two jobs that are placed on different workers.
    fleet.accept(put(TEAM, TeamEntry(owner=TEAM, cpu_quota=8, memory_quota_mib=1_500), version=1))
    for name in ("sheetal:a", "sheetal:b"):
        fleet.submit(name)
    fleet.accept(fleet.placement("w0", "sheetal:a"))
    assert fleet.refuse(fleet.placement("w1", "sheetal:b")) is RejectReason.QUOTA


def test_a_draining_worker_gets_no_new_job(fleet: Fleet) -> None:
    fleet.submit()
    fleet.drain("w0")
    assert fleet.refuse(fleet.placement("w0")) is RejectReason.IN_USE


def test_retries_wait_longer_each_time_and_end_at_the_limit(fleet: Fleet) -> None:
    fleet.submit(JOB, spec_of(idempotent=True, max_attempts=3))
    waits = []
    for worker in ("w0", "w1"):
        fleet.end(fleet.run(worker), TaskExit.FAILED)
        waits.append(fleet.job().not_before_ms - fleet.now_ms)
        assert fleet.refuse(fleet.placement("w2")) is RejectReason.CONFLICT
    fleet.end(fleet.run("w2"), TaskExit.FAILED, detail="no disk")
    assert waits == [1_000, 2_000]
    finished = fleet.state.jobs.finished[JOB]
    assert finished.status is JobStatus.FAILED
    assert finished.reason == "attempt 3 of 3: failed on w2 no disk"


def test_a_job_that_never_started_keeps_its_attempts(fleet: Fleet) -> None:
    # A worker refuses a job with a single attempt. It didn't run, so another worker may run it.
    fleet.submit(JOB, spec_of(max_attempts=1))
    fleet.place("w0")
    fleet.end(fleet.task(), TaskExit.REFUSED, ran=False)
    fleet.place("w1")
    fleet.accept(TaskProvedNotStarted(task=fleet.task()))
    fleet.end(fleet.run("w2"))
    assert fleet.status() is JobStatus.SUCCEEDED


def test_a_task_seen_running_cannot_be_proved_not_to_have_run(fleet: Fleet) -> None:
    # If two reports of the platform contradict each other, the one that the task ran must count,
    # or the ledger would be written twice.
    task = fleet.run("w0")
    assert fleet.refuse(TaskProvedNotStarted(task=task)) is RejectReason.WRONG_STATE
    fleet.end(task, TaskExit.REFUSED, ran=False)
    assert fleet.status() is JobStatus.FAILED


def test_many_jobs_are_cancelled_by_one_record(fleet: Fleet) -> None:
    names = [f"sheetal:j{number}" for number in range(900)]
    for name in names:
        fleet.submit(name)
    running = fleet.run("w0", names[0])
    fleet.accept(JobCancel(jobs=(*names, "sheetal:nobody"), team=TEAM))
    assert {fleet.status(name) for name in names[1:]} == {JobStatus.CANCELLED}
    # A job with a task isn't cancelled before the platform reports the end of the task.
    assert [effect.task for effect in fleet.effects if isinstance(effect, StopTask)] == [running]
    assert fleet.status(names[0]) is JobStatus.RUNNING
    fleet.end(running, TaskExit.STOPPED)
    assert fleet.status(names[0]) is JobStatus.CANCELLED
    foreign = JobCancel(jobs=("agency:x",), team=TEAM)
    assert fleet.refuse(foreign) is RejectReason.NOT_OWNER


def test_a_job_that_can_never_run_ends_with_the_reason(fleet: Fleet) -> None:
    # No worker of the pool is large enough, so the job would stay queued forever.
    fleet.submit(JOB, spec_of(memory_mib=5_000))
    fleet.submit("sheetal:fits")
    fleet.accept(JobUnplaceable(jobs=(JOB, "sheetal:fits")))
    assert fleet.status("sheetal:fits") is JobStatus.QUEUED
    assert fleet.state.jobs.finished[JOB].reason == "larger than any worker of pool night"
    assert fleet.refuse(JobUnplaceable(jobs=("sheetal:fits",))) is RejectReason.CONFLICT


def test_a_job_that_missed_its_latest_start_ends(fleet: Fleet) -> None:
    fleet.submit(JOB, spec_of(not_after_ms=2_000))
    fleet.now_ms = 2_001
    assert fleet.refuse(fleet.placement("w0")) is RejectReason.EXPIRED
    fleet.accept(JobUnplaceable(jobs=(JOB,)))
    assert fleet.status() is JobStatus.FAILED


def test_sizes_are_learned_from_what_a_family_used(fleet: Fleet) -> None:
    # Jobs declare 1,000 MiB and use 2,000. Placed by declared size, four jobs on a worker with
    # 4,000 MiB would run out of memory.
    for number in range(3):
        name = f"sheetal:day{number}"
        fleet.end(fleet.run("w0", name), peak_memory_mib=2_000, cpu_millicores=100)
    fleet.submit()
    fleet.place("w1")
    reserved = fleet.job().reserved
    assert reserved is not None
    assert (reserved.memory_mib, reserved.cpu_millicores) == (2_300, 115)


def test_a_learned_size_above_every_worker_is_limited_to_one(fleet: Fleet) -> None:
    # Without the limit, a job that fits by its declared size would wait forever.
    for number in range(3):
        fleet.end(fleet.run("w0", f"sheetal:day{number}"), peak_memory_mib=9_000)
    fleet.run("w1")
    reserved = fleet.job().reserved
    assert reserved is not None and reserved.memory_mib == 4_000


def test_usage_above_the_reservation_reduces_free_capacity(fleet: Fleet) -> None:
    # A task uses 3,500 MiB of its reserved 1,000, so the next job doesn't fit on this worker.
    task = fleet.run("w0")
    sample = UsageSample(task=task, peak_memory_mib=3_500, cpu_millicores=5_000)
    fleet.accept(UsageReport(samples=(sample,)))
    assert [type(effect) for effect in fleet.effects] == [ThrottleTask]
    fleet.submit("sheetal:next")
    assert fleet.refuse(fleet.placement("w0", "sheetal:next")) is RejectReason.IN_USE
    fleet.end(task)
    assert fleet.refuse(UsageReport(samples=(sample,))) is RejectReason.NOT_FOUND
    fleet.place("w0", "sheetal:next")


def test_reports_about_another_attempt_change_nothing(fleet: Fleet) -> None:
    fleet.submit(JOB, spec_of(idempotent=True))
    old = fleet.run("w0")
    fleet.end(old, TaskExit.FAILED)
    fleet.run("w1")
    assert fleet.refuse(TaskEnded(task=old, exit=TaskExit.SUCCEEDED)) is RejectReason.WRONG_STATE
    assert fleet.refuse(TaskStarted(task=old)) is RejectReason.WRONG_STATE
    late = UsageSample(task=old, peak_memory_mib=3_500, cpu_millicores=1)
    assert fleet.refuse(UsageReport(samples=(late,))) is RejectReason.NOT_FOUND
    assert fleet.status() is JobStatus.RUNNING


def test_a_placement_with_another_task_id_is_refused(fleet: Fleet) -> None:
    fleet.submit()
    good = fleet.placement("w0")
    bad = JobPlace(
        job=JOB,
        attempt=1,
        expected_version=1,
        instance="w0",
        task="sheetal:ledger:0:2",
        placer="entry1",
    )
    assert good.task != bad.task
    assert fleet.refuse(bad) is RejectReason.WRONG_STATE
