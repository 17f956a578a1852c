"""What is known of lost workers, and which losses speak against the tasks that ran there.

A worker that only can't be called gives the same signs as one that has crashed, until the list of
machines, its own answer or another worker at its address shows whether its incarnation has ended.
"""

from __future__ import annotations

from .const import (
    LEFT_LATELY_MS,
    LOSS_MEMORY_MS,
    LOST_TOGETHER_MS,
    MAX_EXCUSED_LOSSES,
    MAX_LIST_AGE_MS,
    MIN_LOST_TOGETHER,
    SUDDEN_LOSS_MS,
)
from .models import Job, LossCause, LossReason, Run, RunState, WorkerEnd, WorkerLoss
from .pools import find_pool
from .state import PartitionState
from .worker import Worker

_ENDS = {
    LossReason.OTHER_LIFE: WorkerEnd.ENDED,
    LossReason.MACHINE_GONE: WorkerEnd.ENDED,
    LossReason.ADDRESS_TAKEN: WorkerEnd.ENDED,
    LossReason.WORKER_RESTARTED: WorkerEnd.ENDED,
    LossReason.MACHINE_TAKEN: WorkerEnd.PLANNED,
    LossReason.LEASE_LAPSED: WorkerEnd.UNKNOWN,
    LossReason.UNLISTED: WorkerEnd.UNKNOWN,
    LossReason.WORKER_GONE: WorkerEnd.UNKNOWN,
}
"""What a reason alone tells of the worker; runs lost for other reasons weren't there."""


def describe_loss(worker: Worker, reason: LossReason, now_ms: int) -> WorkerLoss:
    """Return what is known of a worker that is lost now; every unproven run is suspected."""
    gone_ms = _find_gone_ms(worker, reason)
    suspected = [
        run
        for run in worker.runs.values()
        if run.state is not RunState.PLANNED and not run.is_proven and not run.may_have_ended
    ]
    return WorkerLoss(
        worker_id=worker.id,
        rack=worker.rack(),
        end=_find_end(worker, reason, now_ms),
        at_ms=now_ms,
        gone_ms=gone_ms,
        silent_ms=worker.unresponsive_since_ms if worker.is_unresponsive else now_ms,
        heard_ms=worker.clock_received_ms,
        suspects=frozenset(run.task.step.job.id for run in suspected),
        is_sudden=any(not ran_for_a_while(run, gone_ms) for run in suspected),
        tasks=tuple(run.task for run in suspected),
    )


def _find_gone_ms(worker: Worker, reason: LossReason) -> int | None:
    """Return the earliest time at which a worker can have gone, if it is known."""
    gone_ms = worker.gone_ms if worker.is_unresponsive else worker.clock_received_ms
    if gone_ms is None or not worker.is_ready():
        return None
    if reason is LossReason.OTHER_LIFE and worker.named_ms is not None:
        return max(gone_ms, worker.named_ms - MAX_LIST_AGE_MS)
    return gone_ms


def _find_end(worker: Worker, reason: LossReason, now_ms: int) -> WorkerEnd:
    """Return how a worker's incarnation ended, if it did.

    Unless the list of machines shows another life in the same pool, that may have been planned: the
    entry is too old to tell, or a move was intended shortly before.
    """
    if worker.is_leaving or worker.entry.is_draining():
        return WorkerEnd.PLANNED
    end = _ENDS.get(reason, WorkerEnd.UNKNOWN)
    was_to_leave = worker.left_ms is not None and now_ms - worker.left_ms <= LEFT_LATELY_MS
    is_in_pool = reason is LossReason.OTHER_LIFE
    if end is WorkerEnd.ENDED and not is_in_pool and (worker.is_outdated or was_to_leave):
        return WorkerEnd.UNKNOWN
    if end is WorkerEnd.UNKNOWN and worker.named_ms is not None:
        return WorkerEnd.UNREACHABLE
    return end


def record_loss(state: PartitionState, worker: Worker, loss: WorkerLoss) -> None:
    """Remember the loss of a worker that may have crashed.

    One without tasks counts if it has certainly ended: it shows that workers go by themselves.
    """
    may_have_crashed = loss.end is WorkerEnd.ENDED or (
        loss.end is WorkerEnd.UNKNOWN and bool(worker.runs)
    )
    if may_have_crashed and not worker.is_loss_recorded:
        worker.is_loss_recorded = True
        find_pool(state, worker.entry.service).losses.append(loss)


def judge_loss(
    state: PartitionState, run: Run, reason: LossReason, loss: WorkerLoss | None
) -> LossCause:
    """Return why a run was lost with its worker, as far as it is known."""
    was_there = run.state is not RunState.PLANNED and not run.may_have_ended
    if reason not in _ENDS or not was_there or run.is_proven:
        return LossCause.NOT_THERE
    if loss is None or loss.end is WorkerEnd.UNKNOWN:
        return LossCause.UNCLEAR
    if loss.end is WorkerEnd.PLANNED:
        return LossCause.PLANNED
    if loss.end is WorkerEnd.UNREACHABLE:
        return LossCause.UNREACHABLE
    if _is_lost_with_neighbours(state, run.task.step.job, loss):
        return LossCause.COMMON
    if _is_excused(state, run, loss):
        return LossCause.EXCUSED
    return LossCause.CRASH if _was_there(run, loss) else LossCause.UNCLEAR


