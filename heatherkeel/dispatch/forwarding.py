"""Jobs that are accepted in this partition and that another one runs.

A queue's jobs are always accepted in the partitions of its first service, so that one owner knows
whether an ID was accepted. If a later version of the configuration gives the queue another service,
that owner forwards the records of callers to the partition that has the service's workers. The same
is done for jobs that were relocated.
"""

from __future__ import annotations

import logging

from heatherkeel.platform.callers import JobRequest

from .events import (
    DropRecord,
    Effects,
    ForgetJob,
    ForwardedJobForgotten,
    ForwardRecord,
    JobCanceled,
    JobSubmitted,
    RecordForwarded,
    SaveJob,
)
from .models import ForwardedJob, Job
from .records import (
    CANCEL_PREFIX,
    CANCEL_VALUE,
    REQUEST_PREFIX,
    StoredRequest,
    encode_request,
    make_caller_key,
    make_relocated_key,
)
from .registry import handles
from .state import PartitionState

_LOGGER = logging.getLogger(__name__)


def forward_submission(state: PartitionState, event: JobSubmitted, effects: Effects) -> bool:
    """Forward a submission, if another partition runs its job; returns whether one does.

    The first submission decides on the partition and the service. Later ones with the same ID
    are forwarded there too, whatever they say: that owner drops a job that it knows.
    """
    job = state.forwarded.get(event.job_id)
    if job is None:
        if event.partition is None or state.find_job(event.job_id) is not None:
            return False
        job = _add_forwarded(state, event, effects)
    if job.workspace != event.workspace:
        log_taken_id(job, event)
        effects.add(DropRecord(key=make_caller_key(REQUEST_PREFIX, event.job_id, event.workspace)))
        return True
    if job.moves:
        _handle_repeated(job, event, effects)
    else:
        _forward(job, _make_request_key(job), _encode_forwarded_request(job, event), effects)
    return True


def _handle_repeated(job: ForwardedJob, event: JobSubmitted, effects: Effects) -> None:
    """Drop a request of a relocated job, but hand the job over again if that may not be stored."""
    if job.settled_ms is None and job.progress is not None:
        forward_relocated(job, event.request, effects)
    else:
        effects.add(DropRecord(key=_make_request_key(job)))


def forward_cancel(state: PartitionState, event: JobCanceled, effects: Effects) -> bool:
    """Forward a cancellation, if another partition runs the job; returns whether one does."""
    job = state.forwarded.get(event.job_id)
    if job is None:
        return False
    key = make_caller_key(CANCEL_PREFIX, event.job_id, event.workspace)
    if job.workspace and job.workspace != event.workspace:
        effects.add(DropRecord(key=key))
    else:
        job.is_canceled = True
        _forward(job, key, CANCEL_VALUE, effects)
    return True


@handles(RecordForwarded)
def handle_forwarded(state: PartitionState, event: RecordForwarded, effects: Effects) -> None:
    """Delete a record that is stored in the other partition."""
    job = state.forwarded.get(event.job_id)
    if job is not None and job.moves:
        if event.key == make_relocated_key(job.id, job.workspace, moves=job.moves):
            settle_relocated(state, job, effects)
        # A cancellation is kept: the job may be on its way back here.
        return
    if job is not None and event.key == _make_request_key(job) and job.settled_ms is None:
        job.settled_ms = state.now_ms
    effects.add(DropRecord(key=event.key))


@handles(ForwardedJobForgotten)
def forget_forwarded(state: PartitionState, event: ForwardedJobForgotten, effects: Effects) -> None:
    """Forget a job that the other partition has forgotten."""
    job = state.forwarded.pop(event.job_id, None)
    if job is not None:
        effects.add(ForgetJob(job_id=job.id, workspace=job.workspace, only_request=False))
        forget_relocated(job, effects)


def _add_forwarded(state: PartitionState, event: JobSubmitted, effects: Effects) -> ForwardedJob:
    assert event.partition is not None, "only jobs of other partitions are forwarded"
    job = ForwardedJob(
        id=event.job_id,
        queue=event.queue,
        service=event.service,
        workspace=event.workspace,
        accepted_wall_ms=event.accepted_wall_ms,
        partition=event.partition,
        terms=event.terms,
    )
    state.forwarded[job.id] = job
    effects.add(SaveJob(job_id=job.id))
    _LOGGER.info(
        "job forwarded: its queue's service has other partitions",
        extra={
            "event": "job_forwarded",
            "job": job.id,
            "queue": job.queue,
            "service": job.service,
            "partition": job.partition,
            "version": event.version,
        },
    )
    return job


def _make_request_key(job: ForwardedJob) -> str:
    return make_caller_key(REQUEST_PREFIX, job.id, job.workspace)


def _encode_forwarded_request(job: ForwardedJob, event: JobSubmitted) -> bytes:
    return encode_request(
        StoredRequest(
            queue=job.queue,
            service=job.service,
            accepted_wall_ms=job.accepted_wall_ms,
            version=event.version,
            workspace=job.workspace,
            partition=job.partition,
            terms=job.terms,
            request=event.request,
        )
    )


def _forward(job: ForwardedJob, key: str, value: bytes, effects: Effects) -> None:
    effects.add(ForwardRecord(job_id=job.id, partition=job.partition, key=key, value=value))


def forward_relocated(job: ForwardedJob, request: JobRequest, effects: Effects) -> None:
    """Store a relocated job in the partition that runs it now."""
    assert job.progress is not None, "it is relocated"
    stored = StoredRequest(
        queue=job.queue,
        service=job.service,
        accepted_wall_ms=job.accepted_wall_ms,
        workspace=job.workspace,
        partition=job.partition,
        terms=job.terms,
        request=request,
        progress=job.progress,
    )
    key = make_relocated_key(job.id, job.workspace, moves=job.moves)
    effects.add(
        ForwardRecord(job_id=job.id, partition=job.partition, key=key, value=encode_request(stored))
    )


def settle_relocated(state: PartitionState, job: ForwardedJob, effects: Effects) -> None:
    """Delete what is left of a job's request here, as the other partition has it."""
    job.settled_ms = state.now_ms
    effects.add(DropRecord(key=make_caller_key(REQUEST_PREFIX, job.id, job.workspace)))
    if job.moves > 1:
        key = make_relocated_key(job.id, job.workspace, moves=job.moves - 1)
        effects.add(DropRecord(key=key))


def forget_relocated(job: ForwardedJob, effects: Effects) -> None:
    """Delete the cancellation of a relocated job, which was kept in case that it came back."""
    if job.moves:
        effects.add(ForgetJob(job_id=job.id, workspace=job.workspace, only_request=True))


def log_taken_id(known: Job | ForwardedJob, event: JobSubmitted) -> None:
    """Log a submission whose ID another workspace's job has: tasks are named by that ID."""
    _LOGGER.warning(
        "job ID is in use by another workspace; its job never runs",
        extra={
            "event": "job_id_taken",
            "job": event.job_id,
            "workspace": event.workspace,
            "job_workspace": known.workspace,
        },
    )
