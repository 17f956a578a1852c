"""What comes due with time alone."""

from __future__ import annotations

from .events import Effects, ForgetJob, Tick
from .jobs import begin_due_occurrences
from .lasting import leave_workers
from .models import PartitionState
from .reducer import handles
from .workers import drop_if_lapsed


@handles(Tick)
def take_tick(state: PartitionState, event: Tick, effects: Effects) -> None:
    """Begin what is due, give up workers whose leases have lapsed, forget old jobs."""
    for job in state.jobs.values():
        if job.request.repeat_count:
            begin_due_occurrences(state, job, effects)
    for worker in list(state.workers.values()):
        if worker.is_silent or (not worker.is_listed and not worker.runs):
            drop_if_lapsed(state, worker, effects)
    leave_workers(state, effects)
    _forget_ended(state, effects)
    for pool in state.pools.values():
        if pool.open_steps:
            effects.touch(pool.service)


def _forget_ended(state: PartitionState, effects: Effects) -> None:
    for job in list(state.finished.values()):
        if state.now_ms - (job.ended_ms or 0) < state.status_ms:
            return
        del state.finished[job.id]
        effects.add(ForgetJob(job_id=job.id, only_request=False))
