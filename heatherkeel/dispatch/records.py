"""Stored records of jobs: their requests, cancellations and progress."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

import msgspec
from result import Err, Ok, Result

from heatherkeel.durations.models import StepEstimate
from heatherkeel.helpers.clamping import decode_clamped
from heatherkeel.helpers.ranges import IntRanges
from heatherkeel.platform.callers import JobRequest
from heatherkeel.platform.framing import KeyedRecord

from .building import begin_occurrence, fold_if_over
from .const import MAX_LASTING_CRASHES
from .models import ForwardedJob, Job, JobState, Run, RunState, Task
from .terms import JobTerms

_LOGGER = logging.getLogger(__name__)

REQUEST_PREFIX: Final = "j"
CANCEL_PREFIX: Final = "c"
PROGRESS_PREFIX: Final = "p"
ROWS_PREFIX: Final = "t"
"""Of some tasks of a job that has too many for one record."""
RELOCATED_PREFIX: Final = "h"
"""Of a job that another partition has handed over. Earlier releases don't read such records: they
would start its tasks again that are done."""
WORKSPACE_SEPARATOR: Final = "@"
MOVES_SEPARATOR: Final = "."
RECORD_MARGIN_BYTES: Final = 256
"""Room in a record for what is added when its job is forwarded or handed over, in bytes."""
STEP_PROGRESS_BYTES: Final = 64
"""Size of a step's estimate in the record of a job's progress, in bytes."""
CANCEL_VALUE: Final = b"1"
"""Value of a cancellation's record, which only has to be there."""


class StoredRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job as its caller sent it, with its time of acceptance in milliseconds since 1970."""

    queue: str
    service: str
    accepted_wall_ms: int
    version: int = 0
    """Version of the configuration by which it was accepted; 0 if unknown."""
    workspace: str = ""
    """The workspace of its caller; empty for a public queue, and in records of older versions."""
    attempt: str = ""
    """Names the submission, if its job had to be admitted."""
    partition: int | None = None
    """The partition that runs it; None if that is the one in which it is stored."""
    terms: JobTerms | None = None
    """The settings of its queue; None in records of earlier releases."""
    request: JobRequest
    progress: StoredProgress | None = None
    """What is known of its tasks; None unless it was relocated."""


class StoredTask(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A task that has been started: its highest attempt, and its runs, if any."""

    occurrence: int
    step: int
    index: int
    attempt: int
    failed_attempts: list[int]
    is_done: bool
    saved: str
    runs: list[tuple[int, str, bool]]
    """Attempt and worker of each run that may still exist, and whether it is being stopped."""
    crashes: int = 0
    """Number of workers that are known to have ended in a row while running it."""
    lives: list[int] = []
    """Start time of each run's worker incarnation, in the order of the runs; 0 if unknown."""


