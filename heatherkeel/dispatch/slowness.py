"""Finds workers that are slow against the learned durations of what they run.

A worker that is only slow answers, makes progress and fails nothing, so nothing else finds it; its
tasks make their jobs late.
"""

from __future__ import annotations

import logging
from collections import defaultdict
from math import exp, log
from statistics import fmean, median
from typing import Final

from .const import (
    MAX_ATTEMPT_TO_STOP,
    MAX_SLOW_WORKERS_FRACTION,
    MIN_PROJECTED,
    MIN_SLOW_STEPS,
    RESTART_GAIN,
    RESTART_MARGIN_MS,
    SLOW_FACTOR,
    SLOW_JUDGE_INTERVAL_MS,
    SLOW_JUDGED_MS,
    SLOW_MS,
)
from .events import CountSlowWorker, Effects
from .jobs import stop_run
from .models import Run, RunState
from .pools import find_pool
from .state import PartitionState
from .timing import find_elapsed_ms
from .worker import SpeedSample, Worker

_LOGGER = logging.getLogger(__name__)

SWITCH_VARIABLE: Final = "HEATHERKEEL_SLOW_WORKERS"
"""Environment variable; `off` means that no worker counts as slow."""


def record_speed(state: PartitionState, worker: Worker, run: Run, took_ms: float) -> None:
    """Record how long an ended run took against what was expected of it."""
    expected_ms = _expected_ms(state, run)
    if expected_ms:
        worker.speeds.append(
            SpeedSample(
                step=run.task.step.name(),
                at_ms=state.now_ms,
                slowdown=log(max(1.0, took_ms) / expected_ms),
            )
        )


def judge_speed(state: PartitionState, worker: Worker, effects: Effects) -> None:
    """Find out whether a worker is slow; if so, it gets work last for a while.

    Tasks that would end much sooner elsewhere are stopped, as far as other workers have room.
    """
    is_due = state.now_ms - worker.judged_ms >= SLOW_JUDGE_INTERVAL_MS
    if not state.finds_slow_workers or worker.is_slow(state.now_ms) or not is_due:
        return
    worker.judged_ms = state.now_ms
    slowdown = find_slowdown(state, worker)
    if slowdown is None or slowdown < SLOW_FACTOR or not _may_be_slow(state, worker):
        return
    worker.slow_until_ms = state.now_ms + SLOW_MS
    worker.speeds.clear()
    effects.add(CountSlowWorker())
    stopped = _stop_late_runs(state, worker, effects)
    _LOGGER.warning(
        "worker is slow, it gets work last",
        extra={
            "event": "worker_slow",
            "worker": worker.id,
            "slowdown": round(slowdown, 2),
            "stopped": stopped,
            "for_ms": SLOW_MS,
        },
    )


def find_slowdown(state: PartitionState, worker: Worker) -> float | None:
    """Return the factor by which a worker's tasks take longer than expected; None if unknown.

    The tasks of one step count once, and the middle of several steps counts: one step may take long
    by itself.
    """
    by_step: dict[str, list[float]] = defaultdict(list)
    for sample in worker.speeds:
        if state.now_ms - sample.at_ms <= SLOW_JUDGED_MS:
            by_step[sample.step].append(sample.slowdown)
    for run in worker.runs.values():
        projected_ms = _project_ms(state, worker, run)
        expected_ms = _expected_ms(state, run) if projected_ms else None
        if projected_ms and expected_ms:
            by_step[run.task.step.name()].append(log(projected_ms / expected_ms))
    if len(by_step) < MIN_SLOW_STEPS:
        return None
    return exp(median(fmean(slowdowns) for slowdowns in by_step.values()))


def prefer_fast(choices: list[list[Worker]], now_ms: int) -> list[list[Worker]]:
    """Return the groups, each preceded by its workers that aren't slow.

    A group's slow workers still come before the next group, since suspicion weighs more than speed.
    Groups stay whole, because a gang may need all of one.
    """
    if not any(worker.is_slow(now_ms) for workers in choices for worker in workers):
        return choices
    groups = []
    for workers in choices:
        groups += [[worker for worker in workers if not worker.is_slow(now_ms)], workers]
    return groups


def _expected_ms(state: PartitionState, run: Run) -> float | None:
    """Return the expected duration of a run; None if its queue's ends say too little.

    Ended tasks of its step don't count: most of them ran on the same worker.
    """
    step = run.task.step
    return state.durations.expected_ms(step.job.queue, step.request, None, quantile=0.5)


def _project_ms(state: PartitionState, worker: Worker, run: Run) -> float | None:
    """Return how long a run will have taken at its end, by its progress; None if that is unknown.

    A run counts from half of its expected duration on: earlier, its progress says little. It counts
    whether it is late or not, or each worker would be judged by its longest tasks.
    """
    if run.may_have_ended:
        return None
    elapsed_ms = find_elapsed_ms(worker, run, state.now_ms)
    expected_ms = _expected_ms(state, run) if elapsed_ms is not None else None
    if elapsed_ms is None or expected_ms is None or elapsed_ms < MIN_PROJECTED * expected_ms:
        return None
    return elapsed_ms * 100 / min(100.0, max(1.0, run.percent))


def _may_be_slow(state: PartitionState, worker: Worker) -> bool:
    """Return whether one more worker of the pool may count as slow.

    If many are, the jobs are the likelier cause, and a pool has to use what it has.
    """
    workers = find_pool(state, worker.entry.service).workers.values()
    slow = sum(1 for other in workers if other.is_slow(state.now_ms))
    return slow + 1 <= MAX_SLOW_WORKERS_FRACTION * len(workers)


def _stop_late_runs(state: PartitionState, worker: Worker, effects: Effects) -> int:
    """Stop runs that would end much sooner elsewhere; return how many."""
    pool = find_pool(state, worker.entry.service)
    others = [
        other
        for other in pool.workers.values()
        if other.accepts_work(state.now_ms) and not other.is_slow(state.now_ms)
    ]
    free_cpu = sum(max(0, other.free_cpu()) for other in others)
    stopped = 0
    for run in list(worker.runs.values()):
        request = run.task.step.request
        has_room = request.cpu <= free_cpu and any(other.fits(request) for other in others)
        if has_room and _ends_sooner_elsewhere(state, worker, run):
            stop_run(state, run, effects)
            free_cpu -= request.cpu
            stopped += 1
    return stopped


def _ends_sooner_elsewhere(state: PartitionState, worker: Worker, run: Run) -> bool:
    request = run.task.step.request
    if run.attempt > MAX_ATTEMPT_TO_STOP:
        return False
    projected_ms = _project_ms(state, worker, run)
    expected_ms = _expected_ms(state, run)
    if run.state is not RunState.RUNNING or request.is_gang or not projected_ms or not expected_ms:
        return False
    left_here_ms = projected_ms * (1 - run.percent / 100)
    return left_here_ms > RESTART_GAIN * (expected_ms + RESTART_MARGIN_MS)
