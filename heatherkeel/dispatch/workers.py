"""Workers come, answer, fall silent and go."""

from __future__ import annotations

import logging

from heatherkeel.platform.errors import Failure
from heatherkeel.platform.operator import WorkerEntry
from heatherkeel.platform.workers import EndedTask, Listing, RunningTask

from .building import make_unknown_task
from .const import SILENT_MS
from .ends import find_task, lose_run, take_end
from .events import (
    AcknowledgeEnds,
    Effects,
    LivesListed,
    StopTask,
    WorkerAnswered,
    WorkerFailed,
    WorkersLeaving,
    WorkersListed,
)
from .jobs import stop_run
from .lasting import leave_workers
from .models import LossReason, Run, RunState, Worker
from .pacing import pace_worker
from .pools import find_pool, wait_for_room
from .registry import handles
from .rooms import fit_planned
from .standing import leave_standing
from .state import PartitionState
from .suspicion import find_sole_job, take_listed

_LOGGER = logging.getLogger(__name__)


@handles(WorkersListed)
def take_entries(state: PartitionState, event: WorkersListed, effects: Effects) -> None:
    """Take in the workers' entries; one that is missing gets no work, but may still run some."""
    state.gone_workers &= event.entries.keys()
    state.left_out = {key: born for key, born in state.left_out.items() if key in event.entries}
    for worker_id, entry in event.entries.items():
        if worker_id in state.gone_workers:
            _tell_left_out(state, worker_id, entry)
            continue
        worker = state.workers.get(worker_id)
        if worker is None:
            add_worker(state, Worker(id=worker_id, entry=entry))
            _tell(worker_id, "worker_listed", entry.service)
        else:
            worker.entry = entry
            worker.is_listed = True
            fit_planned(state, worker, effects)
        effects.touch(entry.service)
    for worker in state.workers.values():
        if worker.id not in event.entries and worker.is_listed:
            worker.is_listed = False
            _tell(worker.id, "worker_unlisted", worker.entry.service)
    leave_workers(state, effects)


def add_worker(state: PartitionState, worker: Worker) -> None:
    """Add a worker to its pool."""
    state.workers[worker.id] = worker
    find_pool(state, worker.entry.service).workers[worker.id] = worker


@handles(WorkerAnswered)
def take_listing(state: PartitionState, event: WorkerAnswered, effects: Effects) -> None:
    """Take in all that a worker runs and has ended."""
    worker = state.workers.get(event.worker_id)
    if worker is None:
        return
    if not worker.is_ready() or worker.is_silent:
        effects.touch(worker.entry.service)
        _tell_heard(worker, event.listing)
    worker.is_silent = False
    for run in worker.runs.values():
        run.is_doubtful = False
    worker.told = max(worker.told, event.acknowledged)
    worker.clock_ms = event.listing.clock_ms
    worker.clock_heard_ms = event.now_ms
    ended_before = worker.seen
    for ended in event.listing.ended:
        if ended.number > worker.seen:
            take_end(state, worker, ended, effects)
            worker.seen = ended.number
        elif (ended.task, ended.attempt) in worker.runs:
            _tell_passed_over(worker, ended)
    if worker.seen > ended_before:
        effects.add(AcknowledgeEnds(worker_id=worker.id, number=worker.seen))
    _compare_runs(state, worker, event.listing, event.sent_ms, event.now_ms, effects)
    pace_worker(state, worker, effects)
    leave_standing(state, worker, effects)


def _compare_runs(
    state: PartitionState,
    worker: Worker,
    listing: Listing,
    sent_ms: int,
    now_ms: int,
    effects: Effects,
) -> None:
    listed = set()
    for row in listing.running:
        listed.add((row.task, row.attempt))
        run = worker.runs.get((row.task, row.attempt))
        if run is None:
            _stop_unknown(state, worker, row, effects)
        else:
            _update_run(run, row, now_ms)
            take_listed(worker, run, now_ms, effects)
    for run in list(worker.runs.values()):
        # Its last order was answered before this listing was asked for, and it isn't there:
        # it has ended without a trace, or its start never came.
        is_proved = run.answered_ms is not None and run.answered_ms < sent_ms
        if run.key() in listed:
            continue
        if is_proved:
            lose_run(state, run, effects, reason=LossReason.RUN_NOT_LISTED)
        elif run.unanswered_ms is not None and run.unanswered_ms < sent_ms:
            run.unanswered_ms = None
            stop_run(state, run, effects)


def _update_run(run: Run, row: RunningTask, now_ms: int) -> None:
    if run.unanswered_ms is not None:
        run.unanswered_ms = None
        run.answered_ms = now_ms
        run.state = RunState.RUNNING
    run.listed_since_ms = run.listed_since_ms or now_ms
    if row.percent != run.percent or not run.moved_ms:
        run.moved_ms = now_ms
    run.percent = row.percent
    run.figure = row.figure
    if row.saved:
        run.saved = row.saved
    run.is_at_work = row.percent >= 100


def _stop_unknown(
    state: PartitionState, worker: Worker, row: RunningTask, effects: Effects
) -> None:
    """Stop a run that this owner doesn't know, such as one whose start came late.

    Its room is counted until the worker lists its end; that of a job which isn't known at all
    can't be, but its lease is renewed with all others, so it has to be stopped too.
    """
    task = find_task(state, row.task)
    _LOGGER.warning(
        "worker runs what it shouldn't",
        extra={
            "event": "run_unknown",
            "task": row.task,
            "attempt": row.attempt,
            "worker": worker.id,
            "known_job": task is not None,
        },
    )
    task = task or make_unknown_task(row.task, service=worker.entry.service)
    run = Run(
        task=task,
        attempt=row.attempt,
        worker_id=worker.id,
        state=RunState.STOPPING,
        saved=row.saved,
    )
    task.attempt = max(task.attempt, row.attempt)
    task.runs.append(run)
    worker.add(run)
    effects.add(StopTask(run=run))


