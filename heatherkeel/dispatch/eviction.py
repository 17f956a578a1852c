"""Eviction of tasks from workers that drain or leave, within each step's `max_unavailable`."""

from __future__ import annotations

from .claims import find_run_urgency, is_stoppable, loses_little
from .const import GIVE_WAY_MS
from .events import Effects
from .jobs import stop_run
from .models import Run, RunState, Step, Task
from .open_steps import Urgency
from .state import PartitionState
from .worker import Worker


def evict_tasks(state: PartitionState, effects: Effects) -> None:
    """Evict tasks that won't end soon from workers that drain or whose machines are leaving.

    Nothing is stopped while no task can be started elsewhere.
    """
    if not state.can_start:
        return
    for worker in state.workers.values():
        if not worker.is_leaving and not worker.entry.is_draining():
            continue
        for run in list(worker.runs.values()):
            if run.state is RunState.RUNNING:
                _evict(state, worker, run, effects)


def _evict(state: PartitionState, worker: Worker, run: Run, effects: Effects) -> None:
    """Stop a run that would delay emptying the worker; other runs soon end by themselves.

    A task that saves its progress continues elsewhere. A draining worker soon ends its
    long-running tasks in any case, so `max_unavailable` doesn't apply there.
    """
    request = run.task.step.request
    if not request.lasts:
        if worker.yielding_since_ms is not None and not worker.entry.is_draining():
            _give_way(state, run, effects, since_ms=worker.yielding_since_ms)
        elif request.saves and not request.is_gang:
            stop_run(state, run, effects)
    elif worker.entry.is_draining() or can_stop_long_running(state, run):
        stop_run(state, run, effects)


def _give_way(state: PartitionState, run: Run, effects: Effects, *, since_ms: int) -> None:
    """Stop a run on a machine that another pool needs more, if it loses little or is too late.

    A late run is worth a little if it ends soon, so it has some time for that.
    """
    if not is_stoppable(run, state.now_ms):
        return
    is_late = find_run_urgency(run, state.now_ms) in (Urgency.LATE, Urgency.EXCESS)
    has_time = is_late and state.now_ms - since_ms < GIVE_WAY_MS
    if not has_time or loses_little(run):
        stop_run(state, run, effects)


def can_stop_long_running(state: PartitionState, run: Run) -> bool:
    """Return whether stopping a long-running task keeps its step within `max_unavailable`.

    Whether the task itself is available isn't considered: its worker reports that with a delay,
    and a new owner doesn't know it before the first listing.
    """
    step = run.task.step
    if step.request.max_unavailable is None:
        return True
    return count_unavailable(state, step, excluding=run.task) < max(1, step.request.max_unavailable)


def count_unavailable(state: PartitionState, step: Step, *, excluding: Task) -> int:
    """Count the other tasks of a long-running step that aren't known to be available."""
    return sum(
        1
        for task in step.tasks
        if task is not excluding and not any(_is_available(state, run) for run in task.runs)
    )


def _is_available(state: PartitionState, run: Run) -> bool:
    worker = state.workers.get(run.worker_id)
    is_responsive = worker is not None and not worker.is_unresponsive
    return is_responsive and run.is_at_work and run.state is RunState.RUNNING
