"""Proposes the next step of each drain under way, from the state alone.

A coordinator can die between any two steps. The next one needs nothing from it: whatever has
to be done stands in the state, and the instance's version lets each step in only once.
"""

from __future__ import annotations

from heatherkeel.core.state import FleetState
from heatherkeel.jobs.draining import tasks_left
from heatherkeel.pools.models import Instance, InstanceStatus

from .budget import check_budgets
from .models import Drain, DrainCancel, MoveJoin, Purpose, ReturnFailed, ReturnFailure, StopIssued
from .wave import check_planned_stop, return_timeout_ms

Step = StopIssued | MoveJoin | ReturnFailed | DrainCancel


def next_steps(fleet: FleetState, now_ms: int, *, coordinator: str) -> list[Step]:
    """Return the records to propose now for the drains under way, by instance id.

    `now_ms` is the reader's estimate of log time. Returns are not among them: those come from
    whoever reads the platform's list.
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
        return _give_up(instance_id, instance, drain, now_ms)
    reason = _why_cancel(fleet, now_ms, instance_id)
    if reason:
        return DrainCancel(
            instance=instance_id,
            expected_version=instance.version,
            coordinator=coordinator,
            reason=reason,
        )
    if instance.status is not InstanceStatus.QUIESCED:
        return None
    if not drain.was_failed and tasks_left(fleet, instance_id):
        return None
    step = MoveJoin if drain.purpose is Purpose.MOVE else StopIssued
    return step(instance=instance_id, expected_version=instance.version, coordinator=coordinator)


def _give_up(
    instance_id: str, instance: Instance, drain: Drain, now_ms: int
) -> ReturnFailed | None:
    if now_ms < drain.return_by_ms:
        return None
    return ReturnFailed(
        instance=instance_id,
        expected_version=instance.version,
        cause=ReturnFailure.TIMED_OUT,
    )


def _why_cancel(fleet: FleetState, now_ms: int, instance_id: str) -> str:
    """Return why an instance that isn't stopped yet should go back into service, if it should.

    Since its drain started, a rack may have failed, the wave halted, the counter opened, or an
    entry instance of its zone fallen silent. Held back, it would serve nobody.
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
    """Return in words whom a drain waits for; empty if for nobody."""
    if not drain.waiting:
        return ""
    return f"not acknowledged by {', '.join(sorted(set(drain.waiting.values())))}"
