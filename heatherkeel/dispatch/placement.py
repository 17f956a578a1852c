"""Which waiting task goes to which worker, and in which order."""

from __future__ import annotations

from math import ceil

from heatherkeel.platform.callers import StepRequest

from .const import ESTIMATE_SLACK, LASTING_SHARE, MAX_MISFITS
from .events import Effects, SaveJob, StartTask
from .models import JobState, PartitionState, Pool, Run, RunState, Step, Task, Worker
from .pools import find_pool


def place_tasks(state: PartitionState, service: str, effects: Effects) -> None:
    """Start waiting tasks of a service for which there is room."""
    pool = find_pool(state, service)
    if not pool.open_steps:
        return
    workers = [worker for worker in pool.workers.values() if worker.takes_work(state.now_ms)]
    if not workers:
        return
    misfits = 0
    for step in order_steps(state, pool):
        if not _place_step(state, pool, step, workers, effects):
            misfits += 1
        if misfits > MAX_MISFITS:
            return


def order_steps(state: PartitionState, pool: Pool) -> list[Step]:
    """Return the steps with waiting tasks, the most urgent first."""
    return sorted(pool.open_steps, key=lambda step: _rank(state, step))


def _rank(state: PartitionState, step: Step) -> tuple[int, float, float, str]:
    """Order lasting tasks first, then what can still meet its objective, then the rest.

    Among those in time the one that has to start first goes first. A job that is late is worth
    a tenth or less, so it takes only room that no job in time can use; there the one with the
    least work left goes first, since each is worth about the same.
    """
    if step.request.lasts:
        return (0, float(step.request.fills), step.latest_start_ms, step.name())
    work_ms = step.job.due_ms - step.latest_start_ms
    slack_ms = step.latest_start_ms + ESTIMATE_SLACK * work_ms - state.now_ms
    if slack_ms >= 0:
        return (1, step.latest_start_ms, 0.0, step.name())
    lateness_class = 2 if state.now_ms < _worthless_ms(step) else 3
    return (lateness_class, work_ms, step.latest_start_ms, step.name())


def _worthless_ms(step: Step) -> float:
    """Return when the step's job is worth nothing any more: at three times its objective."""
    job = step.job
    return job.accepted_ms + 3 * (job.due_ms - job.accepted_ms)


def _place_step(
    state: PartitionState, pool: Pool, step: Step, workers: list[Worker], effects: Effects
) -> bool:
    """Start what fits of a step; says whether anything did."""
    waiting = step.waiting()
    if not waiting:
        del pool.open_steps[step]
        return True
    if step.request.is_gang:
        return _place_gang(state, pool, step, waiting, workers, effects)
    placed = 0
    for task in waiting:
        worker = choose_worker(step, workers)
        if worker is None:
            break
        _plan_run(task, worker, task.attempt + 1)
        placed += 1
    _start_planned(state, pool, step, placed == len(waiting), placed, effects)
    return placed > 0


def _place_gang(
    state: PartitionState,
    pool: Pool,
    step: Step,
    waiting: list[Task],
    workers: list[Worker],
    effects: Effects,
) -> bool:
    """Start all of a gang's tasks under one attempt, or none: part of a gang only waits."""
    attempt = max(task.attempt for task in waiting) + 1
    saved = max((task.saved for task in waiting), key=len)
    for group in _gang_groups(step.request, workers):
        planned: list[Run] = []
        for task in waiting:
            worker = choose_worker(step, group)
            if worker is None:
                break
            task.saved = saved
            planned.append(_plan_run(task, worker, attempt))
        if len(planned) == len(waiting):
            _start_planned(state, pool, step, True, len(planned), effects)
            return True
        for run in planned:
            run.task.runs.remove(run)
            run.task.attempt = attempt - 1
            state.workers[run.worker_id].remove(run)
    return False


def _gang_groups(step: StepRequest, workers: list[Worker]) -> list[list[Worker]]:
    """Return the groups of workers to try: racks first where tasks work best on one rack."""
    if not step.is_colocated:
        return [workers]
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.rack(), []).append(worker)
    return [*racks.values(), workers]


def choose_worker(step: Step, workers: list[Worker]) -> Worker | None:
    """Return the worker for one more task of a step: the one with the most room left.

    The least loaded worker disturbs the task least, and spreads what a lost worker takes away.
    """
    if step.request.lasts:
        return _choose_lasting(step, workers)
    request = step.request
    best: Worker | None = None
    best_rank: tuple[bool, int, str] | None = None
    for worker in workers:
        if not worker.fits(request) or not _is_allowed(step, worker):
            continue
        rank = (worker.rack() == request.data_rack, worker.free_cpu(), worker.id)
        if best_rank is None or rank > best_rank:
            best, best_rank = worker, rank
    return best


def _choose_lasting(step: Step, workers: list[Worker]) -> Worker | None:
    """Return the worker for a lasting task: one of few, each with a share of the step's tasks.

    A machine with a lasting task can't be sent away, so the fewer have one, the fewer are paid
    for between a pool's turns. Two of them, in different racks, keep half of the tasks at work
    when one is lost. Machines that are soon to be maintained come last.
    """
    most = max(1, ceil(LASTING_SHARE * len(step.tasks)))
    racks = {state_worker.rack() for state_worker in workers if step.runs_on(state_worker.id)}
    best: Worker | None = None
    best_rank: tuple[bool, bool, bool, bool, int, str] | None = None
    for worker in workers:
        if not worker.fits(step.request) or not _is_allowed(step, worker):
            continue
        here = step.runs_on(worker.id)
        has_lasting = any(run.task.step.request.lasts for run in worker.runs.values())
        rank = (
            not worker.is_due,
            here < most,
            has_lasting,
            here > 0 or worker.rack() not in racks,
            worker.free_cpu(),
            worker.id,
        )
        if best_rank is None or rank > best_rank:
            best, best_rank = worker, rank
    return best


def _is_allowed(step: Step, worker: Worker) -> bool:
    request = step.request
    if request.label and request.label not in worker.entry.labels:
        return False
    return not request.max_per_worker or step.runs_on(worker.id) < request.max_per_worker


def _plan_run(task: Task, worker: Worker, attempt: int) -> Run:
    run = Run(task=task, attempt=attempt, worker_id=worker.id, saved=task.saved)
    task.attempt = attempt
    task.runs.append(run)
    worker.add(run)
    return run


def _start_planned(
    state: PartitionState, pool: Pool, step: Step, is_all: bool, placed: int, effects: Effects
) -> None:
    """Store the new attempts, and start them after that."""
    if is_all:
        del pool.open_steps[step]
    if not placed:
        return
    job = step.job
    if job.state is JobState.PENDING:
        job.state = JobState.ACTIVE
    effects.add(SaveJob(job_id=job.id))
    for task in step.tasks:
        for run in task.runs:
            if run.state is RunState.PLANNED and run.started_ms == 0:
                run.started_ms = state.now_ms
                effects.add(StartTask(run=run, token=state.token))
