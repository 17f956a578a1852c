"""Incarnations of workers: a worker joins, restarts under the same ID, or is gone."""

from __future__ import annotations

from heatherkeel.platform.operator import WorkerEntry

from .capacity import cancel_planned_start
from .const import MIN_UNRESPONSIVE_MS, SLOWEST_CLOCK
from .ends import lose_run
from .events import Effects, IncarnationsListed, OpenSessions, StopTask
from .evidence import describe_loss, record_loss
from .models import LossReason, Run, RunState, WorkerLoss
from .pools import find_pool
from .registry import handles
from .state import PartitionState
from .worker import Worker
from .worker_log import log_restart, log_worker_event


def add_worker(state: PartitionState, worker: Worker) -> None:
    """Add a worker incarnation to the partition and its pool."""
    worker.known_since_ms = state.now_ms
    state.workers[worker.id] = worker
    find_pool(state, worker.entry.service).workers[worker.id] = worker


def start_incarnation(
    state: PartitionState,
    worker: Worker,
    effects: Effects,
    *,
    entry: WorkerEntry,
    born: int,
    reason: LossReason = LossReason.WORKER_RESTARTED,
) -> Worker:
    """Replace a worker that has restarted under the same ID and lost its state.

    End numbers, clock and lease of the earlier incarnation no longer apply, and the runs that it
    had listed are lost. An unlisted run may have reached either incarnation, so it is kept until
    the new one has listed its runs.
    """
    loss = _record(state, worker, reason)
    successor = Worker(
        id=worker.id,
        entry=entry,
        born=born,
        earlier_born=worker.earlier_born | ({worker.born} - {0, born}),
        earlier_leases_until_ms=state.now_ms + round(state.longest_lease_ms * SLOWEST_CLOCK),
        earlier_loss=loss,
        is_leaving=worker.is_leaving,
        is_due=worker.is_due,
        is_outdated=worker.is_outdated,
    )
    log_restart(worker, successor)
    for run in list(worker.runs.values()):
        if worker.runs.get(run.key()) is run:
            _end_with_incarnation(state, run, effects, reason=reason, loss=loss)
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
    state: PartitionState, run: Run, effects: Effects, *, reason: LossReason, loss: WorkerLoss
) -> None:
    """Cancel a run that wasn't sent, and lose one that the earlier incarnation had listed."""
    if run.state is RunState.PLANNED:
        cancel_planned_start(state, run, effects)
    elif run.listed_since_ms:
        lose_run(state, run, effects, reason=reason, loss=loss)


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
    _record_missing_idle_workers(state, event, asked_ms)
    lost: list[tuple[Worker, LossReason, WorkerLoss]] = []
    for worker in state.workers.values():
        is_long = asked_ms - worker.unresponsive_since_ms >= MIN_UNRESPONSIVE_MS
        if not worker.is_unresponsive or not is_long:
            continue
        if worker.id in event.worker_ids:
            worker.named_ms = asked_ms
            continue
        reason = _find_reason(worker, event)
        lost.append((worker, reason, _record(state, worker, reason)))
    # All losses are recorded before the first is judged: what went together has another cause than
    # a task that ran on one of them.
    for worker, reason, loss in lost:
        _lose_runs(state, worker, effects, reason=reason, loss=loss)
        if not worker.is_listed:
            _remove_worker(state, worker, reason)
        elif not worker.born and worker.is_ready():
            _forget_answers(state, worker, effects)


def _find_reason(worker: Worker, event: IncarnationsListed) -> LossReason:
    """Return why a worker isn't in the list of machines."""
    machine = worker.entry.machine
    if machine and event.pools and machine not in event.pools:
        return LossReason.MACHINE_GONE
    is_taken = event.pools.get(machine, worker.entry.service) != worker.entry.service
    return LossReason.MACHINE_TAKEN if is_taken else LossReason.OTHER_LIFE


def _record_missing_idle_workers(
    state: PartitionState, event: IncarnationsListed, asked_ms: int
) -> None:
    """Record the idle workers that are gone by the list of machines, before a call shows it.

    The list may lack a worker that has just started, and it is older than a later answer.
    """
    for worker in state.workers.values():
        is_older = worker.known_since_ms + MIN_UNRESPONSIVE_MS <= asked_ms
        was_heard_before = worker.is_ready() and worker.clock_received_ms < asked_ms
        if worker.runs or worker.id in event.worker_ids or not (is_older and was_heard_before):
            continue
        _record(state, worker, _find_reason(worker, event))


def _record(state: PartitionState, worker: Worker, reason: LossReason) -> WorkerLoss:
    """Describe the loss of a worker, and remember it."""
    loss = describe_loss(worker, reason, state.now_ms)
    record_loss(state, worker, loss)
    return loss


def _forget_answers(state: PartitionState, worker: Worker, effects: Effects) -> None:
    """Replace a worker that reports no start time, so that its next answer counts as the first.

    That answer doesn't tell whether it is of another incarnation, with clock and ends anew.
    """
    successor = start_incarnation(state, worker, effects, entry=worker.entry, born=0)
    successor.is_unresponsive = True
    successor.unresponsive_since_ms = worker.unresponsive_since_ms
    successor.is_loss_recorded = worker.is_loss_recorded


def drop_if_expired(state: PartitionState, worker: Worker, effects: Effects) -> None:
    """Lose the runs of an unreachable worker whose lease has expired; drop it if unlisted."""
    if not worker.is_lease_expired(state.now_ms):
        return
    loss = _record(state, worker, LossReason.LEASE_LAPSED)
    _lose_runs(state, worker, effects, reason=LossReason.LEASE_LAPSED, loss=loss)
    if not worker.is_listed:
        drop_worker(state, worker, effects, reason=LossReason.UNLISTED)


def drop_worker(
    state: PartitionState, worker: Worker, effects: Effects, *, reason: LossReason
) -> None:
    """Remove a worker on which certainly nothing runs."""
    _lose_runs(state, worker, effects, reason=reason, loss=_record(state, worker, reason))
    _remove_worker(state, worker, reason)


def _remove_worker(state: PartitionState, worker: Worker, reason: LossReason) -> None:
    del state.workers[worker.id]
    del find_pool(state, worker.entry.service).workers[worker.id]
    log_worker_event(worker.id, "worker_dropped", reason.value)


def _lose_runs(
    state: PartitionState,
    worker: Worker,
    effects: Effects,
    *,
    reason: LossReason,
    loss: WorkerLoss,
) -> None:
    """Lose all runs of a worker."""
    for run in list(worker.runs.values()):
        lose_run(state, run, effects, reason=reason, loss=loss)
