"""Snapshot of the records and effects of a job whose lease expires."""

from __future__ import annotations

from syrupy.assertion import SnapshotAssertion

from heatherkeel.core.models import Effect, RecordBody, to_jsonable
from heatherkeel.jobs.models import JobChanged, StartTask, StopTask
from heatherkeel.jobs.records import (
    JobResolve,
    LossEvidence,
    Resolution,
    TaskEnded,
    TaskExit,
    TaskLost,
    TaskStarted,
)

from .conftest import JOB, TEAM, Fleet


def test_ledger_job_after_an_expired_lease(snapshot: SnapshotAssertion) -> None:
    # The worker is partitioned while the job runs, its lease expires and the worker reboots, so
    # the job's progress is unknown. The owner decides to run it again.
    fleet = Fleet()
    lines: list[str] = []

    def append(body: RecordBody) -> None:
        fleet.now_ms += 1_000
        fleet.accept(body)
        lines.append(f"{fleet.now_ms:6} {type(body).__name__}")
        lines.extend(f"         {_describe(effect)}" for effect in fleet.effects)

    def lost(evidence: LossEvidence) -> TaskLost:
        return TaskLost(task=task, expected_version=fleet.job().version, evidence=evidence)

    fleet.submit()
    append(fleet.placement("w0"))
    task = fleet.task()
    append(TaskStarted(task=task))
    append(lost(LossEvidence.LEASE_LAPSED))
    append(lost(LossEvidence.TASK_GONE))
    version = fleet.job().version
    resolved = Resolution.RUN_AGAIN
    append(JobResolve(job=JOB, team=TEAM, expected_version=version, resolution=resolved))
    append(fleet.placement("w1"))
    append(TaskStarted(task=fleet.task()))
    append(TaskEnded(task=fleet.task(), exit=TaskExit.SUCCEEDED))
    lines.append(str(to_jsonable(fleet.state.jobs.finished)))
    assert "\n".join(lines) == snapshot


def _describe(effect: Effect) -> str:
    match effect:
        case JobChanged():
            return f"{effect.job} v{effect.version} {effect.status} {effect.reason}".rstrip()
        case StartTask() | StopTask():
            return f"{type(effect).__name__} {effect.task} on {effect.instance}"
    return type(effect).__name__
