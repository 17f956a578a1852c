"""Finds tasks that could run and don't, and logs why.

A task that may be started is running, waits in `OpenSteps`, or has a start or stop that isn't
settled. Each of these can last for long by a fault, and only this search tells them apart.
"""

from __future__ import annotations

import logging
from collections import Counter
from itertools import islice
from typing import Final

from .const import (
    EXPLAIN_AFTER_MS,
    EXPLAIN_AGAIN_MS,
    EXPLAIN_INTERVAL_MS,
    MAX_EXPLAINED,
    UNSETTLED_MS,
)
from .events import CountWaiting, Effects
from .models import Run, RunState, Step, WaitReason
from .open_steps import find_urgency
from .pools import find_pool
from .state import PartitionState, Pool
from .stranded import can_hold_here
from .suspicion import group_candidates
from .tickets import has_valid_ticket, needs_advice
from .worker import Worker

_LOGGER = logging.getLogger(__name__)

_KNOWN: Final = 1 << 62

_GOING = frozenset({WaitReason.NOT_LISTED, WaitReason.DRAINING, WaitReason.LEAVING})


def explain_waiting(state: PartitionState, effects: Effects) -> None:
    """Log steps that have waited for long, and runs that have been unsettled for long."""
    if state.now_ms - state.explained_ms < EXPLAIN_INTERVAL_MS:
        return
    state.explained_ms = state.now_ms
    for pool in state.pools.values():
        for step in islice(_list_overdue(state, pool), MAX_EXPLAINED):
            _explain_step(state, pool, step, effects)
    for step in islice(_list_forgotten(state), MAX_EXPLAINED):
        _log_step(state, step, effects, reasons=Counter({WaitReason.FORGOTTEN: 1}), free=0)
    for run in islice(_list_unsettled(state), MAX_EXPLAINED):
        _log_unsettled(state, run)


def _list_overdue(state: PartitionState, pool: Pool) -> list[Step]:
    """Return the steps that have waited for long and weren't logged lately, the longest first."""
    overdue = [
        step
        for step in pool.open_steps
        if state.now_ms - step.waiting_since_ms >= EXPLAIN_AFTER_MS
        and (not step.explained_ms or state.now_ms - step.explained_ms >= EXPLAIN_AGAIN_MS)
        and step.waiting()
    ]
    overdue.sort(key=lambda step: (step.waiting_since_ms, step.name()))
    return overdue


def _list_forgotten(state: PartitionState) -> list[Step]:
    """Return open steps with tasks to start that aren't among those that wait."""
    return [
        step
        for job in state.jobs.values()
        for step in job.steps()
        if step.is_open
        and not step.is_done()
        and step not in find_pool(state, job.service).open_steps
        and step.waiting()
    ]


def _list_unsettled(state: PartitionState) -> list[Run]:
    """Return the runs whose order has been without effect, or worker unresponsive, for long."""
    return [
        run
        for worker in state.workers.values()
        for run in worker.runs.values()
        if state.now_ms - _find_unsettled_since_ms(worker, run) >= UNSETTLED_MS
        and (not run.explained_ms or state.now_ms - run.explained_ms >= EXPLAIN_AGAIN_MS)
    ]


def _find_unsettled_since_ms(worker: Worker, run: Run) -> int:
    """Return since when it isn't known whether a run is there; far ahead if it is known."""
    if run.state is not RunState.RUNNING:
        return max(run.started_ms, run.stopping_since_ms)
    return worker.unresponsive_since_ms if worker.is_unresponsive else _KNOWN


def _explain_step(state: PartitionState, pool: Pool, step: Step, effects: Effects) -> None:
    free = [worker for worker in pool.workers.values() if worker.fits(step.request)]
    reasons: Counter[WaitReason]
    if not state.can_start:
        reasons = Counter({WaitReason.CANT_START: 1})
    elif step in pool.open_steps.limited_entries:
        reasons = Counter({WaitReason.LIMIT: 1})
    elif not can_hold_here(state, pool, step.request, {}):
        reasons = Counter({WaitReason.NO_HOLDER: 1})
    else:
        groups = group_candidates(step, free)
        open_to_step = {worker.id for workers in groups for worker in workers}
        reasons = Counter(_find_reason(state, step, worker, open_to_step) for worker in free)
        full = len(pool.workers) - len(free)
        if full or not free:
            reasons[WaitReason.NO_ROOM] = full
    _log_step(state, step, effects, reasons=reasons, free=len(free))


