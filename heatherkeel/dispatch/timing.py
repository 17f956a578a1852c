"""Measures how long tasks run, for the durations of later ones."""

from __future__ import annotations

from heatherkeel.durations.contents import make_content_key
from heatherkeel.durations.models import StepKind

from .const import MAX_UNWATCHED_MS, MIN_MEASURED_FRACTION
from .events import Effects, ObserveDuration
from .models import Run, RunState, Step
from .state import PartitionState
from .worker import Worker


def measure_run(worker: Worker, run: Run, now_ms: int) -> int | None:
    """Return how long a run took that its worker lists as ended now; None if that isn't certain.

    A run begins before its start is answered, and ends before its end is listed; both take little
    time unless the worker or the owner was unresponsive.
    """
    if worker.unwatched_ms > MAX_UNWATCHED_MS:
        return None
    return find_elapsed_ms(worker, run, now_ms)


def find_elapsed_ms(worker: Worker, run: Run, now_ms: int) -> int | None:
    """Return for how long a run has been at work; None if its time says nothing of its worker."""
    if run.begun_ms is None or run.answered_ms is None or run.state is not RunState.RUNNING:
        return None
    if run.was_doubtful or len(run.task.runs) > 1 or not _is_comparable(worker, run):
        return None
    return now_ms - _find_begin_ms(run)


def _is_comparable(worker: Worker, run: Run) -> bool:
    """Return whether the task did all of its work, at full speed.

    Not if it may have continued from a checkpoint, got what others leave, or ran away from its
    data or from the other tasks of a step that should stay together.
    """
    step = run.task.step
    request = step.request
    if request.lasts or request.fills or (request.saves and run.attempt > 1):
        return False
    if request.data_rack and request.data_rack != worker.rack():
        return False
    return not request.is_colocated or len(step.holders()) == 1


def _find_begin_ms(run: Run) -> int:
    """Return when a run began; the tasks of a gang begin when the last of them has started."""
    runs = [run]
    if run.task.step.request.is_gang:
        runs = [other for task in run.task.step.tasks for other in task.runs]
    return max(other.answered_ms or 0 for other in runs)


def record_step_durations(state: PartitionState, step: Step, effects: Effects) -> None:
    """Learn from a step whose tasks are all done, if most of them were measured.

    If only a few were, those that took long may be the ones that are missing.
    """
    expected = 1 if step.request.is_gang else len(step.tasks)
    if step.times.tasks < MIN_MEASURED_FRACTION * expected:
        return
    job = step.job
    kind = StepKind(
        queue=job.queue,
        content=make_content_key(job.queue, job.request, step.number),
        declared_ms=step.request.estimated_ms,
        tasks=len(step.tasks),
    )
    errors = state.durations.record(kind, step.times, state.now_ms)
    if errors is not None:
        effects.add(ObserveDuration(errors=errors))
