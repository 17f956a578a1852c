"""Finds jobs that have waited for long with nothing running, and counts the workers they lack.

Jobs that are worth nothing any more request no machines. After an overload a share would work off
hundreds of them on the few machines that it keeps, while other shares and the standby pool idle.
"""

from __future__ import annotations

from heapq import nsmallest
from math import ceil

from heatherkeel.platform.operator import Capacity

from .const import MAX_STARVED, STARVED_MS
from .models import Step
from .placement import can_take
from .state import Pool
from .suspicion import group_candidates
from .worker import Worker


def find_starved(pool: Pool, now_ms: int) -> list[Step]:
    """Return steps of starved jobs that no worker can take now, the longest waiting first.

    A step that a worker could take is left out, since a machine more wouldn't help it.
    """
    starved = [
        step
        for step in pool.open_steps.unlimited()
        if now_ms - step.waiting_since_ms >= STARVED_MS and _has_nothing_running(step)
    ]
    if not starved:
        return []
    if all(worker.is_outdated for worker in pool.workers.values()) and pool.workers:
        # The store can't be read, so nothing would start on a further machine either.
        return []
    workers = [worker for worker in pool.workers.values() if worker.accepts_work(now_ms)]
    longest = nsmallest(MAX_STARVED, starved, key=lambda step: (step.waiting_since_ms, step.name()))
    return [step for step in longest if not _can_start(step, workers)]


def _has_nothing_running(step: Step) -> bool:
    return bool(step.waiting()) and (step.request.lasts or not step.job.has_runs())


def _can_start(step: Step, workers: list[Worker]) -> bool:
    return any(
        can_take(step, worker) for group in group_candidates(step, workers) for worker in group
    )


def count_starved_workers(steps: list[Step], largest: Capacity | None) -> int:
    """Return how many workers can run one task of each of these steps beside each other.

    Long-running tasks are counted as lacking, and tasks with a label or larger than the pool's
    largest worker are needs.
    """
    if largest is None:
        return min(1, len(steps))
    parts = 0.0
    for step in steps:
        request = step.request
        if request.lasts or request.label:
            continue
        part = max(
            request.cpu / largest.cpu if largest.cpu and not request.fills else 0.0,
            request.memory_mb / largest.memory_mb if largest.memory_mb else 0.0,
            request.gpu / largest.gpu if largest.gpu else float(request.gpu > 0) * 2,
        )
        # Tasks of more than half of a machine don't share one.
        parts += 0.0 if part > 1 else 1 / int(1 / part) if part else 0.0
    return ceil(parts)
