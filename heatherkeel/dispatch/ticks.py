"""Handles changes that depend on time alone."""

from __future__ import annotations

from .capacity import update_outdated_workers
from .const import LEAVING_MS
from .events import Effects, ForgetJob, Tick
from .eviction import evict_tasks
from .incarnations import drop_if_expired
from .items import blame_job, blame_worker
from .occurrences import begin_due_occurrences
from .over_part import expire_over_part
from .registry import handles
from .relocation import look_for_stranded
from .state import PartitionState
from .suspicion import end_pauses
from .waiting import explain_waiting


@handles(Tick)
def handle_tick(state: PartitionState, event: Tick, effects: Effects) -> None:
    """Begin due occurrences, drop workers whose leases have expired, and forget old jobs."""
    state.can_start = event.can_start
    state.accounts.are_limits_recent = event.are_limits_recent
    update_outdated_workers(state, event.outdated, effects)
    _expire_leaving(state, effects)
    expire_over_part(state, effects)
    end_pauses(state, effects)
    for job in state.jobs.values():
        if job.request.repeat_count:
            with blame_job(job.id):
                begin_due_occurrences(state, job, effects)
    for worker in list(state.workers.values()):
        if worker.is_unresponsive or (not worker.is_listed and not worker.runs):
            with blame_worker(worker.id):
                drop_if_expired(state, worker, effects)
    evict_tasks(state, effects)
    _forget_ended(state, effects)
    for pool in state.pools.values():
        if pool.open_steps:
            effects.touch(pool.service)
    look_for_stranded(state, effects)
    explain_waiting(state, effects)


def _expire_leaving(state: PartitionState, effects: Effects) -> None:
    """Use workers again if the fleet's owner has stopped reporting that they leave."""
    if state.now_ms - state.leaving_ms < LEAVING_MS:
        return
    for worker in state.workers.values():
        if worker.is_leaving:
            worker.is_leaving = False
            worker.yielding_since_ms = None
            effects.touch(worker.entry.service)


def _forget_ended(state: PartitionState, effects: Effects) -> None:
    """Forget the jobs whose end callers have been shown for long enough."""
    for job in list(state.finished.values()):
        if job.shown_ms is None or state.now_ms - job.shown_ms < state.status_ms:
            return
        del state.finished[job.id]
        effects.add(ForgetJob(job_id=job.id, workspace=job.workspace, only_request=False))
