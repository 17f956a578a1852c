"""The pools of a partition, and the steps that wait for capacity in them."""

from __future__ import annotations

from .models import Run, Step
from .state import PartitionState, Pool


def find_pool(state: PartitionState, service: str) -> Pool:
    """Return a service's pool, created without workers if there is none."""
    pool = state.pools.get(service)
    if pool is None:
        pool = state.pools[service] = Pool(service=service)
    return pool


def enqueue_step(state: PartitionState, step: Step) -> None:
    """Queue an open step, so that its tasks start when there is capacity."""
    if step.is_open and not step.job.state.is_final():
        find_pool(state, step.job.service).open_steps.add(step, state.now_ms)


def remove_run(state: PartitionState, run: Run) -> None:
    """Remove a run from its task and its worker; it must be certain that it no longer runs."""
    run.task.remove_run(run)
    worker = state.workers.get(run.worker_id)
    if worker is not None and worker.runs.get(run.key()) is run:
        worker.remove(run)