@handles(WorkerFailed)
def take_failure(state: PartitionState, event: WorkerFailed, effects: Effects) -> None:
    """Take in that a worker didn't answer, or that its address now belongs to another life."""
    worker = state.workers.get(event.worker_id)
    if worker is None:
        return
    if event.error.failure is Failure.OTHER_INSTANCE:
        end_life(state, worker, effects, reason=LossReason.ADDRESS_TAKEN)
        return
    fall_silent(state, worker, effects, detail=event.error.detail)
    drop_if_lapsed(state, worker, effects)


def end_life(
    state: PartitionState, worker: Worker, effects: Effects, *, reason: LossReason
) -> None:
    """Take in that a life of a worker is over, whatever its entry says for some seconds more."""
    state.gone_workers.add(worker.id)
    drop_worker(state, worker, effects, reason=reason)


def fall_silent(state: PartitionState, worker: Worker, effects: Effects, *, detail: str) -> None:
    """Give a worker nothing more to do until it is heard again."""
    if worker.is_silent:
        return
    worker.is_silent = True
    worker.silent_since_ms = state.now_ms
    _tell(worker.id, "worker_silent", detail)
    doubt_runs(state, worker, effects)


def doubt_runs(state: PartitionState, worker: Worker, effects: Effects) -> None:
    """Let tasks that may be copied start elsewhere too, while their worker doesn't answer."""
    for run in worker.runs.values():
        run.is_doubtful = True
        if run.task.is_waiting():
            wait_for_room(state, run.task.step)
            effects.touch(worker.entry.service)


@handles(LivesListed)
def take_lives(state: PartitionState, event: LivesListed, effects: Effects) -> None:
    """Give up silent workers whose machines are in another life by now, or down.

    A worker that was cut off, and runs on, is still named there.
    """
    for worker in list(state.workers.values()):
        is_long = state.now_ms - worker.silent_since_ms >= SILENT_MS
        if worker.is_silent and is_long and worker.id not in event.worker_ids:
            end_life(state, worker, effects, reason=LossReason.OTHER_LIFE)


def drop_if_lapsed(state: PartitionState, worker: Worker, effects: Effects) -> None:
    """Drop a worker that is out of reach once nothing can run on it any more."""
    if not worker.has_lapsed(state.now_ms):
        return
    _lose_runs(state, worker, effects, reason=LossReason.LEASE_LAPSED)
    if not worker.is_listed:
        drop_worker(state, worker, effects, reason=LossReason.UNLISTED)


def _lose_runs(
    state: PartitionState, worker: Worker, effects: Effects, *, reason: LossReason
) -> None:
    """Take in that all that a worker ran went with it."""
    sole = find_sole_job(worker)
    for run in list(worker.runs.values()):
        is_sole = run.task.step.job is sole
        lose_run(state, run, effects, reason=reason, is_sole=is_sole)


def drop_worker(
    state: PartitionState, worker: Worker, effects: Effects, *, reason: LossReason
) -> None:
    """Forget a worker on which surely nothing runs."""
    _lose_runs(state, worker, effects, reason=reason)
    del state.workers[worker.id]
    del find_pool(state, worker.entry.service).workers[worker.id]
    _tell(worker.id, "worker_dropped", reason.value)


@handles(WorkersLeaving)
def take_leaving(state: PartitionState, event: WorkersLeaving, effects: Effects) -> None:
    """Start nothing more on workers whose machines are about to go, and empty them."""
    state.leaving_ms = state.now_ms
    for worker in state.workers.values():
        worker.is_due = worker.id in event.due
        is_leaving = worker.id in event.worker_ids
        if is_leaving != worker.is_leaving:
            worker.is_leaving = is_leaving
            effects.touch(worker.entry.service)
    leave_workers(state, effects)


def _tell_left_out(state: PartitionState, worker_id: str, entry: WorkerEntry) -> None:
    """Tell once for each life that its entry isn't believed, since the worker counts as gone."""
    if state.left_out.get(worker_id) == entry.born:
        return
    state.left_out[worker_id] = entry.born
    _LOGGER.info(
        "a worker that counts as gone has an entry",
        extra={"event": "worker_left_out", "worker": worker_id, "born": entry.born},
    )


def _tell_heard(worker: Worker, listing: Listing) -> None:
    """Tell what a worker says of its life, and how far its ends were known."""
    _LOGGER.info(
        "worker heard",
        extra={
            "event": "worker_heard",
            "worker": worker.id,
            "born": listing.born,
            "clock_ms": listing.clock_ms,
            "clock_before_ms": worker.clock_ms,
            "silent_since_ms": worker.silent_since_ms if worker.is_silent else None,
            "running": len(listing.running),
            "known_runs": len(worker.runs),
            "last_end": listing.ended[-1].number if listing.ended else 0,
            "seen": worker.seen,
            "acknowledged": worker.acknowledged,
        },
    )


def _tell_passed_over(worker: Worker, ended: EndedTask) -> None:
    _LOGGER.warning(
        "the end of a run that should be there is passed over, since its number is known",
        extra={
            "event": "end_passed_over",
            "task": ended.task,
            "attempt": ended.attempt,
            "worker": worker.id,
            "outcome": ended.outcome,
            "number": ended.number,
            "seen": worker.seen,
        },
    )


def _tell(worker_id: str, event: str, detail: str) -> None:
    _LOGGER.info(
        "worker %s", worker_id, extra={"event": event, "worker": worker_id, "detail": detail}
    )
