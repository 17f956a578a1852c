"""Restores a partition's state from its stored records."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from functools import partial
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from heatherkeel.ownership.const import TTL_MS
from heatherkeel.platform.callers import JobRequest
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.operator import WorkerEntry

from .building import estimate_kept_bytes, set_objective
from .const import LEASE_MS, SLOWEST_CLOCK
from .incarnations import add_worker
from .items import blame_job
from .models import ForwardedJob, Job, Run, RunState
from .occurrences import find_begin_ms
from .pools import enqueue_step
from .progress_records import choose_rows, parse_rows_key
from .records import (
    CANCEL_PREFIX,
    PROGRESS_PREFIX,
    RELOCATED_PREFIX,
    REQUEST_PREFIX,
    ROWS_PREFIX,
    StoredProgress,
    StoredRequest,
    decode_progress,
    decode_request,
    decode_rows,
    parse_caller_key,
    parse_relocated_id,
    restore_progress,
)
from .state import PartitionState
from .suspicion import pause_if_unclear
from .worker import Worker

_LOGGER = logging.getLogger(__name__)
RecordT = TypeVar("RecordT")


@dataclass(kw_only=True, slots=True)
class StoredJobs:
    """The stored records of a partition's jobs, by job ID."""

    requests: dict[str, StoredRequest] = field(default_factory=dict)
    progress: dict[str, StoredProgress] = field(default_factory=dict)
    canceled: dict[str, str] = field(default_factory=dict)
    """The workspace of the caller who canceled each job."""
    duplicates: dict[str, list[StoredRequest]] = field(default_factory=dict)
    """Later requests with the job ID of another workspace's job."""
    rows: dict[str, dict[str, bytes]] = field(default_factory=dict)
    """The records of their tasks, by job ID and key."""
    arrivals: dict[str, StoredRequest] = field(default_factory=dict)
    """The jobs that other partitions have handed over, by their last hand-over to this one."""

    def apply_arrivals(self) -> None:
        """Take what was handed over later as the progress of a job, and its request if needed."""
        for job_id, arrival in self.arrivals.items():
            assert arrival.progress is not None, "it was handed over"
            known = self.progress.get(job_id)
            if known is None or known.moves < arrival.progress.moves:
                self.progress[job_id] = arrival.progress
                self.requests[job_id] = arrival
            else:
                self.requests.setdefault(job_id, arrival)

    def apply_rows(self) -> None:
        """Add the tasks that are stored in records of their own to the jobs' progress.

        An owner of an earlier release stores all tasks in the job's record, and leaves the other
        records as they were, so that these are outdated.
        """
        for job_id, records in self.rows.items():
            progress = self.progress.get(job_id)
            if progress is None or not progress.rows:
                continue
            tasks, losses = list(progress.tasks), list(progress.losses)
            for key, value in records.items():
                match decode_rows(value):
                    case Ok(rows):
                        tasks += rows.tasks
                        losses += rows.losses
                    case Err(detail):
                        _log_unreadable(key, detail)
            self.progress[job_id] = msgspec.structs.replace(progress, tasks=tasks, losses=losses)

    def settle_duplicates(self) -> None:
        """Choose the requests that belong to the stored progress, where there are several."""
        for job_id, requests in self.duplicates.items():
            progress = self.progress.get(job_id)
            if progress is None or self.requests[job_id].workspace == progress.workspace:
                continue
            for request in requests:
                if request.workspace == progress.workspace:
                    self.requests[job_id] = request


def read_records(records: list[KeyedRecord]) -> StoredJobs:
    """Decode records by kind; those that can't be decoded are logged and skipped."""
    stored = StoredJobs()
    for record in sorted(records, key=lambda record: record.offset):
        if not record.value:
            continue
        kind = record.key[:1]
        job_id, workspace = parse_caller_key(record.key)
        if kind == REQUEST_PREFIX:
            _add_request(stored, job_id, record.value)
        elif kind == RELOCATED_PREFIX:
            _add_arrival(stored, parse_relocated_id(record.key), record.value)
        elif kind == PROGRESS_PREFIX:
            _add_decoded(decode_progress(record.value), stored.progress, job_id)
        elif kind == CANCEL_PREFIX:
            stored.canceled[job_id] = workspace
        elif kind == ROWS_PREFIX:
            stored.rows.setdefault(parse_rows_key(record.key), {})[record.key] = record.value
    stored.apply_rows()
    stored.settle_duplicates()
    return stored


def _add_request(stored: StoredJobs, job_id: str, value: bytes) -> None:
    """Add a request; the first workspace that uses a job ID has the job."""
    decoded: dict[str, StoredRequest] = {}
    _add_decoded(decode_request(value), decoded, job_id)
    request = decoded.get(job_id)
    if request is None:
        return
    known = stored.requests.get(job_id)
    if known is not None and known.workspace != request.workspace:
        stored.duplicates.setdefault(job_id, []).append(request)
    else:
        stored.requests[job_id] = request


