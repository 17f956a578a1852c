"""Load reports of a partition's pools, for the owner of the fleet."""

from __future__ import annotations

from math import ceil

import msgspec

from heatherkeel.platform.callers import StepRequest
from heatherkeel.questions.messages import PoolLoad

from .claims import measure_claims, measure_kept
from .fitting import count_fitting
from .needs import find_needs, is_unavailable
from .open_steps import Urgency, find_urgency
from .starvation import count_starved_workers, find_largest_capacity, find_starved
from .state import PartitionState, Pool
from .worker import Worker


def measure_pools(state: PartitionState, *, with_claims: bool = False) -> list[PoolLoad]:
    """Return the load of each pool, on request with what its jobs can still use in time.

    Jobs that are worth nothing any more request no machines: after an overload a pool would request
    three times what there is, and take machines that other pools need for jobs in time. Nor do jobs
    that wait for the limit of their workspace, since no machine helps them, or jobs beyond their
    workspace's weight, which may not take machines from others.
    """
    loads = [_measure(pool, state.now_ms) for pool in state.pools.values()]
    if not with_claims:
        return loads
    return [
        msgspec.structs.replace(
            load, claims=measure_claims(state, pool), kept=measure_kept(pool, state.now_ms)
        )
        for load, pool in zip(loads, state.pools.values(), strict=True)
    ]


def _measure(pool: Pool, now_ms: int) -> PoolLoad:
    workers = pool.workers.values()
    used_cpu = sum(worker.used_cpu for worker in workers)
    used_memory_mb = sum(worker.used_memory_mb for worker in workers)
    waiting_cpu = waiting_memory_mb = lacking = 0
    starved = find_starved(pool, now_ms)
    needs = find_needs(pool, starved, now_ms)
    for step in pool.open_steps.unlimited():
        count = len(step.waiting())
        if find_urgency(step, now_ms) >= Urgency.EXCESS:
            continue
        waiting_cpu += 0 if step.request.fills else step.request.cpu * count
        waiting_memory_mb += step.request.memory_mb * count
        if step.request.lasts and count:
            lacking = max(lacking, _count_workers_needed(step.request, count, pool))
    long_running = {
        worker.id: sum(1 for run in worker.runs.values() if run.task.step.request.lasts)
        for worker in workers
    }
    return PoolLoad(
        service=pool.service,
        wanted_cpu=used_cpu + waiting_cpu,
        wanted_memory_mb=used_memory_mb + waiting_memory_mb,
        lacking=lacking,
        needs=needs.unmet,
        reserved=needs.reserved,
        starved=count_starved_workers(starved, find_largest_capacity(pool)),
        used_cpu=used_cpu,
        arriving_cpu=pool.arriving_cpu(now_ms),
        arrivals=len(pool.arrivals),
        workers={worker.id: worker.used_cpu for worker in workers if worker.is_listed},
        unheard=[worker.id for worker in workers if is_unavailable(worker, now_ms)],
        unlisted=[worker.id for worker in workers if _answers_unlisted(worker)],
        empty=[worker.id for worker in workers if worker.is_leaving and worker.is_empty()],
        lasting={worker_id: count for worker_id, count in long_running.items() if count},
    )


def _answers_unlisted(worker: Worker) -> bool:
    """Return whether a worker only lacks its entry, as after an outage of the store."""
    return not worker.is_listed and worker.is_ready() and not worker.is_unresponsive


def _count_workers_needed(step: StepRequest, count: int, pool: Pool) -> int:
    """Return how many empty workers can run this many tasks of a step.

    Steps that wait at the same time can share these workers, so their results aren't summed up.
    The result is 0 for tasks that are larger than any worker, or that need a label: machines
    would be added without limit, and none of them might help.
    """
    tasks_per_worker = max(
        (count_fitting(step, worker.entry.capacity) for worker in pool.workers.values()), default=0
    )
    if not tasks_per_worker or step.label:
        return 0
    return ceil(count / min(tasks_per_worker, step.max_per_worker or count))
