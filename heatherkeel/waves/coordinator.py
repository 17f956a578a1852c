"""Proposes the next step of each drain in progress, from the folded state alone.

Any coordinator can take over after another one fails. The version check of the instance makes
sure that each step is accepted only once.
"""

from __future__ import annotations

from heatherkeel.core.state import FleetState
from heatherkeel.jobs.draining import tasks_holding_stop
from heatherkeel.pools.models import Instance, InstanceStatus

from .budget import check_budgets
from .models import Drain, DrainCancel, MoveJoin, Purpose, ReturnFailed, ReturnFailure, StopIssued
from .wave import check_planned_stop, return_timeout_ms

Step = StopIssued | MoveJoin | ReturnFailed | DrainCancel


def next_steps(fleet: FleetState, now_ms: int, *, coordinator: str) -> list[Step]:
    """Return the records to propose now for the drains in progress, sorted by instance id.

    `now_ms` is the reader's estimate of log time. `Returned` is not among the records: it is
    proposed by the process that reads the platform's list.
    """
    steps = [
        _next_step(fleet, now_ms, instance_id, coordinator) for instance_id in fleet.waves.drains
    ]
    found = [step for step in steps if step is not None]
    return sorted(found, key=lambda step: step.instance)


def _next_step(fleet: FleetState, now_ms: int, instance_id: str, coordinator: str) -> Step | None:
    instance = fleet.pools.instances[instance_id]
    drain = fleet.waves.drains[instance_id]
    if instance.status is InstanceStatus.STOPPED:
        return _check_return_timeout(instance_id, instance, drain, now_ms)
    reason = _cancel_reason(fleet, now_ms, instance_id)
    if reason:
        return DrainCancel(
            instance=instance_id,
            expected_version=instance.version,
            coordinator=coordinator,
            reason=reason,
        )
    if instance.status is not InstanceStatus.QUIESCED:
        return None
    if tasks_holding_stop(fleet, instance_id, has_failed=drain.was_failed):
        return None
    step = MoveJoin if drain.purpose is Purpose.MOVE else StopIssued
    return step(instance=instance_id, expected_version=instance.version, coordinator=coordinator)


def _check_return_timeout(
    instance_id: str, instance: Instance, drain: Drain, now_ms: int
) -> ReturnFailed | None:
    if now_ms < drain.return_by_ms:
        return None
    return ReturnFailed(
        instance=instance_id,
        expected_version=instance.version,
        cause=ReturnFailure.TIMED_OUT,
    )


def _cancel_reason(fleet: FleetState, now_ms: int, instance_id: str) -> str:
    """Return why the drain of an instance should be cancelled; empty if it shouldn't.

    The rules may no longer allow a stop, or an entry instance may not acknowledge in time. The
    instance would then stay out of service without being maintained.
    """
    instance = fleet.pools.instances[instance_id]
    drain = fleet.waves.drains[instance_id]
    if drain.was_failed:
        return ""
    refusal = check_planned_stop(fleet, instance.pool) or check_budgets(fleet, instance.pool)
    if refusal is not None:
        return f"{refusal.reason.value}: {refusal.detail}"[:256]
    if now_ms - drain.started_ms < return_timeout_ms(fleet, instance.pool):
        return ""
    return explain_wait(drain)[:256]


def explain_wait(drain: Drain) -> str:
    """Describe which entry instances have yet to acknowledge a drain; empty if none."""
    if not drain.waiting:
        return ""
    return f"not acknowledged by {', '.join(sorted(set(drain.waiting.values())))}"
