"""Placement of waiting tasks on workers."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from math import ceil

from heatherkeel.platform.callers import StepRequest
from heatherkeel.platform.operator import Capacity

from .const import LONG_RUNNING_FRACTION_PER_WORKER, MAX_MISFITS, MAX_STEPS_EXAMINED
from .events import Effects, SaveJob, StartTask
from .fitting import fits_empty
from .items import blame_job
from .limits import is_within_limit, report_waits_for_limit
from .models import JobState, Run, RunState, Step, Task
from .pools import find_pool
from .slowness import prefer_fast
from .state import PartitionState, Pool
from .suspicion import group_candidates
from .tickets import find_ticketed_workers, needs_advice
from .worker import Worker


def place_tasks(state: PartitionState, service: str, effects: Effects) -> None:
    """Start waiting tasks of a service on workers with enough capacity."""
    pool = find_pool(state, service)
    if not pool.open_steps:
        return
    if pool.open_steps.limited:
        pool.open_steps.release(partial(is_within_limit, state), state.now_ms)
    workers = [worker for worker in pool.workers.values() if worker.accepts_work(state.now_ms)]
    if not workers:
        return
    sizes = [worker.entry.capacity.cpu / 1000 for worker in workers]
    pool.open_steps.set_capacity(cores=sum(sizes), largest_worker_cores=max(sizes))
    left = MAX_STEPS_EXAMINED if pool.begin_thorough_pass(state.now_ms) else MAX_MISFITS
    largest = _find_largest(workers)
    free_cpu = max(worker.free_cpu() for worker in workers)
    has_begun_worthless = False
    for step in pool.open_steps.in_order(state.now_ms):
        if not has_begun_worthless and pool.open_steps.is_worthless(step):
            has_begun_worthless = True
            if _begin_worthless_jobs(state, pool, workers, effects):
                free_cpu = max(worker.free_cpu() for worker in workers)
        if not is_within_limit(state, step):
            pool.open_steps.set_limited(step)
            report_waits_for_limit(state, step, effects)
            continue
        # In a full pool this check alone skips most waiting steps.
        has_capacity = step.request.fills or step.request.cpu <= free_cpu
        if has_capacity and _place_blamed(state, pool, step, workers, effects):
            free_cpu = max(worker.free_cpu() for worker in workers)
            continue
        left -= largest.holds(step.request)
        if left < 0:
            return


def _begin_worthless_jobs(
    state: PartitionState, pool: Pool, workers: list[Worker], effects: Effects
) -> bool:
    """Start one task of each worthless job that has nothing running; returns whether any started.

    All these jobs are worth nothing, and users expect each of them to go on. By its order alone one
    would wait until all tasks of the jobs before it have ended.
    """
    has_started = False
    free_cpu = max(worker.free_cpu() for worker in workers)
    for step in pool.open_steps.list_worthless():
        has_capacity = step.request.fills or step.request.cpu <= free_cpu
        if not has_capacity or step.request.is_gang or step.job.has_runs():
            continue
        if is_within_limit(state, step) and _place_blamed(
            state, pool, step, workers, effects, most=1
        ):
            has_started = True
            free_cpu = max(worker.free_cpu() for worker in workers)
    return has_started


@dataclass(frozen=True, kw_only=True, slots=True)
class _Largest:
    """The most of each resource that any worker has in all, and the labels of all of them."""

    capacity: Capacity
    labels: set[str]

    def holds(self, step: StepRequest) -> bool:
        """Return whether a task of a step could run once others have ended."""
        return fits_empty(step, self.capacity, self.labels)


def _find_largest(workers: list[Worker]) -> _Largest:
    capacities = [worker.entry.capacity for worker in workers]
    return _Largest(
        capacity=Capacity(
            cpu=max(capacity.cpu for capacity in capacities),
            memory_mb=max(capacity.memory_mb for capacity in capacities),
            gpu=max(capacity.gpu for capacity in capacities),
        ),
        labels={label for worker in workers for label in worker.entry.labels},
    )


def _place_blamed(
    state: PartitionState,
    pool: Pool,
    step: Step,
    workers: list[Worker],
    effects: Effects,
    *,
    most: int | None = None,
) -> bool:
    """Place a step; an exception counts against its job."""
    with blame_job(step.job.id):
        return _place_step(state, pool, step, workers, effects, most=most)


def _place_step(
    state: PartitionState,
    pool: Pool,
    step: Step,
    workers: list[Worker],
    effects: Effects,
    *,
    most: int | None = None,
) -> bool:
    """Start the tasks of a step that fit, or `most` of them; a gang starts as a whole.

    Returns whether any did or none is left to start.
    """
    if needs_advice(state, step):
        workers = find_ticketed_workers(state, step, workers, effects)
    waiting = step.waiting()
    if not waiting:
        pool.open_steps.discard(step)
        return True
    choices = prefer_fast(group_candidates(step, workers), state.now_ms)
    if step.request.is_gang:
        return _place_gang(state, pool, step, waiting, choices, effects)
    placed = 0
    holders = step.holders()
    for task in waiting[:most]:
        if not is_within_limit(state, step):
            break
        worker = _choose_by_preference(step, choices, holders)
        if worker is None:
            break
        _plan_run(task, worker, task.attempt + 1)
        holders.add(worker.id)
        placed += 1
    _start_planned(state, pool, step, placed == len(waiting), placed, effects)
    return placed > 0


def _choose_by_preference(
    step: Step, choices: list[list[Worker]], holders: set[str]
) -> Worker | None:
    """Return the worker for one more task, from the most preferred group that has one."""
    for workers in choices:
        worker = choose_worker(step, workers, holders=holders)
        if worker is not None:
            return worker
    return None


def _place_gang(
    state: PartitionState,
    pool: Pool,
    step: Step,
    waiting: list[Task],
    choices: list[list[Worker]],
    effects: Effects,
) -> bool:
    """Start all of a gang's tasks under one attempt, or none: a partial gang can't progress."""
    if not is_within_limit(state, step, count=len(waiting)):
        return False
    attempt = max(task.attempt for task in waiting) + 1
    saved = max((task.saved for task in waiting), key=len)
    groups = [group for workers in choices for group in _gang_groups(step.request, workers)]
    for group in groups:
        planned: list[Run] = []
        holders = step.holders()
        for task in waiting:
            worker = choose_worker(step, group, holders=holders)
            if worker is None:
                break
            task.saved = saved
            planned.append(_plan_run(task, worker, attempt))
            holders.add(worker.id)
        if len(planned) == len(waiting):
            _start_planned(state, pool, step, True, len(planned), effects)
            return True
        for run in planned:
            run.task.remove_run(run)
            run.task.attempt = attempt - 1
            state.workers[run.worker_id].remove(run)
    return False


def _gang_groups(step: StepRequest, workers: list[Worker]) -> list[list[Worker]]:
    """Return the groups of workers to try: each rack first, if the tasks should share one."""
    if not step.is_colocated:
        return [workers]
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.rack(), []).append(worker)
    return [*racks.values(), workers]


def choose_worker(step: Step, workers: list[Worker], *, holders: set[str]) -> Worker | None:
    """Return the worker for one more task of a step, preferably one that already runs some of it.

    Few workers and one zone per step keep a job from waiting for a lost or slow worker, rack or
    zone elsewhere. Of several such workers, the one with the most free processor is chosen.

    `holders` are the workers that run some of the step. The caller keeps them up to date: looking
    them up for each task would take quadratic time.
    """
    if step.request.lasts:
        return _choose_long_running(step, workers)
    request = step.request
    zones = {worker.entry.zone for worker in workers if worker.id in holders}
    best: Worker | None = None
    best_rank: tuple[bool, bool, bool, int, str] | None = None
    for worker in workers:
        if not can_take(step, worker):
            continue
        rank = (
            worker.rack() == request.data_rack,
            worker.id in holders,
            worker.entry.zone in zones,
            worker.free_cpu(),
            worker.id,
        )
        if best_rank is None or rank > best_rank:
            best, best_rank = worker, rank
    return best


def _choose_long_running(step: Step, workers: list[Worker]) -> Worker | None:
    """Return the worker for a long-running task, so that few workers hold the step's tasks.

    A machine with a long-running task can't be released between demand peaks, so few machines
    should have one. No worker gets more than a fraction of the step, and racks are spread, so
    that a lost one stops only some tasks. Machines that are due for maintenance come last.
    """
    limit = max(1, ceil(LONG_RUNNING_FRACTION_PER_WORKER * len(step.tasks)))
    racks = {candidate.rack() for candidate in workers if step.runs_on(candidate.id)}
    best: Worker | None = None
    best_rank: tuple[bool, bool, bool, bool, int, str] | None = None
    for worker in workers:
        if not can_take(step, worker):
            continue
        tasks_here = step.runs_on(worker.id)
        has_long_running = any(run.task.step.request.lasts for run in worker.runs.values())
        rank = (
            not worker.is_due,
            tasks_here < limit,
            has_long_running,
            tasks_here > 0 or worker.rack() not in racks,
            worker.free_cpu(),
            worker.id,
        )
        if best_rank is None or rank > best_rank:
            best, best_rank = worker, rank
    return best


def can_take(step: Step, worker: Worker) -> bool:
    """Return whether a worker has room and the label for one more task of a step."""
    request = step.request
    if not worker.fits(request):
        return False
    if request.label and request.label not in worker.entry.labels:
        return False
    return not request.max_per_worker or step.runs_on(worker.id) < request.max_per_worker


def _plan_run(task: Task, worker: Worker, attempt: int) -> Run:
    ticket = task.step.tickets.get(worker.id)
    run = Run(
        task=task,
        attempt=attempt,
        worker_id=worker.id,
        saved=task.saved,
        ticket=ticket.text if ticket else "",
    )
    task.attempt = attempt
    task.add_run(run)
    worker.add(run)
    return run


def _start_planned(
    state: PartitionState, pool: Pool, step: Step, is_complete: bool, placed: int, effects: Effects
) -> None:
    """Store the new attempts, then start them."""
    if is_complete:
        pool.open_steps.discard(step)
    if not placed:
        return
    step.waiting_since_ms = state.now_ms
    job = step.job
    if job.state is JobState.PENDING:
        job.state = JobState.ACTIVE
    effects.add(SaveJob(job_id=job.id))
    for task in step.tasks:
        for run in task.runs:
            if run.state is RunState.PLANNED and run.started_ms == 0:
                run.started_ms = state.now_ms
                effects.add(StartTask(run=run))