def _add_arrival(stored: StoredJobs, job_id: str, value: bytes) -> None:
    """Add a job that was handed over, unless a later hand-over of it is known."""
    decoded: dict[str, StoredRequest] = {}
    _add_decoded(decode_request(value), decoded, job_id)
    arrival = decoded.get(job_id)
    if arrival is None or arrival.progress is None:
        return
    known = stored.arrivals.get(job_id)
    if known is None or known.progress is None or known.progress.moves < arrival.progress.moves:
        stored.arrivals[job_id] = arrival


def _add_decoded(decoded: Result[RecordT, str], records: dict[str, RecordT], job_id: str) -> None:
    match decoded:
        case Ok(record):
            records[job_id] = record
        case Err(detail):
            _log_unreadable(job_id, detail)


def _log_unreadable(name: str, detail: str) -> None:
    _LOGGER.error(
        "stored record can't be decoded",
        extra={"event": "record_unreadable", "job": name, "detail": detail},
    )


def restore_jobs(state: PartitionState, stored: StoredJobs) -> None:
    """Restore every job with stored progress, in the order of acceptance."""
    in_order = sorted(stored.progress.items(), key=lambda item: item[1].accepted_wall_ms)
    for job_id, progress in in_order:
        with blame_job(job_id):
            _restore(state, job_id, progress, stored.requests.get(job_id))


def _restore(
    state: PartitionState, job_id: str, progress: StoredProgress, request: StoredRequest | None
) -> None:
    if progress.forwarded_to is not None:
        _restore_forwarded(state, job_id, progress, is_settled=request is None)
    elif progress.state.is_final() and (request is None or not progress.tasks):
        state.finished[job_id] = _restore_ended(state, job_id, progress)
    elif request is None:
        _LOGGER.error(
            "stored job has progress but no request; it can't be restored",
            extra={"event": "request_missing", "job": job_id},
        )
    else:
        restore_job(state, job_id, progress, request)


def _restore_forwarded(
    state: PartitionState, job_id: str, progress: StoredProgress, *, is_settled: bool
) -> None:
    """Restore a job that another partition runs; a request that is left is forwarded again."""
    assert progress.forwarded_to is not None, "it is forwarded"
    state.forwarded[job_id] = ForwardedJob(
        id=job_id,
        queue=progress.queue,
        service=progress.service,
        workspace=progress.workspace,
        accepted_wall_ms=progress.accepted_wall_ms,
        partition=progress.forwarded_to,
        terms=progress.terms,
        settled_ms=state.now_ms if is_settled else None,
        moves=progress.moves,
        progress=progress if progress.moves else None,
    )


def _restore_ended(state: PartitionState, job_id: str, progress: StoredProgress) -> Job:
    return Job(
        id=job_id,
        queue=progress.queue,
        service=progress.service,
        workspace=progress.workspace,
        request=JobRequest(),
        accepted_ms=state.now_ms,
        accepted_wall_ms=progress.accepted_wall_ms,
        state=progress.state,
        moves=progress.moves,
        ended_ms=state.now_ms,
        shown_ms=state.now_ms,
    )


def restore_job(
    state: PartitionState, job_id: str, progress: StoredProgress, request: StoredRequest
) -> Job:
    """Restore a job and its tasks; those that wait are queued."""
    age_ms = max(0, state.wall_ms - progress.accepted_wall_ms)
    # Queue and service of its progress: a repeated submission may have replaced the request by one
    # of a later configuration.
    job = Job(
        id=job_id,
        queue=progress.queue,
        service=progress.service,
        workspace=request.workspace,
        account=state.accounts.find(request.workspace),
        request=request.request,
        kept_bytes=estimate_kept_bytes(request.request),
        terms=progress.terms or request.terms,
        accepted_ms=state.now_ms - age_ms,
        accepted_wall_ms=progress.accepted_wall_ms,
        estimates=progress.usable_estimates(request.request),
        moves=progress.moves,
        rows_per_record=progress.rows
        or choose_rows(request.request, record_bytes=state.record_bytes),
    )
    set_objective(job, state.find_terms(job))
    jobs = state.finished if progress.state.is_final() else state.jobs
    jobs[job_id] = job
    job.ended_ms = job.shown_ms = state.now_ms if progress.state.is_final() else None
    find_job_begin_ms = partial(find_begin_ms, state, job)
    for run in restore_progress(job, progress, find_begin_ms=find_job_begin_ms):
        _add_to_worker(state, run, job.service)
    for step in job.steps():
        for task in step.tasks:
            if not task.runs:
                pause_if_unclear(state, task)
        if not step.is_done():
            enqueue_step(state, step)
    return job


def _add_to_worker(state: PartitionState, run: Run, service: str) -> None:
    """Add a run to its worker until the worker lists its tasks, or the lease has expired.

    The earlier owner may have renewed the lease until its own membership expired.
    """
    worker = state.workers.get(run.worker_id)
    if worker is None:
        entry = WorkerEntry(service=service, address="")
        worker = Worker(
            id=run.worker_id,
            entry=entry,
            is_listed=False,
            is_unresponsive=True,
            unresponsive_since_ms=state.now_ms,
        )
        add_worker(state, worker)
    if run.state is RunState.STOPPING:
        run.stopping_since_ms = state.now_ms
    longest_ms = TTL_MS + LEASE_MS * SLOWEST_CLOCK
    worker.earlier_leases_until_ms = state.now_ms + round(longest_ms)
    worker.add(run)
