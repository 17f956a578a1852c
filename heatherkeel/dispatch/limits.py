"""Keeps what workspaces have running in a partition within their limits."""

from __future__ import annotations

import logging

from heatherkeel.workspaces.account import NOTHING_WAITS, Waiting
from heatherkeel.workspaces.amounts import amount_of_task

from .capacity import cancel_planned_start
from .events import CountLimited, Effects, GrantsOffered, LimitsChanged
from .models import Run, RunState, Step
from .over_part import set_over_part
from .registry import handles
from .state import PartitionState

_LOGGER = logging.getLogger(__name__)


@handles(LimitsChanged)
def update_limits(state: PartitionState, event: LimitsChanged, effects: Effects) -> None:
    """Update the configured limits; planned starts that no longer fit are canceled."""
    state.accounts.apply_limits(event.limits, event.weights)
    cancel_starts_over_limits(state, effects)


@handles(GrantsOffered)
def apply_grants(state: PartitionState, event: GrantsOffered, effects: Effects) -> None:
    """Apply what workspaces may have running here; tasks that waited for it may start."""
    is_granted = state.accounts.apply_offer(event.offer)
    if state.accounts.is_newest(event.offer):
        set_over_part(state, frozenset(event.offer.over_part), effects)
    if not is_granted:
        return
    cancel_starts_over_limits(state, effects)
    for pool in state.pools.values():
        if pool.open_steps:
            effects.touch(pool.service)


def cancel_starts_over_limits(state: PartitionState, effects: Effects) -> None:
    """Cancel the planned starts of workspaces that may start nothing any more.

    A start may wait for seconds until it is stored, and the limit may fall meanwhile.
    """
    for account in state.accounts.accounts.values():
        if not account.is_stopped():
            continue
        for run in list(account.runs):
            assert isinstance(run, Run), "accounts of partitions count runs"
            if run.state is RunState.PLANNED and run in account.runs:
                cancel_planned_start(state, run, effects)


def is_within_limit(state: PartitionState, step: Step, *, count: int = 1) -> bool:
    """Return whether a step's workspace may have so many more of its tasks running."""
    account = step.job.account
    if account is None:
        return True
    return state.accounts.allows(account, amount_of_task(step.request).scaled(count, 1))


def report_waits_for_limit(state: PartitionState, step: Step, effects: Effects) -> None:
    """Log and count once for each job that its workspace's limit keeps it waiting."""
    job = step.job
    if job.is_limit_reported or job.account is None:
        return
    job.is_limit_reported = True
    effects.add(CountLimited(workspace=job.workspace))
    _LOGGER.info(
        "job waits for its workspace's limit",
        extra={
            "event": "limit_reached",
            "job": job.id,
            "step": step.name(),
            "workspace": job.workspace,
            "used": list(job.account.used),
            "granted": list(job.account.granted),
            "limit": list(job.account.limit or ()),
            "are_limits_recent": state.accounts.are_limits_recent,
        },
    )


def measure_waiting(state: PartitionState) -> dict[str, Waiting]:
    """Return what waits in this partition, by workspace."""
    waiting: dict[str, Waiting] = {}
    for pool in state.pools.values():
        for step in pool.open_steps:
            job = step.job
            if not job.workspace:
                continue
            known = waiting.get(job.workspace, NOTHING_WAITS)
            waiting[job.workspace] = known.with_tasks(
                amount_of_task(step.request),
                len(step.waiting()),
                accepted_ms=job.accepted_wall_ms,
            )
    return waiting
