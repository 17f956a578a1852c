"""Whether tasks fit on workers that run nothing else."""

from __future__ import annotations

from collections.abc import Container, Iterable

import msgspec

from heatherkeel.platform.callers import StepRequest
from heatherkeel.platform.operator import Capacity, WorkerEntry


def fits_empty(step: StepRequest, capacity: Capacity, labels: Container[str]) -> bool:
    """Return whether a worker could run a task of a step once its other tasks have ended."""
    return (
        (step.fills or step.cpu <= capacity.cpu)
        and step.memory_mb <= capacity.memory_mb
        and step.gpu <= capacity.gpu
        and (not step.label or step.label in labels)
    )


def count_fitting(step: StepRequest, capacity: Capacity) -> int:
    """Return how many tasks of a step an empty worker holds; all, if they request nothing."""
    demands = (
        (step.cpu, capacity.cpu),
        (step.memory_mb, capacity.memory_mb),
        (step.gpu, capacity.gpu),
    )
    return min((available // demand for demand, available in demands if demand), default=step.count)


def can_hold(step: StepRequest, entries: Iterable[WorkerEntry]) -> bool:
    """Return whether these workers could run a step if they ran nothing else.

    A gang has to fit as a whole; of any other step, one task at a time is enough.
    """
    suitable = (entry for entry in entries if fits_empty(step, entry.capacity, entry.labels))
    if not step.is_gang:
        return any(True for _ in suitable)
    counted = msgspec.structs.replace(step, cpu=0) if step.fills else step
    most = step.max_per_worker or step.count
    left = step.count
    for entry in suitable:
        left -= min(most, count_fitting(counted, entry.capacity))
        if left <= 0:
            return True
    return False
