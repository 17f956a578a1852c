"""Which tasks may be what crashes their workers, and how they are kept from doing more harm.

A task that crashes each worker that starts it would be started on one worker after the other, and
each takes down all that it runs. All that was lost with a worker is suspected, until it has run for
a while or is done; what was started beside the cause each time would be taken for it.
"""

from __future__ import annotations

import logging

from .const import (
    APART_CRASHES,
    MAX_CRASHES,
    MAX_SOLE_CRASHES,
    MAX_SUDDEN_CRASHES,
    PROVEN_MS,
)
from .events import Effects, SaveJob
from .models import Job, LossReason, Run, RunState, Step, Task, Worker

_LOGGER = logging.getLogger(__name__)

_WITH_ITS_WORKER = frozenset(
    {
        LossReason.OTHER_LIFE,
        LossReason.ADDRESS_TAKEN,
        LossReason.LEASE_LAPSED,
        LossReason.UNLISTED,
        LossReason.WORKER_GONE,
        LossReason.WORKER_RESTARTED,
    }
)
"""Losses that may be a crash. A lease also lapses on a worker that is cut off, but where the list
of machines can't be read nothing else tells of a crash."""


def find_sole_job(worker: Worker) -> Job | None:
    """Return the only job that may have crashed a worker, if there is just one.

    Any run that was sent there and hasn't proved itself may have.
    """
    jobs = {
        run.task.step.job
        for run in worker.runs.values()
        if run.state is not RunState.PLANNED and not run.is_proven
    }
    return jobs.pop() if len(jobs) == 1 else None


def count_crash(run: Run, reason: LossReason, *, is_sole: bool) -> bool:
    """Take in that a run was lost; says whether its task has to be given up.

    `is_sole` says that no other job may have crashed the worker. The count is stored with the
    attempts before the next start leaves, so a next owner goes on from it.
    """
    if reason not in _WITH_ITS_WORKER or run.state is RunState.PLANNED or run.is_proven:
        return False
    task = run.task
    job = task.step.job
    task.crashes += 1
    job.crashes = max(job.crashes, task.crashes)
    if task.crashes < _most_allowed(run, is_sole=is_sole):
        return False
    _LOGGER.error(
        "job given up: its task crashes workers",
        extra={
            "event": "job_given_up",
            "job": job.id,
            "task": task.name,
            "attempt": run.attempt,
            "worker": run.worker_id,
            "crashes": task.crashes,
        },
    )
    return True


def _most_allowed(run: Run, *, is_sole: bool) -> int:
    if run.listed_since_ms or not run.has_begun:
        return MAX_CRASHES
    return MAX_SOLE_CRASHES if is_sole else MAX_SUDDEN_CRASHES


def clear_task(task: Task) -> None:
    """Suspect a task no more."""
    if not task.crashes:
        return
    task.crashes = 0
    job = task.step.job
    job.crashes = max(other.crashes for step in job.steps() for other in step.tasks)


def take_listed(worker: Worker, run: Run, now_ms: int, effects: Effects) -> None:
    """Take in that a worker still lists a run.

    One that stands still has proved nothing, but doesn't keep others off its worker for good.
    """
    if run.is_proven or now_ms - run.listed_since_ms < PROVEN_MS:
        return
    job = run.task.step.job
    if worker.suspects.pop(run.key(), None) is not None:
        effects.touch(job.service)
    run.is_proven = run.percent > 0
    if run.is_proven and run.task.crashes:
        clear_task(run.task)
        effects.add(SaveJob(job_id=job.id))


def list_choices(step: Step, workers: list[Worker]) -> list[list[Worker]]:
    """Return the workers to choose from for a step, the best choice first.

    A worker with a task that is suspected by more than one crash is closed to all other jobs: what
    started there would go down with it, and be suspected as much. One with a task that is suspected
    by a single crash, as all are that were lost with a rack, is only avoided; not by lasting tasks,
    which would keep so many more machines from being sent away. A suspect itself goes where it
    takes no lasting tasks of others along.
    """
    job = step.job
    if not job.crashes and not any(worker.suspects for worker in workers):
        return [workers]
    crashes = {worker.id: _most_crashes(worker, job) for worker in workers}
    open_to_it = [worker for worker in workers if crashes[worker.id] < APART_CRASHES]
    if step.request.lasts and job.crashes < APART_CRASHES:
        return [open_to_it]
    calm = [worker for worker in open_to_it if not crashes[worker.id]]
    choices = [calm, open_to_it]
    if job.crashes:
        choices.insert(0, [worker for worker in calm if not _has_lasting_of_others(worker, job)])
    return choices


def _most_crashes(worker: Worker, job: Job) -> int:
    """Return the most crashes of a suspect of another job on a worker."""
    return max(
        (run.task.crashes for run in worker.suspects.values() if run.task.step.job is not job),
        default=0,
    )


def _has_lasting_of_others(worker: Worker, job: Job) -> bool:
    return any(
        run.task.step.request.lasts and run.task.step.job is not job for run in worker.runs.values()
    )
