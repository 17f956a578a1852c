"""What has to hold of an owner's partition, and of what is in flight to its workers."""

from __future__ import annotations

from heatherkeel.dispatch.events import StartTask, StopTask
from heatherkeel.dispatch.models import Run, RunState, Step, Task

from .fleet_calls import FleetWorker
from .simulated_workers import CPU
from .unreliable_fleet import UnreliableFleet


def open_steps(fleet: UnreliableFleet) -> list[Step]:
    """Return the open steps with tasks that aren't done, of jobs that haven't ended."""
    return [
        step
        for job in fleet.partition.state.jobs.values()
        for step in job.steps()
        if step.is_open and not step.is_done()
    ]


def find_unlisted_steps(fleet: UnreliableFleet) -> list[str]:
    """Return steps with tasks to start that aren't among those that wait."""
    pools = fleet.partition.state.pools
    return [
        step.name()
        for step in open_steps(fleet)
        if step.waiting() and step not in pools[step.job.service].open_steps
    ]


def find_unsettled_runs(fleet: UnreliableFleet) -> list[str]:
    """Return the runs that are on no worker, or that nothing on its way will settle."""
    state = fleet.partition.state
    found = []
    for job in [*state.jobs.values(), *state.finished.values()]:
        for run in job.runs():
            worker = state.workers.get(run.worker_id)
            if worker is None or worker.runs.get(run.key()) is not run:
                found.append(f"{run.key()} is on no worker")
            elif not _will_settle(fleet, run):
                found.append(f"{run.key()} is {run.state} for good")
    return found


def _will_settle(fleet: UnreliableFleet, run: Run) -> bool:
    match run.state:
        case RunState.PLANNED:
            return _has_order(fleet, run, StartTask)
        case RunState.SENT:
            is_asked = run.start_timed_out_ms is not None
            return is_asked or any(call.run is run for call in fleet.calls)
        case RunState.STOPPING:
            is_called = any(call.run is run and not call.is_start for call in fleet.calls)
            return run.answered_ms is not None or is_called or _has_order(fleet, run, StopTask)
        case _:
            return run.answered_ms is not None


def _has_order(fleet: UnreliableFleet, run: Run, kind: type[StartTask | StopTask]) -> bool:
    queued = [effect for _, effect in fleet.queue]
    held = [effect for effects in fleet.held.values() for effect in effects]
    return any(
        isinstance(effect, kind) and effect.run is run
        for effect in [*fleet.journal, *queued, *held]
    )


def find_idle_tasks(fleet: UnreliableFleet) -> list[str]:
    """Return tasks that run nowhere though a worker has room for their step."""
    return [
        task.name
        for step in open_steps(fleet)
        for task in step.tasks
        if _is_idle(fleet, task) and _has_room(fleet, step)
    ]


def _is_idle(fleet: UnreliableFleet, task: Task) -> bool:
    return not task.is_done and not any(task.name in w.runs for w in fleet.alive())


def _has_room(fleet: UnreliableFleet, step: Step) -> bool:
    request = step.request
    count = len(step.tasks) if request.is_gang else 1
    fitting = sum(
        max(0, (worker.cpu - _used_cpu(fleet, worker)) // request.cpu)
        for worker in fleet.alive()
        if worker.service == step.job.service and not worker.is_dark
    )
    return fitting >= count


def find_unused_workers(fleet: UnreliableFleet) -> list[str]:
    """Return workers that answer and get no work."""
    state = fleet.partition.state
    return [
        worker.id
        for worker in fleet.alive()
        if not worker.is_dark
        and (
            worker.id not in state.workers
            or not state.workers[worker.id].accepts_work(fleet.partition.now_ms)
        )
    ]


def _used_cpu(fleet: UnreliableFleet, worker: FleetWorker) -> int:
    used = 0
    for name in worker.runs:
        job_id, _, number, _ = name.rsplit(".", 3)
        job = fleet.partition.state.find_job(job_id)
        used += job.request.steps[int(number)].cpu if job is not None else CPU
    return used
