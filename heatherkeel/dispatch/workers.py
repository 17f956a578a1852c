"""Handlers for workers' entries, listings and failed calls."""

from __future__ import annotations

import logging

from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.operator import WorkerEntry
from heatherkeel.platform.workers import Listing, RunningTask

from .building import make_placeholder_task
from .capacity import cancel_excess_starts
from .ends import find_task, lose_run, process_end
from .events import (
    AcknowledgeEnds,
    CountCutListing,
    Effects,
    StopTask,
    WorkerAnswered,
    WorkerFailed,
    WorkersLeaving,
    WorkersListed,
)
from .eviction import evict_tasks
from .incarnations import add_worker, drop_if_expired, end_incarnation, start_incarnation
from .items import blame_worker
from .jobs import stop_run
from .models import LossReason, Run, RunState
from .pacing import adjust_pace
from .pools import enqueue_step
from .registry import handles
from .slowness import judge_speed
from .stalled import quarantine_if_stalled
from .state import PartitionState
from .suspicion import record_listed_run, take_back_unclear_losses
from .worker import Worker
from .worker_log import (
    log_cut_listing,
    log_ignored_end,
    log_ignored_entry,
    log_worker_answered,
    log_worker_event,
)

_LOGGER = logging.getLogger(__name__)


@handles(WorkersListed)
def handle_workers_listed(state: PartitionState, event: WorkersListed, effects: Effects) -> None:
    """Update the workers from their entries; one without an entry may still run tasks."""
    for known in (state.ended_incarnations, state.ignored_entries):
        for worker_id in known.keys() - event.entries.keys():
            del known[worker_id]
    for worker_id, entry in event.entries.items():
        with blame_worker(worker_id):
            _apply_entry(state, worker_id, entry, effects)
    for worker in state.workers.values():
        if worker.id not in event.entries and worker.is_listed:
            worker.is_listed = False
            log_worker_event(worker.id, "worker_unlisted", worker.entry.service)
    evict_tasks(state, effects)


def _apply_entry(
    state: PartitionState, worker_id: str, entry: WorkerEntry, effects: Effects
) -> None:
    if state.has_incarnation_ended(worker_id, entry.born):
        log_ignored_entry(state, worker_id, entry)
        return
    worker = state.workers.get(worker_id)
    if worker is None:
        add_worker(state, Worker(id=worker_id, entry=entry, born=entry.born))
        log_worker_event(worker_id, "worker_listed", entry.service)
    else:
        _update_from_entry(state, worker, entry, effects)
    effects.touch(entry.service)


def _update_from_entry(
    state: PartitionState, worker: Worker, entry: WorkerEntry, effects: Effects
) -> None:
    """Update a known worker from its entry; a listing may show a new incarnation earlier."""
    worker.is_listed = True
    if worker.is_earlier_incarnation(entry.born):
        return
    if worker.is_other_incarnation(entry.born) or entry.service != worker.entry.service:
        is_moved = entry.service != worker.entry.service
        reason = LossReason.MACHINE_TAKEN if is_moved else LossReason.WORKER_RESTARTED
        worker = start_incarnation(
            state, worker, effects, entry=entry, born=entry.born, reason=reason
        )
    worker.entry = entry
    worker.born = worker.born or entry.born
    cancel_excess_starts(state, worker, effects)


@handles(WorkerAnswered)
def handle_worker_answered(state: PartitionState, event: WorkerAnswered, effects: Effects) -> None:
    """Update a worker from its listing of running and ended tasks."""
    worker = _find_incarnation(state, event, effects)
    if worker is None:
        return
    _record_answer(state, worker, event, effects)
    _process_ends(state, worker, event.listing, effects)
    _compare_runs(state, worker, event.listing, event.sent_ms, event.now_ms, effects)
    adjust_pace(state, worker, effects)
    quarantine_if_stalled(state, worker, effects)
    judge_speed(state, worker, effects)


def _find_incarnation(
    state: PartitionState, event: WorkerAnswered, effects: Effects
) -> Worker | None:
    """Return the worker in the incarnation that has answered; None if that has ended."""
    worker = state.workers.get(event.worker_id)
    born = event.listing.born
    if worker is None or born in worker.earlier_born:
        return None
    if worker.is_other_incarnation(born):
        return start_incarnation(state, worker, effects, entry=worker.entry, born=born)
    worker.born = worker.born or born
    worker.last_acknowledged_end = max(worker.last_acknowledged_end, event.acknowledged)
    return worker


def _record_answer(
    state: PartitionState, worker: Worker, event: WorkerAnswered, effects: Effects
) -> None:
    """Record that a worker has answered, and its clock."""
    if not worker.is_ready() or worker.is_unresponsive:
        effects.touch(worker.entry.service)
        log_worker_answered(worker, event.listing)
        take_back_unclear_losses(state, worker, effects)
    worker.is_unresponsive = False
    worker.named_ms = None
    worker.is_loss_recorded = False
    for run in worker.runs.values():
        run.is_doubtful = False
    if not worker.is_ready():
        _limit_lease(state, worker, event.listing.clock_ms)
    worker.unwatched_ms = max(0, event.sent_ms - worker.clock_received_ms)
    worker.clock_ms = event.listing.clock_ms
    worker.clock_received_ms = event.now_ms


def _process_ends(
    state: PartitionState, worker: Worker, listing: Listing, effects: Effects
) -> None:
    """Process the new ends of a listing; they are acknowledged once they are stored."""
    ended_before = worker.last_processed_end
    for ended in listing.ended:
        if ended.number > worker.last_processed_end:
            process_end(state, worker, ended, effects)
            worker.last_processed_end = ended.number
        elif (ended.task, ended.attempt) in worker.runs:
            log_ignored_end(worker, ended)
    if worker.last_processed_end > ended_before:
        effects.add(AcknowledgeEnds(worker=worker, number=worker.last_processed_end))


