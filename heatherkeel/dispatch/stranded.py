"""Finds jobs that no worker of their partition can run, even if it ran nothing else."""

from __future__ import annotations

from collections.abc import Iterator

from heatherkeel.platform.callers import StepRequest

from .const import CAPACITY_GRACE_MS
from .fitting import can_hold
from .models import Job, Step
from .state import PartitionState, Pool
from .worker import Worker

Shape = tuple[str, int, int, int, bool, int, int, bool]
"""What decides which workers can hold a step."""


def find_stranded(state: PartitionState) -> Iterator[Job]:
    """Yield the jobs without runs of which no worker here can run a waiting step."""
    for pool in state.pools.values():
        known: dict[Shape, bool] = {}
        jobs: dict[Job, None] = {}
        for step in pool.open_steps.unlimited():
            if not can_hold_here(state, pool, step.request, known):
                jobs[step.job] = None
        for job in jobs:
            if not job.has_runs() and not _can_go_on(state, pool, job, known):
                yield job


def can_hold_here(
    state: PartitionState, pool: Pool, request: StepRequest, known: dict[Shape, bool]
) -> bool:
    """Return whether the pool's workers could run a step; `known` has the answers so far."""
    shape = _shape_of(request)
    if shape not in known:
        present = (worker for worker in pool.workers.values() if _is_present(state, worker))
        known[shape] = can_hold(request, (worker.entry for worker in present))
    return known[shape]


def _shape_of(request: StepRequest) -> Shape:
    return (
        request.label,
        request.cpu,
        request.memory_mb,
        request.gpu,
        request.fills,
        request.count if request.is_gang else 0,
        request.max_per_worker,
        request.is_gang,
    )


def _is_present(state: PartitionState, worker: Worker) -> bool:
    """Return whether a worker is there for tasks that wait now."""
    is_silent = (
        worker.is_unresponsive and state.now_ms - worker.unresponsive_since_ms >= CAPACITY_GRACE_MS
    )
    is_going = worker.is_leaving or worker.entry.is_draining()
    return worker.is_listed and not is_silent and not is_going


def list_waiting(job: Job) -> list[Step]:
    """Return the steps of a job that have tasks to start."""
    return [step for step in job.steps() if step.is_open and step.waiting()]


def _can_go_on(state: PartitionState, pool: Pool, job: Job, known: dict[Shape, bool]) -> bool:
    waiting = list_waiting(job)
    return not waiting or any(can_hold_here(state, pool, step.request, known) for step in waiting)
