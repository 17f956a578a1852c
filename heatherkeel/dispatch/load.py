"""How full each pool of a partition is, for whoever moves machines."""

from __future__ import annotations

from math import ceil

from heatherkeel.platform.callers import StepRequest
from heatherkeel.platform.operator import Capacity
from heatherkeel.questions.messages import PoolLoad

from .state import PartitionState, Pool


def measure_pools(state: PartitionState) -> list[PoolLoad]:
    """Return the load of each pool."""
    return [_measure(pool, state.now_ms) for pool in state.pools.values()]


def _measure(pool: Pool, now_ms: int) -> PoolLoad:
    workers = pool.workers.values()
    used_cpu = sum(worker.used_cpu for worker in workers)
    used_memory_mb = sum(worker.used_memory_mb for worker in workers)
    waiting_cpu = waiting_memory_mb = lacking = 0
    for step in pool.open_steps:
        count = len(step.waiting())
        waiting_cpu += 0 if step.request.fills else step.request.cpu * count
        waiting_memory_mb += step.request.memory_mb * count
        if step.request.lasts and count:
            lacking = max(lacking, _workers_for(step.request, count, pool))
    lasting = {
        worker.id: sum(1 for run in worker.runs.values() if run.task.step.request.lasts)
        for worker in workers
    }
    return PoolLoad(
        service=pool.service,
        wanted_cpu=used_cpu + waiting_cpu,
        wanted_memory_mb=used_memory_mb + waiting_memory_mb,
        lacking=lacking,
        used_cpu=used_cpu,
        arriving_cpu=pool.arriving_cpu(now_ms),
        arrivals=len(pool.arrivals),
        workers={worker.id: worker.used_cpu for worker in workers if worker.is_listed},
        empty=[worker.id for worker in workers if worker.is_leaving and worker.is_empty()],
        lasting={worker_id: count for worker_id, count in lasting.items() if count},
    )


def _workers_for(step: StepRequest, count: int, pool: Pool) -> int:
    """Return how many empty workers hold so many tasks of a step.

    Steps that wait at the same time can share them, unless their tasks are large; what is still
    without room then asks again. Nothing is asked for tasks that are larger than any worker, or
    that want a label: machines would come without end, and none of them might help.
    """
    most = max(
        (_count_fitting(step, worker.entry.capacity) for worker in pool.workers.values()), default=0
    )
    if not most or step.label:
        return 0
    return ceil(count / min(most, step.max_per_worker or count))


def _count_fitting(step: StepRequest, room: Capacity) -> int:
    """Return how many tasks of a step an empty worker holds; one that asks for nothing fits all."""
    asked = ((step.cpu, room.cpu), (step.memory_mb, room.memory_mb), (step.gpu, room.gpu))
    return min((has // wants for wants, has in asked if wants), default=step.count)