class StoredLosses(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A task's losses in a row that aren't counted as crashes; also stored if these are none."""

    occurrence: int
    step: int
    index: int
    crashes: int
    unclear: int
    excused: int


class StoredProgress(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job's progress; for an ended job, only tasks that may still run."""

    state: JobState
    queue: str
    service: str
    accepted_wall_ms: int
    begun: int = 0
    """Number of occurrences that have begun; not read, but by earlier releases."""
    folded: list[tuple[int, int]] = []
    """The occurrences that are done, as ranges of numbers; earlier releases store each task's row
    instead."""
    tasks: list[StoredTask] = []
    losses: list[StoredLosses] = []
    """Of the tasks that have any; missing in records of earlier releases."""
    workspace: str = ""
    estimates: list[StepEstimate] = []
    """Expected durations of its steps, by which its objective was set; empty for declared ones."""
    terms: JobTerms | None = None
    """The settings of its queue when it was accepted; None in records of earlier releases."""
    forwarded_to: int | None = None
    """The partition that runs it and has its progress; None if that is this one."""
    rows: int = 0
    """How many tasks each record of its tasks holds; 0 if all are in this one."""
    moves: int = 0
    """How often it was relocated between the partitions of its service."""

    def usable_estimates(self, request: JobRequest) -> list[StepEstimate] | None:
        """Return the estimates, if there is one for each step of the request."""
        is_complete = bool(self.estimates) and len(self.estimates) == len(request.steps)
        return self.estimates if is_complete else None


class StoredRows(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Some tasks of a job that have been started."""

    tasks: list[StoredTask] = []
    losses: list[StoredLosses] = []


def make_caller_key(prefix: str, job_id: str, workspace: str) -> str:
    """Return the key of a submission's or a cancellation's record.

    Job IDs are chosen by callers. With the workspace in the key, a caller of one workspace can't
    overwrite or cancel the accepted job of another.
    """
    name = f"{prefix}{job_id}"
    return f"{name}{WORKSPACE_SEPARATOR}{workspace}" if workspace else name


def make_relocated_key(job_id: str, workspace: str, *, moves: int) -> str:
    """Return the key of a relocated job's record.

    With the number of the relocation, a deletion that comes late concerns no later one.
    """
    return make_caller_key(RELOCATED_PREFIX, f"{job_id}{MOVES_SEPARATOR}{moves}", workspace)


def parse_relocated_id(key: str) -> str:
    """Return the job ID of such a key."""
    return parse_caller_key(key)[0].partition(MOVES_SEPARATOR)[0]


def parse_caller_key(key: str) -> tuple[str, str]:
    """Return the job ID and the workspace of such a key, or of a progress record's key."""
    job_id, _, workspace = key[1:].partition(WORKSPACE_SEPARATOR)
    return job_id, workspace


def find_size_fault(stored: StoredRequest, record: KeyedRecord, *, record_bytes: int) -> str | None:
    """Return why a job can't be stored; None if its records fit.

    The store refuses a record that is too large however often it is sent. The margin is for what
    is added when the job is forwarded.
    """
    steps_bytes = STEP_PROGRESS_BYTES * len(stored.request.steps)
    size = max(len(record.key) + len(record.value), steps_bytes) + RECORD_MARGIN_BYTES
    if size <= record_bytes:
        return None
    return f"its record takes {size} bytes, and the store takes {record_bytes}"


def encode_request(stored: StoredRequest) -> bytes:
    """Encode the record of a submission."""
    return msgspec.json.encode(stored)


def decode_request(value: bytes) -> Result[StoredRequest, str]:
    """Decode the record of a submission.

    Earlier releases accepted numbers of any size. Such a job is restored with the largest numbers
    in their place: without it, an accepted job would be lost, and callers told that there is none.
    """
    try:
        return Ok(msgspec.json.decode(value, type=StoredRequest))
    except (ValueError, RecursionError) as err:
        detail = str(err)
    try:
        request: StoredRequest = decode_clamped(value, StoredRequest)
    except (ValueError, RecursionError):
        return Err(detail)
    _LOGGER.warning(
        "a stored job has a number out of range; the nearest one in range is used",
        extra={"event": "record_clamped", "queue": request.queue, "detail": detail},
    )
    return Ok(request)


def make_progress(job: Job) -> StoredProgress:
    """Return the record of a job's progress."""
    return StoredProgress(
        state=job.state,
        queue=job.queue,
        service=job.service,
        accepted_wall_ms=job.accepted_wall_ms,
        begun=len(job.occurrences) + job.folded.count(),
        folded=job.folded.list_ranges(),
        tasks=[] if job.rows_per_record else list_stored_tasks(job),
        losses=[] if job.rows_per_record else list_stored_losses(job),
        rows=job.rows_per_record,
        workspace=job.workspace,
        estimates=job.estimates or [],
        terms=job.terms,
        moves=job.moves,
    )


def encode_progress(job: Job) -> bytes:
    """Encode a job's progress in one record, as earlier releases did whatever its size."""
    progress = make_progress(job)
    return msgspec.json.encode(
        msgspec.structs.replace(
            progress, tasks=list_stored_tasks(job), losses=list_stored_losses(job), rows=0
        )
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class JobOrigin:
    """Where a job comes from, which its owner knows whatever else is wrong with it."""

    queue: str
    service: str
    workspace: str
    accepted_wall_ms: int
    moves: int


def encode_failed(origin: JobOrigin) -> bytes:
    """Encode the end of a job that can't be handled, without anything that it has chosen."""
    return msgspec.json.encode(make_end(origin))


def make_end(origin: JobOrigin | Job) -> StoredProgress:
    """Return the record of a failed job, without anything that it has chosen."""
    return StoredProgress(
        state=JobState.FAILED,
        queue=origin.queue,
        service=origin.service,
        accepted_wall_ms=origin.accepted_wall_ms,
        workspace=origin.workspace,
        # Without it the record by which the job was handed over would count as newer.
        moves=origin.moves,
    )


def encode_forwarded(job: ForwardedJob) -> bytes:
    """Encode the record of a job that another partition runs, in the place of its progress.

    The progress of a relocated job stays in it: the next owner hands it over again if the other
    partition may not have it.
    """
    if job.progress is not None:
        return msgspec.json.encode(
            msgspec.structs.replace(job.progress, forwarded_to=job.partition, moves=job.moves)
        )
    return msgspec.json.encode(
        StoredProgress(
            state=JobState.PENDING,
            queue=job.queue,
            service=job.service,
            accepted_wall_ms=job.accepted_wall_ms,
            workspace=job.workspace,
            terms=job.terms,
            forwarded_to=job.partition,
        )
    )


def decode_progress(value: bytes) -> Result[StoredProgress, str]:
    """Decode the record of a job's progress."""
    try:
        return Ok(msgspec.json.decode(value, type=StoredProgress))
    except (ValueError, RecursionError) as err:
        return Err(str(err))


def list_stored_tasks(job: Job) -> list[StoredTask]:
    """Return the rows of all tasks of a job that have been started."""
    tasks = (task for step in job.steps() for task in step.tasks)
    return create_stored_tasks(tasks, has_ended=job.state.is_final())


def list_stored_losses(job: Job) -> list[StoredLosses]:
    """Return the losses of all tasks of a job."""
    return create_stored_losses(task for step in job.steps() for task in step.tasks)


def create_stored_tasks(tasks: Iterable[Task], *, has_ended: bool) -> list[StoredTask]:
    """Return the rows of tasks that have been started; of an ended job, that may still run."""
    return [
        StoredTask(
            occurrence=task.step.occurrence,
            step=task.step.number,
            index=task.index,
            attempt=task.attempt,
            failed_attempts=sorted(task.failed_attempts),
            is_done=task.is_done,
            saved=task.saved,
            runs=[
                (run.attempt, run.worker_id, run.state is RunState.STOPPING) for run in task.runs
            ],
            crashes=task.crashes,
            lives=[run.born for run in task.runs],
        )
        for task in tasks
        if (task.runs if has_ended else task.attempt)
    ]


def create_stored_losses(tasks: Iterable[Task]) -> list[StoredLosses]:
    """Return the losses of tasks that have any."""
    return [
        StoredLosses(
            occurrence=task.step.occurrence,
            step=task.step.number,
            index=task.index,
            crashes=task.crashes,
            unclear=task.unclear_losses,
            excused=task.excused_losses,
        )
        for task in tasks
        if task.losses_in_a_row()
    ]


def decode_rows(value: bytes) -> Result[StoredRows, str]:
    """Decode the record of some tasks."""
    try:
        return Ok(msgspec.json.decode(value, type=StoredRows))
    except (ValueError, RecursionError) as err:
        return Err(str(err))


def _restore_losses(job: Job, stored: StoredProgress) -> None:
    for task in (task for step in job.steps() for task in step.tasks):
        if 0 < task.crashes < MAX_LASTING_CRASHES:
            # Earlier releases stored no such row, and counted each silent worker as crashed.
            task.crashes, task.unclear_losses = 0, task.crashes
    for losses in stored.losses:
        known = _find_stored_task(job, losses)
        if known is not None:
            known.crashes = losses.crashes
            known.unclear_losses = losses.unclear
            known.excused_losses = losses.excused
    possible = (task.possible_crashes() for step in job.steps() for task in step.tasks)
    job.possible_crashes = max(possible, default=0)


def restore_progress(
    job: Job, stored: StoredProgress, *, find_begin_ms: Callable[[int], float]
) -> list[Run]:
    """Restore a job's progress from its record; returns the runs that may still exist.

    Of a repeated job, only occurrences of which a task has started are restored. The others, also
    those that earlier releases had begun, begin again when there is room for their tasks.
    """
    job.state = stored.state
    job.folded = IntRanges(stored.folded)
    numbers = dict.fromkeys(record.occurrence for record in stored.tasks)
    if not job.request.repeat_count:
        numbers[0] = None
    for number in numbers:
        if 0 <= number < job.expected_occurrences() and number not in job.folded:
            begin_occurrence(job, number, begins_ms=find_begin_ms(number))
    runs = []
    for record in stored.tasks:
        task = _find_stored_task(job, record)
        if task is None:
            _log_unknown_task(job, record)
            continue
        step = task.step
        task.attempt = record.attempt
        task.failed_attempts = set(record.failed_attempts)
        task.saved = record.saved
        task.is_done = record.is_done
        task.crashes = record.crashes
        step.done += record.is_done
        for number, (attempt, worker_id, is_stopping) in enumerate(record.runs):
            # An unanswered order of an earlier owner counts as answered here: once the worker
            # knows the new token, it refuses late orders under the old one.
            run = Run(
                task=task,
                attempt=attempt,
                worker_id=worker_id,
                born=record.lives[number] if number < len(record.lives) else 0,
                state=RunState.STOPPING if is_stopping else RunState.RUNNING,
                answered_ms=None if is_stopping else 0,
            )
            task.add_run(run)
            runs.append(run)
    _restore_losses(job, stored)
    _update_open_steps(job)
    for number in list(job.occurrences):
        fold_if_over(job, number)
    return runs


def _find_stored_task(job: Job, record: StoredTask | StoredLosses) -> Task | None:
    """Return the task of a record; None if the job's request has none.

    A caller that uses a job's ID again for a job with fewer tasks replaces the stored request.
    """
    steps = job.occurrences.get(record.occurrence, [])
    if record.step >= len(steps) or record.index >= len(steps[record.step].tasks):
        return None
    return steps[record.step].tasks[record.index]


def _log_unknown_task(job: Job, record: StoredTask) -> None:
    _LOGGER.error(
        "stored task isn't in its job's request; it is left out",
        extra={
            "event": "task_unknown",
            "job": job.id,
            "task": f"{record.occurrence}.{record.step}.{record.index}",
        },
    )


def _update_open_steps(job: Job) -> None:
    for steps in job.occurrences.values():
        for step in steps:
            step.is_open = all(steps[earlier].is_done() for earlier in step.request.depends_on)
