"""Needs of a pool: tasks that none of its workers can take, or only few of them."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice
from math import ceil

from heatherkeel.platform.callers import StepRequest
from heatherkeel.platform.operator import Capacity
from heatherkeel.questions.messages import Need

from .const import CAPACITY_GRACE_MS, MAX_NEEDS, NEEDS_TURN_MS
from .fitting import count_fitting, fits_empty
from .models import Step
from .open_steps import Urgency, find_urgency
from .state import Pool
from .worker import Worker


@dataclass(frozen=True, kw_only=True, slots=True)
class Needs:
    """What a pool lacks, and the workers that it can't do without."""

    unmet: list[Need]
    reserved: list[str]


@dataclass(frozen=True, kw_only=True, slots=True)
class _UsableCapacity:
    """A worker's capacity without that of its long-running tasks, and its labels."""

    worker_id: str
    capacity: Capacity
    labels: list[str]
    is_pinned: bool
    """It has a long-running task."""

    def holds(self, step: StepRequest) -> bool:
        """Return whether the worker could run a task of a step once its other tasks have ended."""
        return fits_empty(step, self.capacity, self.labels)


def find_needs(pool: Pool, starved: list[Step], now_ms: int) -> Needs:
    """Return what waiting tasks request that no worker has, the longest waiting ones first.

    Starved tasks with a label are needs even if a worker has that label: it may be of no use to
    them for long. If there are too many needs, they take turns, since those of tasks that fit no
    machine at all never end.
    """
    capacities = _list_usable_capacities(pool, now_ms)
    pinned = [usable for usable in capacities if usable.is_pinned]
    unpinned = [usable for usable in capacities if not usable.is_pinned]
    waiting_since_ms: dict[Need, int] = {}
    reserved: dict[str, None] = {}
    starved_labels = {step for step in starved if step.request.label}
    for step in pool.open_steps.unlimited():
        is_starved = step in starved_labels
        if not is_starved and any(usable.holds(step.request) for usable in pinned):
            continue
        waiting = len(step.waiting())
        if not waiting:
            continue
        # Without long-running tasks the sums show how many machines a share lacks.
        wanted = _count_wanted(step, waiting, unpinned, now_ms) if pinned else 1
        holding = (usable.worker_id for usable in unpinned if usable.holds(step.request))
        holders = list(islice(holding, wanted))
        if pinned:
            reserved.update(dict.fromkeys(holders))
        if is_starved or len(holders) < wanted:
            need = _create_need(step.request)
            since_ms = step.waiting_since_ms
            waiting_since_ms[need] = min(since_ms, waiting_since_ms.get(need, since_ms))
    needs = sorted(waiting_since_ms, key=lambda need: waiting_since_ms[need])
    return Needs(unmet=_take_turns(needs, now_ms), reserved=list(reserved))


def _count_wanted(step: Step, waiting: int, unpinned: list[_UsableCapacity], now_ms: int) -> int:
    """Return how many workers without long-running tasks a step should have that fits on no other.

    By sums a share has enough for such tasks: room beside long-running tasks counts too.
    """
    request = step.request
    if request.lasts or find_urgency(step, now_ms) >= Urgency.EXCESS:
        return 1
    most = max((count_fitting(request, usable.capacity) for usable in unpinned), default=1)
    return ceil(waiting / max(1, min(most, request.max_per_worker or most)))


def _take_turns(needs: list[Need], now_ms: int) -> list[Need]:
    if len(needs) <= MAX_NEEDS:
        return needs
    turn = now_ms // NEEDS_TURN_MS * MAX_NEEDS % len(needs)
    return (needs[turn:] + needs[:turn])[:MAX_NEEDS]


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
        and not is_unavailable(worker, now_ms)
    ]
    capacities.sort(key=lambda usable: usable.capacity.cpu, reverse=True)
    return capacities


def is_unavailable(worker: Worker, now_ms: int) -> bool:
    """Return whether a listed worker is unresponsive or quarantined, so it offers no capacity."""
    if not worker.is_listed:
        return False
    is_unresponsive = (
        worker.is_unresponsive and now_ms - worker.unresponsive_since_ms >= CAPACITY_GRACE_MS
    )
    return is_unresponsive or worker.quarantined_until_ms > now_ms


def _measure_usable_capacity(worker: Worker) -> _UsableCapacity:
    cpu = memory_mb = gpu = 0
    is_pinned = False
    for run in worker.runs.values():
        request = run.task.step.request
        if request.lasts:
            is_pinned = True
            cpu += 0 if request.fills else request.cpu
            memory_mb += request.memory_mb
            gpu += request.gpu
    total = worker.entry.capacity
    left = Capacity(cpu=total.cpu - cpu, memory_mb=total.memory_mb - memory_mb, gpu=total.gpu - gpu)
    return _UsableCapacity(
        worker_id=worker.id, capacity=left, labels=worker.entry.labels, is_pinned=is_pinned
    )


def _create_need(step: StepRequest) -> Need:
    cpu = 0 if step.fills else step.cpu
    return Need(label=step.label, cpu=cpu, memory_mb=step.memory_mb, gpu=step.gpu)
