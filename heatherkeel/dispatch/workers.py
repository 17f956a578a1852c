"""Workers write entries, answer, and fall silent."""

from __future__ import annotations

import logging

from heatherkeel.platform.errors import Failure
from heatherkeel.platform.operator import WorkerEntry
from heatherkeel.platform.workers import Listing, RunningTask

from .building import make_placeholder_task
from .ends import find_task, lose_run, take_end
from .events import (
    AcknowledgeEnds,
    Effects,
    StopTask,
    WorkerAnswered,
    WorkerFailed,
    WorkersLeaving,
    WorkersListed,
)
from .eviction import evict_tasks
from .jobs import stop_run
from .lives import add_worker, begin_life, drop_if_lapsed, end_life
from .models import LossReason, Run, RunState, Worker
from .pacing import adjust_pace
from .pools import wait_for_room
from .registry import handles
from .rooms import fit_planned
from .standing import leave_standing
from .state import PartitionState
from .suspicion import take_listed
from .telling import tell_heard, tell_left_out, tell_passed_over, tell_worker

_LOGGER = logging.getLogger(__name__)


@handles(WorkersListed)
def take_entries(state: PartitionState, event: WorkersListed, effects: Effects) -> None:
    """Take in the workers' entries; one that is missing gets no work, but may still run some."""
    for known in (state.gone_lives, state.left_out):
        for worker_id in known.keys() - event.entries.keys():
            del known[worker_id]
    for worker_id, entry in event.entries.items():
        if state.is_gone(worker_id, entry.born):
            tell_left_out(state, worker_id, entry)
            continue
        worker = state.workers.get(worker_id)
        if worker is None:
            add_worker(state, Worker(id=worker_id, entry=entry, born=entry.born))
            tell_worker(worker_id, "worker_listed", entry.service)
        else:
            _take_entry(state, worker, entry, effects)
        effects.touch(entry.service)
    for worker in state.workers.values():
        if worker.id not in event.entries and worker.is_listed:
            worker.is_listed = False
            tell_worker(worker.id, "worker_unlisted", worker.entry.service)
    evict_tasks(state, effects)


def _take_entry(
    state: PartitionState, worker: Worker, entry: WorkerEntry, effects: Effects
) -> None:
    """Take in what a known worker says of itself; its listings may tell of a new life sooner."""
    worker.is_listed = True
    if worker.is_earlier_life(entry.born):
        return
    if worker.is_other_life(entry.born) or entry.service != worker.entry.service:
        worker = begin_life(state, worker, effects, entry=entry, born=entry.born)
    worker.entry = entry
    worker.born = worker.born or entry.born
    fit_planned(state, worker, effects)


@handles(WorkerAnswered)
def take_listing(state: PartitionState, event: WorkerAnswered, effects: Effects) -> None:
    """Take in all that a worker runs and has ended."""
    worker = _find_life(state, event, effects)
    if worker is None:
        return
    _take_heard(state, worker, event, effects)
    _take_ends(state, worker, event.listing, effects)
    _compare_runs(state, worker, event.listing, event.sent_ms, event.now_ms, effects)
    adjust_pace(state, worker, effects)
    leave_standing(state, worker, effects)


def _find_life(state: PartitionState, event: WorkerAnswered, effects: Effects) -> Worker | None:
    """Return the worker in the life that has answered; None if that is over."""
    worker = state.workers.get(event.worker_id)
    born = event.listing.born
    if worker is None or born in worker.former:
        return None
    if worker.is_other_life(born):
        return begin_life(state, worker, effects, entry=worker.entry, born=born)
    worker.born = worker.born or born
    worker.told = max(worker.told, event.acknowledged)
    return worker


def _take_heard(
    state: PartitionState, worker: Worker, event: WorkerAnswered, effects: Effects
) -> None:
    """Take in that a worker answers, and its clock."""
    if not worker.is_ready() or worker.is_silent:
        effects.touch(worker.entry.service)
        tell_heard(worker, event.listing)
    worker.is_silent = False
    for run in worker.runs.values():
        run.is_doubtful = False
    if not worker.is_ready():
        _bound_lease(state, worker, event.listing.clock_ms)
    worker.clock_ms = event.listing.clock_ms
    worker.clock_heard_ms = event.now_ms


def _take_ends(state: PartitionState, worker: Worker, listing: Listing, effects: Effects) -> None:
    """Take in the ends that weren't known; they are acknowledged once that is stored."""
    ended_before = worker.seen
    for ended in listing.ended:
        if ended.number > worker.seen:
            take_end(state, worker, ended, effects)
            worker.seen = ended.number
        elif (ended.task, ended.attempt) in worker.runs:
            tell_passed_over(worker, ended)
    if worker.seen > ended_before:
        effects.add(AcknowledgeEnds(worker=worker, number=worker.seen))


def _bound_lease(state: PartitionState, worker: Worker, clock_ms: int) -> None:
    """Tell how long what we haven't started in this life may run, whoever renews its lease.

    An earlier owner can't renew it any more. Of what was sent to an earlier life the end of the
    lease may be far off by this one's clock; the worker has shortened it to the longest it grants.
    """
    if not worker.runs:
        return
    is_shortened = any(worker.was_sent_before(run) for run in worker.runs.values())
    lease_ms = state.longest_lease_ms if is_shortened else state.lease_ms
    worker.lease_until_ms = max(worker.lease_until_ms, clock_ms + lease_ms)


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
            run.born = worker.born
            _update_run(run, row, now_ms)
            take_listed(worker, run, now_ms, effects)
    for run in list(worker.runs.values()):
        # Its last order was answered before this listing was asked for, and it isn't there:
        # it has ended without a trace, or its start never came.
        is_proved = run.answered_ms is not None and run.answered_ms < sent_ms
        if run.key() in listed:
            continue
        if is_proved:
            _lose_unlisted(state, worker, run, effects)
        elif run.unanswered_ms is not None and run.unanswered_ms < sent_ms:
            run.unanswered_ms = None
            stop_run(state, run, effects)


def _lose_unlisted(state: PartitionState, worker: Worker, run: Run, effects: Effects) -> None:
    """Give up a run that isn't there; one that was sent to an earlier life ended with that."""
    ended_before = worker.was_sent_before(run)
    reason = LossReason.WORKER_RESTARTED if ended_before else LossReason.RUN_NOT_LISTED
    is_sole = ended_before and run.task.step.job is worker.sole_suspect
    lose_run(state, run, effects, reason=reason, is_sole=is_sole)


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
    task = task or make_placeholder_task(row.task, service=worker.entry.service)
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


def fall_silent(state: PartitionState, worker: Worker, effects: Effects, *, detail: str) -> None:
    """Give a worker nothing more to do until it is heard again."""
    if worker.is_silent:
        return
    worker.is_silent = True
    worker.silent_since_ms = state.now_ms
    tell_worker(worker.id, "worker_silent", detail)
    doubt_runs(state, worker, effects)


def doubt_runs(state: PartitionState, worker: Worker, effects: Effects) -> None:
    """Let tasks that may be copied start elsewhere too, while their worker doesn't answer."""
    for run in worker.runs.values():
        run.is_doubtful = True
        if run.task.is_waiting():
            wait_for_room(state, run.task.step)
            effects.touch(worker.entry.service)


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
    evict_tasks(state, effects)
