"""Takes lasting tasks off workers that leave, within what each step may miss."""

from __future__ import annotations

from .events import Effects
from .jobs import stop_run
from .models import Run, RunState, Step, Task, Worker
from .state import PartitionState


def leave_workers(state: PartitionState, effects: Effects) -> None:
    """Stop what won't end soon by itself on workers that drain or whose machines are to go.

    While nothing can be started, a stopped task would only wait.
    """
    if not state.can_start:
        return
    for worker in state.workers.values():
        if not worker.is_leaving and not worker.entry.is_draining():
            continue
        for run in list(worker.runs.values()):
            if run.state is RunState.RUNNING:
                _leave(state, worker, run, effects)


def _leave(state: PartitionState, worker: Worker, run: Run, effects: Effects) -> None:
    """Stop a run that would keep the worker from being empty; others soon end by themselves.

    A task that saves goes on elsewhere from where it was stopped. A worker that drains takes
    its lasting tasks with it in any case, and soon.
    """
    request = run.task.step.request
    if not request.lasts:
        if request.saves and not request.is_gang:
            stop_run(state, run, effects)
    elif worker.entry.is_draining() or may_stop(state, run):
        stop_run(state, run, effects)


def may_stop(state: PartitionState, run: Run) -> bool:
    """Say whether a lasting task may be ended by us: so many others of its step may be away.

    Whether it is at work itself makes no difference: its worker tells that up to half a second
    late, and to a new owner not at all before the first listing.
    """
    step = run.task.step
    if step.request.max_unavailable is None:
        return True
    return count_away(state, step, but=run.task) < max(1, step.request.max_unavailable)


def count_away(state: PartitionState, step: Step, *, but: Task) -> int:
    """Count the other tasks of a lasting step that aren't at work, or aren't known to be."""
    return sum(
        1
        for task in step.tasks
        if task is not but and not any(_works(state, run) for run in task.runs)
    )


def _works(state: PartitionState, run: Run) -> bool:
    worker = state.workers.get(run.worker_id)
    is_heard = worker is not None and not worker.is_unresponsive
    return is_heard and run.is_at_work and run.state is RunState.RUNNING
