"""How full each pool of a partition is, for whoever moves machines."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

from heatherkeel.platform.callers import StepRequest
from heatherkeel.platform.operator import Capacity
from heatherkeel.questions.messages import Need, PoolLoad

from .const import MAX_NEEDS, UNHEARD_MS
from .models import Worker
from .open_steps import Urgency, find_urgency
from .state import PartitionState, Pool


@dataclass(frozen=True, kw_only=True, slots=True)
class _Room:
    """What a worker has beside its lasting tasks, and its labels."""

    capacity: Capacity
    labels: list[str]


def measure_pools(state: PartitionState) -> list[PoolLoad]:
    """Return the load of each pool.

    Jobs that are worth nothing any more take the room that is left, and ask for no machine: after
    a turn that was beyond the room, a pool asked for three times what there was, nearly all of it
    for these, while the next pool in its turn lacked machines for jobs in time.
    """
    return [_measure(pool, state.now_ms) for pool in state.pools.values()]


def _measure(pool: Pool, now_ms: int) -> PoolLoad:
    workers = pool.workers.values()
    used_cpu = sum(worker.used_cpu for worker in workers)
    used_memory_mb = sum(worker.used_memory_mb for worker in workers)
    waiting_cpu = waiting_memory_mb = lacking = 0
    needs: list[Need] = []
    rooms = _list_rooms(pool)
    for step in pool.open_steps:
        count = len(step.waiting())
        if count and len(needs) < MAX_NEEDS and not _has_worker(rooms, step.request):
            needs.append(_make_need(step.request))
        if find_urgency(step, now_ms) is Urgency.WORTHLESS:
            continue
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
        needs=needs,
        used_cpu=used_cpu,
        arriving_cpu=pool.arriving_cpu(now_ms),
        arrivals=len(pool.arrivals),
        workers={worker.id: worker.used_cpu for worker in workers if worker.is_listed},
        unheard=[worker.id for worker in workers if _is_unheard(worker, now_ms)],
        empty=[worker.id for worker in workers if worker.is_leaving and worker.is_empty()],
        lasting={worker_id: count for worker_id, count in lasting.items() if count},
    )


def _is_unheard(worker: Worker, now_ms: int) -> bool:
    """Say whether a worker is no room for jobs, though its machine is up for all others."""
    if not worker.is_listed or worker.is_leaving:
        return False
    is_unresponsive = worker.is_unresponsive and now_ms - worker.unresponsive_since_ms >= UNHEARD_MS
    return is_unresponsive or worker.quarantined_until_ms > now_ms


def _list_rooms(pool: Pool) -> list[_Room]:
    """Return what each worker has for tasks that end, the largest first.

    What its lasting tasks take never becomes free by itself, so a task that is larger than the rest
    would wait there for good.
    """
    rooms = [
        _measure_room(worker)
        for worker in pool.workers.values()
        if worker.is_listed and not worker.is_leaving and not worker.entry.is_draining()
    ]
    rooms.sort(key=lambda room: room.capacity.cpu, reverse=True)
    return rooms


def _measure_room(worker: Worker) -> _Room:
    cpu = memory_mb = gpu = 0
    for run in worker.runs.values():
        request = run.task.step.request
        if request.lasts:
            cpu += 0 if request.fills else request.cpu
            memory_mb += request.memory_mb
            gpu += request.gpu
    whole = worker.entry.capacity
    left = Capacity(cpu=whole.cpu - cpu, memory_mb=whole.memory_mb - memory_mb, gpu=whole.gpu - gpu)
    return _Room(capacity=left, labels=worker.entry.labels)


def _has_worker(rooms: list[_Room], step: StepRequest) -> bool:
    """Say whether a worker could hold a task of a step once its short tasks have ended."""
    return any(
        (not step.label or step.label in room.labels)
        and (step.fills or step.cpu <= room.capacity.cpu)
        and step.memory_mb <= room.capacity.memory_mb
        and step.gpu <= room.capacity.gpu
        for room in rooms
    )


def _make_need(step: StepRequest) -> Need:
    cpu = 0 if step.fills else step.cpu
    return Need(label=step.label, cpu=cpu, memory_mb=step.memory_mb, gpu=step.gpu)


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
