"""Whether a task fits on a worker that runs nothing else."""

from __future__ import annotations

from collections.abc import Container

from heatherkeel.platform.callers import StepRequest
from heatherkeel.platform.operator import Capacity


def fits_empty(step: StepRequest, capacity: Capacity, labels: Container[str]) -> bool:
    """Return whether a worker could run a task of a step once its other tasks have ended."""
    return (
        (step.fills or step.cpu <= capacity.cpu)
        and step.memory_mb <= capacity.memory_mb
        and step.gpu <= capacity.gpu
        and (not step.label or step.label in labels)
    )
