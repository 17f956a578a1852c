"""Compares the platform's tasks with the fold: records to write and effects to repeat.

Any entry instance can do this for any job, so the effects of a crashed process aren't lost.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from heatherkeel.core.models import RecordBody
from heatherkeel.core.state import FleetState
from heatherkeel.fleetlog.tasks import ReportedExit, TaskState, TaskView

from .const import (
    CHECKPOINT_RETRY_MS,
    MAX_BATCH,
    MAX_VIEW_LAG_MS,
    START_GRACE_MS,
    USAGE_CHANGE_PERCENT,
)
from .models import (
    ACTIVE_STATUSES,
    Job,
    JobStatus,
    StopTask,
    TaskEffect,
    job_id_of_task,
    latest_task_id,
)
from .placing import start_task
from .records import (
    LossEvidence,
    TaskCheckpointed,
    TaskEnded,
    TaskExit,
    TaskLost,
    TaskProvedNotStarted,
    TaskStarted,
    UsageReport,
    UsageSample,
)
from .transitions import checkpoint_task, stop_task

_UNCONFIRMED_STATUSES = (JobStatus.PLACED, JobStatus.UNKNOWN)


@dataclass(frozen=True, kw_only=True, slots=True)
class _TrackedTask:
    """A task that the fold tracks; `job` is None if the task was abandoned."""

    job: Job | None
    instance: str


def observation_records(state: FleetState, views: Iterable[TaskView]) -> list[RecordBody]:
    """Return the records of what the views show and the fold doesn't know yet."""
    records: list[RecordBody] = []
    samples: list[UsageSample] = []
    for view in views:
        tracked = _find_tracked_task(state, view.task)
        if tracked is None:
            continue
        record = _observation_record(view, tracked.job)
        if record is not None:
            records.append(record)
        elif tracked.job is not None and _has_usage_increased(view, tracked.job):
            samples.append(_usage_sample(view))
    for start in range(0, len(samples), MAX_BATCH):
        records.append(UsageReport(samples=tuple(samples[start : start + MAX_BATCH])))
    return records


def find_due_effects(
    state: FleetState,
    views: Mapping[str, TaskView],
    placer: str,
    *,
    jobs: Mapping[str, Job] | None = None,
    now_ms: int = 0,
) -> list[TaskEffect]:
    """Return the effects that the fold requested and the platform's views don't show.

    A start is repeated by any process after a grace period for the placer. After its window it
    is replaced by a stop, which proves that the task never ran.
    `jobs` limits the jobs to check; `now_ms` is the caller's estimate of log time.
    """
    now_ms = max(now_ms, state.now_ms)
    effects: list[TaskEffect] = []
    for job_id, job in (state.jobs.live if jobs is None else jobs).items():
        if job.status is JobStatus.QUEUED:
            continue
        effect = _find_due_effect(
            now_ms, views.get(latest_task_id(job_id, job)), placer, job_id, job
        )
        if effect is not None:
            effects.append(effect)
    for task, orphan in state.jobs.orphans.items():
        view = views.get(task)
        if view is None or view.state is TaskState.RUNNING:
            effects.append(StopTask(task=task, job=orphan.job, instance=orphan.instance))
    return effects


def _find_tracked_task(state: FleetState, task: str) -> _TrackedTask | None:
    orphan = state.jobs.orphans.get(task)
    if orphan is not None:
        return _TrackedTask(job=None, instance=orphan.instance)
    job_id = job_id_of_task(task)
    job = state.jobs.live.get(job_id)
    if job is None or job.status is JobStatus.QUEUED or latest_task_id(job_id, job) != task:
        return None
    return _TrackedTask(job=job, instance=job.instance)


def _observation_record(view: TaskView, job: Job | None) -> RecordBody | None:
    """Return the record of what one view shows; `job` is None for an abandoned task."""
    match view.state:
        case TaskState.RUNNING:
            unconfirmed = job is not None and job.status in _UNCONFIRMED_STATUSES
            return TaskStarted(task=view.task) if unconfirmed else None
        case TaskState.VOID if view.exit is ReportedExit.REFUSED:
            return TaskEnded(
                task=view.task, exit=TaskExit.REFUSED, ran=False, detail=view.detail[:200]
            )
        case TaskState.VOID:
            return TaskProvedNotStarted(task=view.task)
        case TaskState.ENDED if view.exit is ReportedExit.CHECKPOINTED:
            return TaskCheckpointed(task=view.task, saved=True, stopped=True)
        case TaskState.ENDED:
            return _ended_record(view)
        case TaskState.LAPSED:
            if job is None or job.status not in ACTIVE_STATUSES:
                return None
            return _lost_record(view, job.version, LossEvidence.LEASE_LAPSED)
        case TaskState.GONE:
            if job is not None and job.reserved is None:
                return None
            version = 1 if job is None else job.version
            return _lost_record(view, version, LossEvidence.TASK_GONE)


def _ended_record(view: TaskView) -> TaskEnded:
    return TaskEnded(
        task=view.task,
        exit=TaskExit(view.exit),
        retryable=view.retryable,
        peak_memory_mib=view.peak_memory_mib,
        cpu_millicores=view.cpu_millicores,
        detail=view.detail[:200],
    )


def _lost_record(view: TaskView, version: int, evidence: LossEvidence) -> TaskLost:
    return TaskLost(task=view.task, expected_version=version, evidence=evidence)


def _has_usage_increased(view: TaskView, job: Job) -> bool:
    """Return whether usage rose enough for a record, to limit the load on the log."""
    step = job.peak_memory_mib * USAGE_CHANGE_PERCENT // 100
    if view.peak_memory_mib > job.peak_memory_mib + step:
        return True
    step = job.peak_cpu_millicores * USAGE_CHANGE_PERCENT // 100
    return view.cpu_millicores > job.peak_cpu_millicores + step


def _usage_sample(view: TaskView) -> UsageSample:
    return UsageSample(
        task=view.task,
        peak_memory_mib=view.peak_memory_mib,
        cpu_millicores=view.cpu_millicores,
    )


def _find_due_effect(
    now_ms: int, view: TaskView | None, placer: str, job_id: str, job: Job
) -> TaskEffect | None:
    since_ms = now_ms - job.changed_ms
    running = view is not None and view.state is TaskState.RUNNING
    if job.cancelling and (view is None or running):
        return stop_task(job_id, job)
    if job.status is JobStatus.CHECKPOINTING and running and since_ms >= CHECKPOINT_RETRY_MS:
        return checkpoint_task(job_id, job)
    if view is not None or job.started_ms > 0:
        return None
    if job.status is JobStatus.UNKNOWN:
        return stop_task(job_id, job)
    if job.status is not JobStatus.PLACED:
        return None
    if job.placer != placer and since_ms < START_GRACE_MS:
        return None
    start = start_task(job_id, job)
    if now_ms <= start.not_after_ms:
        return start
    # After its window a start would be refused, and a stop proves that the task never ran. Views
    # may lag, so wait before that: a task that did start must not be stopped.
    lag_has_passed = now_ms > start.not_after_ms + MAX_VIEW_LAG_MS
    return stop_task(job_id, job) if lag_has_passed else None
