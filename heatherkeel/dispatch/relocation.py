"""Hands jobs that nothing in their partition can run over to another partition of their service.

Machines and jobs are divided between a service's partitions without regard to labels and sizes. So
the only machine with a label may be in another partition than a job that requires it.

A job is handed over while no run of it exists, with its progress. Each hand-over has a number, and
a partition takes a job back only under a higher one than it knows of, so that a record that is
appended twice or late starts nothing a second time.
"""

from __future__ import annotations

import logging
from itertools import islice

import msgspec

from .const import (
    MAX_RELOCATED,
    STRANDED_AGAIN_MS,
    STRANDED_INTERVAL_MS,
    STRANDED_MS,
)
from .events import (
    CountRelocated,
    DropRecord,
    Effects,
    FindShares,
    JobArrived,
    SaveJob,
    SharesFound,
)
from .forwarding import forward_relocated
from .jobs import end_job
from .models import ForwardedJob, Job, JobState
from .pools import find_pool
from .progress_records import count_rows
from .records import RECORD_MARGIN_BYTES, make_progress, make_relocated_key
from .recovery import restore_job
from .registry import handles
from .state import PartitionState
from .stranded import find_stranded, list_waiting

_LOGGER = logging.getLogger(__name__)


def look_for_stranded(state: PartitionState, effects: Effects) -> None:
    """Count the jobs that nothing here can run, and look for other partitions for them."""
    if state.now_ms - state.stranded_ms < STRANDED_INTERVAL_MS:
        return
    state.stranded_ms = state.now_ms
    stranded = list(find_stranded(state))
    state.stranded = len(stranded)
    due = (job for job in stranded if _is_due(state, job))
    job_ids = tuple(job.id for job in islice(due, MAX_RELOCATED))
    if job_ids and state.can_start:
        effects.add(FindShares(job_ids=job_ids))


def _is_due(state: PartitionState, job: Job) -> bool:
    """Return whether a job has waited for long enough to be handed over."""
    waits_ms = state.now_ms - max(step.waiting_since_ms for step in list_waiting(job))
    return waits_ms >= (STRANDED_AGAIN_MS if job.moves else STRANDED_MS)


@handles(SharesFound)
def hand_over_jobs(state: PartitionState, event: SharesFound, effects: Effects) -> None:
    """Hand jobs over to the partitions that have workers for them."""
    for job_id, partition in event.partitions.items():
        job = state.jobs.get(job_id)
        if job is not None and not job.has_runs() and _is_portable(state, job):
            _hand_over(state, job, partition, effects)


def _is_portable(state: PartitionState, job: Job) -> bool:
    """Return whether all of a job fits in the one record by which it is handed over."""
    if job.rows_per_record and count_rows(job):
        return False
    size = len(msgspec.json.encode(job.request)) + len(msgspec.json.encode(make_progress(job)))
    return size + RECORD_MARGIN_BYTES <= state.record_bytes


def _hand_over(state: PartitionState, job: Job, partition: int, effects: Effects) -> None:
    job.moves += 1
    forwarded = ForwardedJob(
        id=job.id,
        queue=job.queue,
        service=job.service,
        workspace=job.workspace,
        accepted_wall_ms=job.accepted_wall_ms,
        partition=partition,
        terms=job.terms,
        moves=job.moves,
        progress=make_progress(job),
    )
    _remove_job(state, job)
    state.forwarded[job.id] = forwarded
    # Stored first: the next owner here must not run the job beside the other partition's.
    effects.add(SaveJob(job_id=job.id))
    forward_relocated(forwarded, job.request, effects)
    effects.add(CountRelocated())
    _LOGGER.info(
        "job handed over: nothing in this partition can run it",
        extra={
            "event": "job_relocated",
            "job": job.id,
            "queue": job.queue,
            "service": job.service,
            "partition": partition,
            "moves": job.moves,
            "steps": [
                {"step": step.name(), "label": step.request.label, "cpu": step.request.cpu}
                for step in list_waiting(job)
            ],
        },
    )


def _remove_job(state: PartitionState, job: Job) -> None:
    del state.jobs[job.id]
    pool = find_pool(state, job.service)
    for step in job.steps():
        pool.open_steps.discard(step)
        for task in step.tasks:
            state.paused.pop(task, None)


@handles(JobArrived)
def add_arrived_job(state: PartitionState, event: JobArrived, effects: Effects) -> None:
    """Take a job over from another partition, unless this one knows it or has had it later."""
    forwarded = state.forwarded.get(event.job_id)
    moves = event.progress.moves
    if forwarded is not None and moves <= forwarded.moves:
        _handle_earlier_arrival(forwarded, event, effects)
        return
    known = state.find_job(event.job_id)
    if known is not None:
        if known.state.is_final():
            drop_arrival(event, effects)
        return
    state.forwarded.pop(event.job_id, None)
    job = restore_job(state, event.job_id, event.progress, event.stored)
    effects.add(SaveJob(job_id=job.id))
    effects.touch(job.service)
    _LOGGER.info(
        "job taken over from another partition",
        extra={
            "event": "job_arrived",
            "job": job.id,
            "queue": job.queue,
            "service": job.service,
            "moves": moves,
            "state": job.state.value,
        },
    )
    if forwarded is not None and forwarded.is_canceled:
        end_job(state, job, JobState.CANCELED, effects)


def _handle_earlier_arrival(forwarded: ForwardedJob, event: JobArrived, effects: Effects) -> None:
    """Hand a job over again that an earlier owner here may not have handed over."""
    if forwarded.settled_ms is None and forwarded.progress is not None:
        forward_relocated(forwarded, event.stored.request, effects)
    else:
        drop_arrival(event, effects)


def drop_arrival(event: JobArrived, effects: Effects) -> None:
    """Delete the record by which a job was handed over to this partition."""
    key = make_relocated_key(event.job_id, event.stored.workspace, moves=event.progress.moves)
    effects.add(DropRecord(key=key))