def _limit_lease(state: PartitionState, worker: Worker, clock_ms: int) -> None:
    """Set an upper bound for the leases of runs that earlier owners or incarnations started.

    An earlier owner can't renew them any more. An order sent to an earlier incarnation may carry a
    lease far ahead of the new clock, which the worker shortens to the longest that it grants.
    """
    if not worker.runs:
        return
    is_shortened = any(worker.was_sent_to_earlier_incarnation(run) for run in worker.runs.values())
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
            record_listed_run(worker, run, now_ms, effects)
    for run in list(worker.runs.values()):
        # The last order was answered before this listing was requested, so a run that isn't listed
        # has ended unnoticed or was never started, unless its end is among those left out.
        is_proved = run.answered_ms is not None and run.answered_ms < sent_ms
        if run.key() in listed:
            continue
        if is_proved and listing.may_lack_ends():
            run.may_have_ended = True
            run.is_at_work = False
        elif is_proved:
            _lose_unlisted_run(state, worker, run, effects)
        elif run.start_timed_out_ms is not None and run.start_timed_out_ms < sent_ms:
            run.start_timed_out_ms = None
            stop_run(state, run, effects)
    if listing.may_lack_ends():
        log_cut_listing(worker, listing)
        effects.add(CountCutListing())


def _lose_unlisted_run(state: PartitionState, worker: Worker, run: Run, effects: Effects) -> None:
    """Lose a run that isn't listed; one sent to an earlier incarnation was lost with it."""
    ended_before = worker.was_sent_to_earlier_incarnation(run)
    reason = LossReason.WORKER_RESTARTED if ended_before else LossReason.RUN_NOT_LISTED
    loss = worker.earlier_loss if ended_before else None
    lose_run(state, run, effects, reason=reason, loss=loss)


def _update_run(run: Run, row: RunningTask, now_ms: int) -> None:
    run.may_have_ended = False
    if run.start_timed_out_ms is not None:
        run.start_timed_out_ms = None
        run.answered_ms = now_ms
        run.state = RunState.RUNNING
    run.listed_since_ms = run.listed_since_ms or now_ms
    if row.percent != run.percent or not run.progressed_ms:
        run.progressed_ms = now_ms
    run.percent = row.percent
    run.figure = row.figure
    if row.saved:
        run.saved = row.saved
    run.is_at_work = row.percent >= 100


def _stop_unknown(
    state: PartitionState, worker: Worker, row: RunningTask, effects: Effects
) -> None:
    """Stop a run that this owner doesn't know, such as one whose start arrived late.

    Its capacity is counted until the worker lists its end. Runs of unknown jobs have to be stopped
    as well, since their leases are renewed with all others.
    """
    task = find_task(state, row.task)
    _LOGGER.warning(
        "worker runs an unknown run",
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
        stopping_since_ms=state.now_ms,
        saved=row.saved,
    )
    task.attempt = max(task.attempt, row.attempt)
    task.add_run(run)
    worker.add(run)
    effects.add(StopTask(run=run))


@handles(WorkerFailed)
def handle_worker_failed(state: PartitionState, event: WorkerFailed, effects: Effects) -> None:
    """Handle a call without an answer, or an address that now belongs to another worker."""
    worker = state.workers.get(event.worker_id)
    if worker is None:
        return
    if event.error.failure is Failure.OTHER_INSTANCE:
        end_incarnation(state, worker, effects, reason=LossReason.ADDRESS_TAKEN)
        return
    mark_unresponsive(state, worker, effects, error=event.error)
    drop_if_expired(state, worker, effects)


def mark_unresponsive(
    state: PartitionState, worker: Worker, effects: Effects, *, error: CallError
) -> None:
    """Give a worker no more work until it responds again."""
    if worker.is_unresponsive:
        return
    worker.is_unresponsive = True
    worker.unresponsive_since_ms = state.now_ms
    # It may have gone at any time since its last answer if the call has only timed out.
    worker.gone_ms = worker.clock_received_ms if error.is_timeout else state.now_ms
    log_worker_event(worker.id, "worker_silent", error.detail)
    mark_runs_doubtful(state, worker, effects)


def mark_runs_doubtful(state: PartitionState, worker: Worker, effects: Effects) -> None:
    """Allow tasks that permit copies to start elsewhere while their worker is unresponsive."""
    for run in worker.runs.values():
        run.is_doubtful = run.was_doubtful = True
        if run.task.is_waiting():
            enqueue_step(state, run.task.step)
            effects.touch(worker.entry.service)


@handles(WorkersLeaving)
def handle_workers_leaving(state: PartitionState, event: WorkersLeaving, effects: Effects) -> None:
    """Start nothing on workers whose machines are about to be removed, and empty them."""
    state.leaving_ms = state.now_ms
    for worker in state.workers.values():
        worker.is_due = worker.id in event.due
        is_leaving = worker.id in event.worker_ids
        worker.left_ms = state.now_ms if is_leaving else worker.left_ms
        if is_leaving != worker.is_leaving:
            worker.is_leaving = is_leaving
            effects.touch(worker.entry.service)
        if worker.id not in event.yielding:
            worker.yielding_since_ms = None
        elif worker.yielding_since_ms is None:
            worker.yielding_since_ms = state.now_ms
    evict_tasks(state, effects)
