"""Incarnations of workers: a worker joins, restarts under the same ID, or is gone."""

from __future__ import annotations

from heatherkeel.platform.operator import WorkerEntry

from .capacity import cancel_planned_start
from .const import MIN_UNRESPONSIVE_MS, SLOWEST_CLOCK
from .ends import lose_run
from .events import Effects, IncarnationsListed, OpenSessions, StopTask
from .models import LossReason, Run, RunState
from .pools import find_pool
from .registry import handles
from .state import PartitionState
from .suspicion import describe_loss, record_loss
from .worker import Worker
from .worker_log import log_restart, log_worker_event


def add_worker(state: PartitionState, worker: Worker) -> None:
    """Add a worker incarnation to the partition and its pool."""
    state.workers[worker.id] = worker
    find_pool(state, worker.entry.service).workers[worker.id] = worker


def start_incarnation(
    state: PartitionState, worker: Worker, effects: Effects, *, entry: WorkerEntry, born: int
) -> Worker:
    """Replace a worker that has restarted under the same ID and lost its state.

    End numbers, clock and lease of the earlier incarnation no longer apply, and the runs that it
    had listed are lost. An unlisted run may have reached either incarnation, so it is kept until
    the new one has listed its runs.
    """
    successor = Worker(
        id=worker.id,
        entry=entry,
        born=born,
        earlier_born=worker.earlier_born | ({worker.born} - {0, born}),
        earlier_leases_until_ms=state.now_ms + round(state.longest_lease_ms * SLOWEST_CLOCK),
        earlier_loss=describe_loss(worker, state.now_ms),
        is_leaving=worker.is_leaving,
        is_due=worker.is_due,
        is_outdated=worker.is_outdated,
    )
    log_restart(worker, successor)
    record_loss(state, worker, LossReason.WORKER_RESTARTED)
    for run in list(worker.runs.values()):
        if worker.runs.get(run.key()) is run:
            _end_with_incarnation(state, run, successor, effects)
    transferred = list(worker.runs.values())
    del find_pool(state, worker.entry.service).workers[worker.id]
    add_worker(state, successor)
    effects.add(OpenSessions())
    for run in transferred:
        _transfer_run(state, run, successor, effects)
    _drop_tickets(state, successor)
    effects.touch(worker.entry.service)
    effects.touch(entry.service)
    return successor


def _end_with_incarnation(
    state: PartitionState, run: Run, successor: Worker, effects: Effects
) -> None:
    """Cancel a run that wasn't sent, and lose one that the earlier incarnation had listed."""
    if run.state is RunState.PLANNED:
        cancel_planned_start(state, run, effects)
    elif run.listed_since_ms:
        reason = LossReason.WORKER_RESTARTED
        lose_run(state, run, effects, reason=reason, loss=successor.earlier_loss)


def _transfer_run(state: PartitionState, run: Run, successor: Worker, effects: Effects) -> None:
    """Count a run on the new incarnation until a listing shows whether it is there."""
    successor.add(run)
    if run.state is RunState.SENT:
        # No answer is expected any more.
        run.start_timed_out_ms = state.now_ms
    elif run.state is RunState.STOPPING:
        run.answered_ms = None
        effects.add(StopTask(run=run))


def _drop_tickets(state: PartitionState, worker: Worker) -> None:
    """Drop the tickets for a worker, since they were issued to its earlier incarnation."""
    for step in find_pool(state, worker.entry.service).open_steps:
        step.tickets.pop(worker.id, None)


def end_incarnation(
    state: PartitionState, worker: Worker, effects: Effects, *, reason: LossReason
) -> None:
    """Drop an incarnation that has ended, and ignore its entry while it is still read."""
    earlier = state.ended_incarnations.get(worker.id, frozenset())
    state.ended_incarnations[worker.id] = earlier | worker.earlier_born | {worker.born}
    drop_worker(state, worker, effects, reason=reason)


@handles(IncarnationsListed)
def handle_incarnations_listed(
    state: PartitionState, event: IncarnationsListed, effects: Effects
) -> None:
    """Lose the runs of unresponsive workers that the list of machines no longer names.

    Their machines have restarted or are down; a worker that is only unreachable is still named. A
    worker that has an entry goes on being called until that is removed: it is the worker's own
    answer that shows whether its incarnation lives on.
    """
    asked_ms = event.now_ms if event.asked_ms is None else event.asked_ms
    for worker in list(state.workers.values()):
        is_long = asked_ms - worker.unresponsive_since_ms >= MIN_UNRESPONSIVE_MS
        if not worker.is_unresponsive or not is_long:
            continue
        if worker.id in event.worker_ids:
            worker.named_ms = asked_ms
            continue
        if not worker.is_listed:
            drop_worker(state, worker, effects, reason=LossReason.OTHER_LIFE)
            continue
        _lose_runs(state, worker, effects, reason=LossReason.OTHER_LIFE)
        if not worker.born and worker.is_ready():
            _forget_answers(state, worker, effects)


def _forget_answers(state: PartitionState, worker: Worker, effects: Effects) -> None:
    """Replace a worker that reports no start time, so that its next answer counts as the first.

    That answer doesn't tell whether it is of another incarnation, with clock and ends anew.
    """
    successor = start_incarnation(state, worker, effects, entry=worker.entry, born=0)
    successor.is_unresponsive = True
    successor.unresponsive_since_ms = worker.unresponsive_since_ms


def drop_if_expired(state: PartitionState, worker: Worker, effects: Effects) -> None:
    """Lose the runs of an unreachable worker whose lease has expired; drop it if unlisted."""
    if not worker.is_lease_expired(state.now_ms):
        return
    _lose_runs(state, worker, effects, reason=LossReason.LEASE_LAPSED)
    if not worker.is_listed:
        drop_worker(state, worker, effects, reason=LossReason.UNLISTED)


def drop_worker(
    state: PartitionState, worker: Worker, effects: Effects, *, reason: LossReason
) -> None:
    """Remove a worker on which certainly nothing runs."""
    _lose_runs(state, worker, effects, reason=reason)
    del state.workers[worker.id]
    del find_pool(state, worker.entry.service).workers[worker.id]
    log_worker_event(worker.id, "worker_dropped", reason.value)


def _lose_runs(
    state: PartitionState, worker: Worker, effects: Effects, *, reason: LossReason
) -> None:
    """Lose all runs of a worker."""
    loss = describe_loss(worker, state.now_ms)
    record_loss(state, worker, reason)
    for run in list(worker.runs.values()):
        lose_run(state, run, effects, reason=reason, loss=loss)