def _find_reason(
    state: PartitionState, step: Step, worker: Worker, open_to_step: set[str]
) -> WaitReason:
    """Return why a worker with room for a task of a step gets none."""
    request = step.request
    is_full = step.runs_on(worker.id) >= (request.max_per_worker or len(step.tasks) + 1)
    checks = (
        (WaitReason.NOT_LISTED, not worker.is_listed),
        (WaitReason.OTHER_ENTRY, not worker.has_entry()),
        (WaitReason.DRAINING, worker.entry.is_draining()),
        (WaitReason.LEAVING, worker.is_leaving),
        (WaitReason.NOT_READY, not worker.is_ready()),
        (WaitReason.UNRESPONSIVE, worker.is_unresponsive),
        (WaitReason.OUTDATED, worker.is_outdated),
        (WaitReason.QUARANTINED, state.now_ms < worker.quarantined_until_ms),
        (WaitReason.FULL, state.now_ms < worker.full_until_ms),
        (WaitReason.OTHER_LABEL, bool(request.label) and request.label not in worker.entry.labels),
        (WaitReason.MAX_PER_WORKER, is_full),
        (WaitReason.SUSPECT, worker.id not in open_to_step),
    )
    for reason, applies in checks:
        if applies:
            return reason
    if needs_advice(state, step) and not has_valid_ticket(state, step, worker):
        return WaitReason.NO_TICKET
    return WaitReason.NOT_EXAMINED


def _find_main_reason(reasons: Counter[WaitReason]) -> WaitReason:
    """Return the reason of most workers with room; those that go away anyway don't count."""
    staying = Counter({reason: count for reason, count in reasons.items() if reason not in _GOING})
    staying.pop(WaitReason.NO_ROOM, None)
    return max(staying, key=lambda reason: staying[reason], default=WaitReason.NO_ROOM)


def _log_step(
    state: PartitionState,
    step: Step,
    effects: Effects,
    *,
    reasons: Counter[WaitReason],
    free: int,
) -> None:
    step.explained_ms = state.now_ms
    reason = _find_main_reason(reasons)
    effects.add(CountWaiting(reason=reason))
    pool = state.pools[step.job.service]
    request = step.request
    _LOGGER.info(
        "step waits: %s",
        reason.value,
        extra={
            "event": "step_waits",
            "job": step.job.id,
            "step": step.name(),
            "service": step.job.service,
            "waits_ms": state.now_ms - step.waiting_since_ms,
            "urgency": find_urgency(step, state.now_ms).name.lower(),
            "tasks": len(step.waiting()),
            "running": sum(len(task.runs) for task in step.tasks),
            "needs": [request.cpu, request.memory_mb, request.gpu],
            "max_per_worker": request.max_per_worker,
            "crashes": step.job.possible_crashes,
            "steps": len(pool.open_steps),
            "workers": len(pool.workers),
            "with_room": free,
            "refused": {reason.name.lower(): count for reason, count in reasons.items()},
        },
    )


def _log_unsettled(state: PartitionState, run: Run) -> None:
    worker = state.workers[run.worker_id]
    run.explained_ms = state.now_ms
    _LOGGER.warning(
        "run unsettled",
        extra={
            "event": "run_unsettled",
            "task": run.task.name,
            "attempt": run.attempt,
            "worker": worker.id,
            "order": run.state.value,
            "age_ms": state.now_ms - _find_unsettled_since_ms(worker, run),
            "answered": run.answered_ms is not None,
            "timed_out": run.start_timed_out_ms is not None,
            "is_listed": worker.is_listed,
            "unresponsive": worker.is_unresponsive,
            "silent_ms": state.now_ms - worker.clock_received_ms,
            "can_start": state.can_start,
        },
    )
