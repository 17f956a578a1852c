"""Load reports of a partition's pools, for the owner of the fleet."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

import msgspec

from heatherkeel.platform.callers import StepRequest
from heatherkeel.platform.operator import Capacity
from heatherkeel.questions.messages import Need, PoolLoad

from .claims import measure_claims, measure_kept
from .const import CAPACITY_GRACE_MS, MAX_NEEDS, NEEDS_TURN_MS
from .models import Step
from .open_steps import Urgency, find_urgency
from .starvation import count_starved_workers, find_starved
from .state import PartitionState, Pool
from .worker import Worker


@dataclass(frozen=True, kw_only=True, slots=True)
class _UsableCapacity:
    """A worker's capacity without that of its long-running tasks, and its labels."""

    capacity: Capacity
    labels: list[str]


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
        needs=_list_needs(pool, starved, now_ms),
        starved=count_starved_workers(starved, _find_largest_capacity(pool)),
        used_cpu=used_cpu,
        arriving_cpu=pool.arriving_cpu(now_ms),
        arrivals=len(pool.arrivals),
        workers={worker.id: worker.used_cpu for worker in workers if worker.is_listed},
        unheard=[worker.id for worker in workers if _is_unavailable(worker, now_ms)],
        unlisted=[worker.id for worker in workers if _answers_unlisted(worker)],
        empty=[worker.id for worker in workers if worker.is_leaving and worker.is_empty()],
        lasting={worker_id: count for worker_id, count in long_running.items() if count},
    )


def _is_unavailable(worker: Worker, now_ms: int) -> bool:
    """Return whether a listed worker is unresponsive or quarantined, so it offers no capacity."""
    if not worker.is_listed:
        return False
    is_unresponsive = (
        worker.is_unresponsive and now_ms - worker.unresponsive_since_ms >= CAPACITY_GRACE_MS
    )
    return is_unresponsive or worker.quarantined_until_ms > now_ms


def _answers_unlisted(worker: Worker) -> bool:
    """Return whether a worker only lacks its entry, as after an outage of the store."""
    return not worker.is_listed and worker.is_ready() and not worker.is_unresponsive


def _list_needs(pool: Pool, starved: list[Step], now_ms: int) -> list[Need]:
    """Return what waiting tasks request that no worker has, the longest waiting ones first.

    Starved tasks with a label are needs even if a worker has that label: it may be of no use to
    them for long. If there are too many needs, they take turns, since those of tasks that fit no
    machine at all never end.
    """
    capacities = _list_usable_capacities(pool, now_ms)
    waiting_since_ms: dict[Need, int] = {}
    starved_labels = {step for step in starved if step.request.label}
    for step in pool.open_steps.unlimited():
        is_unmet = step in starved_labels or not _can_any_worker_run(capacities, step.request)
        if is_unmet and step.waiting():
            need = _create_need(step.request)
            since_ms = step.waiting_since_ms
            waiting_since_ms[need] = min(since_ms, waiting_since_ms.get(need, since_ms))
    needs = sorted(waiting_since_ms, key=lambda need: waiting_since_ms[need])
    if len(needs) <= MAX_NEEDS:
        return needs
    turn = now_ms // NEEDS_TURN_MS * MAX_NEEDS % len(needs)
    return (needs[turn:] + needs[:turn])[:MAX_NEEDS]


def _find_largest_capacity(pool: Pool) -> Capacity | None:
    """Return the capacity of the pool's largest worker; None if it has no worker."""
    capacities = [worker.entry.capacity for worker in pool.workers.values()]
    return max(capacities, key=lambda capacity: (capacity.cpu, capacity.memory_mb), default=None)


def _list_usable_capacities(pool: Pool, now_ms: int) -> list[_UsableCapacity]:
    """Return each worker's capacity for tasks that end, the largest first.

    Capacity of long-running tasks isn't freed by waiting, so a task that needs some of it would
    wait forever, as it would for a worker that offers no capacity.
    """
    capacities = [
        _measure_usable_capacity(worker)
        for worker in pool.workers.values()
        if worker.is_listed
        and not worker.is_leaving
        and not worker.entry.is_draining()
        and not _is_unavailable(worker, now_ms)
    ]
    capacities.sort(key=lambda usable: usable.capacity.cpu, reverse=True)
    return capacities


def _measure_usable_capacity(worker: Worker) -> _UsableCapacity:
    cpu = memory_mb = gpu = 0
    for run in worker.runs.values():
        request = run.task.step.request
        if request.lasts:
            cpu += 0 if request.fills else request.cpu
            memory_mb += request.memory_mb
            gpu += request.gpu
    total = worker.entry.capacity
    left = Capacity(cpu=total.cpu - cpu, memory_mb=total.memory_mb - memory_mb, gpu=total.gpu - gpu)
    return _UsableCapacity(capacity=left, labels=worker.entry.labels)


def _can_any_worker_run(capacities: list[_UsableCapacity], step: StepRequest) -> bool:
    """Return whether any worker could run a task of a step once its other tasks have ended."""
    return any(
        (not step.label or step.label in usable.labels)
        and (step.fills or step.cpu <= usable.capacity.cpu)
        and step.memory_mb <= usable.capacity.memory_mb
        and step.gpu <= usable.capacity.gpu
        for usable in capacities
    )


def _create_need(step: StepRequest) -> Need:
    cpu = 0 if step.fills else step.cpu
    return Need(label=step.label, cpu=cpu, memory_mb=step.memory_mb, gpu=step.gpu)


def _count_workers_needed(step: StepRequest, count: int, pool: Pool) -> int:
    """Return how many empty workers can run this many tasks of a step.

    Steps that wait at the same time can share these workers, so their results aren't summed up.
    The result is 0 for tasks that are larger than any worker, or that need a label: machines
    would be added without limit, and none of them might help.
    """
    tasks_per_worker = max(
        (_count_fitting(step, worker.entry.capacity) for worker in pool.workers.values()), default=0
    )
    if not tasks_per_worker or step.label:
        return 0
    return ceil(count / min(tasks_per_worker, step.max_per_worker or count))


def _count_fitting(step: StepRequest, capacity: Capacity) -> int:
    """Return how many tasks of a step an empty worker holds; all, if they request nothing."""
    demands = (
        (step.cpu, capacity.cpu),
        (step.memory_mb, capacity.memory_mb),
        (step.gpu, capacity.gpu),
    )
    return min((available // demand for demand, available in demands if demand), default=step.count)
