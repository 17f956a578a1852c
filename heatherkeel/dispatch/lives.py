"""Lives of workers: one is met, starts again under the same id, or is over."""

from __future__ import annotations

from heatherkeel.platform.operator import WorkerEntry

from .const import SILENT_MS, SLOWEST_CLOCK
from .ends import lose_run
from .events import Effects, IncarnationsListed, OpenSessions, StopTask
from .models import LossReason, Run, RunState, Worker
from .pools import find_pool
from .registry import handles
from .rooms import take_back
from .state import PartitionState
from .suspicion import find_sole_job
from .telling import tell_restart, tell_worker


def add_worker(state: PartitionState, worker: Worker) -> None:
    """Add a life of a worker to its pool."""
    state.workers[worker.id] = worker
    find_pool(state, worker.entry.service).workers[worker.id] = worker


def begin_life(
    state: PartitionState, worker: Worker, effects: Effects, *, entry: WorkerEntry, born: int
) -> Worker:
    """Take in that a worker has started again under its id, and knows nothing of before.

    Whatever was known of its earlier life holds no longer: the numbers of its ends, its clock, the
    lease on that clock. What it had listed ended with it. An order that it hasn't listed may have
    reached either life, so the new one is asked.
    """
    later = Worker(
        id=worker.id,
        entry=entry,
        born=born,
        former=worker.former | ({worker.born} - {0, born}),
        unheard_until_ms=state.now_ms + round(state.longest_lease_ms * SLOWEST_CLOCK),
        sole_suspect=find_sole_job(worker),
        is_leaving=worker.is_leaving,
        is_due=worker.is_due,
        is_outdated=worker.is_outdated,
    )
    tell_restart(worker, later)
    for run in list(worker.runs.values()):
        if worker.runs.get(run.key()) is run:
            _end_with_life(state, run, later, effects)
    carried = list(worker.runs.values())
    del find_pool(state, worker.entry.service).workers[worker.id]
    add_worker(state, later)
    effects.add(OpenSessions())
    for run in carried:
        _carry_over(state, run, later, effects)
    _drop_tickets(state, later)
    effects.touch(worker.entry.service)
    effects.touch(entry.service)
    return later


def _end_with_life(state: PartitionState, run: Run, later: Worker, effects: Effects) -> None:
    """Take a run back that wasn't sent, and give up one that was seen in the earlier life."""
    if run.state is RunState.PLANNED:
        take_back(state, run, effects)
    elif run.listed_since_ms:
        is_sole = run.task.step.job is later.sole_suspect
        lose_run(state, run, effects, reason=LossReason.WORKER_RESTARTED, is_sole=is_sole)


def _carry_over(state: PartitionState, run: Run, later: Worker, effects: Effects) -> None:
    """Count a run at the new life until that lists it, or doesn't."""
    later.add(run)
    if run.state is RunState.SENT:
        # Its answer isn't waited for any more.
        run.unanswered_ms = state.now_ms
    elif run.state is RunState.STOPPING:
        run.answered_ms = None
        effects.add(StopTask(run=run))


def _drop_tickets(state: PartitionState, worker: Worker) -> None:
    """Drop permissions to run steps on a worker: they were given to its earlier life."""
    for step in find_pool(state, worker.entry.service).open_steps:
        step.tickets.pop(worker.id, None)


def end_life(
    state: PartitionState, worker: Worker, effects: Effects, *, reason: LossReason
) -> None:
    """Take in that a life of a worker is over, whatever its entry says for some seconds more."""
    earlier = state.gone_lives.get(worker.id, frozenset())
    state.gone_lives[worker.id] = earlier | worker.former | {worker.born}
    drop_worker(state, worker, effects, reason=reason)


@handles(IncarnationsListed)
def take_lives(state: PartitionState, event: IncarnationsListed, effects: Effects) -> None:
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


def drop_worker(
    state: PartitionState, worker: Worker, effects: Effects, *, reason: LossReason
) -> None:
    """Forget a worker on which surely nothing runs."""
    _lose_runs(state, worker, effects, reason=reason)
    del state.workers[worker.id]
    del find_pool(state, worker.entry.service).workers[worker.id]
    tell_worker(worker.id, "worker_dropped", reason.value)


def _lose_runs(
    state: PartitionState, worker: Worker, effects: Effects, *, reason: LossReason
) -> None:
    """Take in that all that a worker ran went with it."""
    sole = find_sole_job(worker)
    for run in list(worker.runs.values()):
        is_sole = run.task.step.job is sole
        lose_run(state, run, effects, reason=reason, is_sole=is_sole)