def _was_there(run: Run, loss: WorkerLoss) -> bool:
    """Return whether a run is known to have been on its worker.

    An unanswered start may have found the worker dead. That is ruled out if the worker answered
    right before it; if it answered later too, the start didn't crash it.
    """
    if run.begun_ms is not None or run.listed_since_ms:
        return True
    return run.is_checked and loss.heard_ms <= run.sent_ms


def _is_excused(state: PartitionState, run: Run, loss: WorkerLoss) -> bool:
    """Return whether a crash doesn't speak against a task that may have caused it.

    A worker that goes some time after the start may have gone by itself. That speaks against the
    task only if no worker of the pool goes without it, or if it happens again and again.
    """
    if not ran_for_a_while(run, loss.gone_ms):
        return False
    is_rare = run.task.excused_losses < MAX_EXCUSED_LOSSES
    return is_rare and count_other_losses(state, run.task.step.job) > 0


def count_other_losses(state: PartitionState, job: Job) -> int:
    """Return how many workers of a job's pool went lately without any task as the likely cause.

    Those with a suspect of the job don't count.
    """
    since_ms = state.now_ms - LOSS_MEMORY_MS
    losses = find_pool(state, job.service).losses
    return sum(1 for loss in losses if loss.at_ms >= since_ms and _is_without(loss, job))


def _is_without(loss: WorkerLoss, job: Job) -> bool:
    """Return whether a worker went neither with the job nor with another likely cause."""
    return not _has_likely_cause(loss) and job.id not in loss.suspects


def _has_likely_cause(loss: WorkerLoss) -> bool:
    """Return whether a worker went right after a start, or under a task not cleared of it since.

    Otherwise tasks that crash their workers late would excuse each other.
    """
    return loss.is_sudden or any(task.losses_in_a_row() for task in loss.tasks)


def _is_lost_with_neighbours(state: PartitionState, job: Job, loss: WorkerLoss) -> bool:
    """Return whether most other workers of its rack or its pool went with a worker.

    They had no run of the job, so what took them away wasn't one of its tasks.
    """
    pool = find_pool(state, job.service)
    lost_racks = {
        other.worker_id: other.rack
        for other in pool.losses
        if _is_without(other, job) and _may_be_together(other, loss)
    }
    silent = [
        describe_loss(worker, LossReason.WORKER_GONE, state.now_ms)
        for worker in pool.workers.values()
        if worker.is_unresponsive
        and worker.named_ms is None
        and not worker.is_loss_recorded
        and not worker.is_leaving
        and not worker.entry.is_draining()
    ]
    lost_racks |= {
        other.worker_id: other.rack
        for other in silent
        if _is_without(other, job) and _may_be_together(other, loss)
    }
    lost_racks.pop(loss.worker_id, None)
    remaining = [
        worker.rack()
        for worker in pool.workers.values()
        if worker.id not in lost_racks
        and worker.id != loss.worker_id
        and not worker.is_unresponsive
        and worker.known_since_ms <= _earliest(loss)
    ]
    lost = list(lost_racks.values())
    return _are_most(len(lost), len(remaining)) or _are_most(
        lost.count(loss.rack), remaining.count(loss.rack)
    )


def _are_most(lost: int, remaining: int) -> bool:
    return lost >= max(MIN_LOST_TOGETHER, remaining)


def _may_be_together(one: WorkerLoss, other: WorkerLoss) -> bool:
    """Return whether two workers may have gone at the same moment."""
    return _earliest(one) <= _latest(other) and _earliest(other) <= _latest(one)


def _earliest(loss: WorkerLoss) -> int:
    return loss.silent_ms if loss.gone_ms is None else loss.gone_ms


def _latest(loss: WorkerLoss) -> int:
    return loss.silent_ms + LOST_TOGETHER_MS


def count_silent_workers(state: PartitionState, job: Job, *, but: str) -> int:
    """Return how many other workers of a job's pool are unresponsive now."""
    workers = find_pool(state, job.service).workers.values()
    return sum(1 for worker in workers if worker.is_unresponsive and worker.id != but)


def measure_run_ms(run: Run, gone_ms: int | None) -> int | None:
    """Return for how long a lost run had been there at least when its worker went, if known."""
    if gone_ms is None or run.begun_ms is None:
        return None
    return max(0, gone_ms - run.begun_ms)


def ran_for_a_while(run: Run, gone_ms: int | None) -> bool:
    """Return whether a run is known to have been there for longer than a sudden crash takes."""
    ran_ms = measure_run_ms(run, gone_ms)
    return ran_ms is not None and ran_ms >= SUDDEN_LOSS_MS
