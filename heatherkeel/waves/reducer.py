"""Handlers of the records that drain, stop, return and move instances."""

from __future__ import annotations

from result import Err, Ok, Result

from heatherkeel.catalogue.models import PoolEntry
from heatherkeel.core.models import Accepted, RecordMeta, Rejected, RejectReason
from heatherkeel.core.registry import handles
from heatherkeel.core.state import FleetState
from heatherkeel.jobs.draining import tasks_heard, tasks_holding_stop
from heatherkeel.pools.health import set_status
from heatherkeel.pools.models import Instance, InstanceStatus
from heatherkeel.pools.reducer import accept_change

from . import wave
from .acknowledgements import longest_deadline_ms, start_waiting
from .budget import check_budgets
from .models import (
    Drain,
    DrainCancel,
    DrainStart,
    MoveJoin,
    Purpose,
    Returned,
    ReturnFailed,
    ReturnFailure,
    StopIssued,
)

_DrainStep = DrainStart | StopIssued | Returned | ReturnFailed | DrainCancel | MoveJoin


@handles("waves.drain_start", DrainStart)
def start_drain(
    state: FleetState, meta: RecordMeta, body: DrainStart
) -> Result[Accepted, Rejected]:
    """Take an instance out of service if all rules for planned stops allow it."""
    instance = _find_instance(state, body)
    if isinstance(instance, Rejected):
        return Err(instance)
    refusal = _check_drain(state, instance, body)
    if refusal is not None:
        return Err(refusal)
    if body.purpose is Purpose.MAINTENANCE:
        wave.count_drain(state, meta, instance.pool)
    drain = Drain(
        id=meta.id,
        purpose=body.purpose,
        coordinator=body.coordinator,
        started_ms=meta.now_ms,
        lapse_grace_ms=longest_deadline_ms(state, instance.pool),
        was_failed=instance.status is InstanceStatus.FAILED,
        to_pool=body.to_pool or "",
    )
    state.waves.drains[body.instance] = drain
    set_status(instance, InstanceStatus.DRAINING)
    effects = start_waiting(state, body.instance, meta.offset)
    return Ok(accept_change(state, meta, body.instance, *effects))


@handles("waves.stop_issued", StopIssued)
def issue_stop(state: FleetState, meta: RecordMeta, body: StopIssued) -> Result[Accepted, Rejected]:
    """Let one coordinator stop a quiesced instance, if the budgets still hold.

    If a rack failed since the drain started, the stop is refused, and the drain is cancelled.
    """
    instance = _find_instance(state, body, InstanceStatus.QUIESCED)
    if isinstance(instance, Rejected):
        return Err(instance)
    drain = state.waves.drains[body.instance]
    if drain.purpose is Purpose.MOVE:
        return Err(_wrong_state(body.instance, "is moved, not stopped"))
    refusal = None if drain.was_failed else _check_stop(state, instance, body.instance)
    refusal = refusal or _check_tasks(state, drain, body.instance)
    if refusal is not None:
        return Err(refusal)
    drain.stopped_boot_id = body.boot_id or instance.boot_id
    drain.return_by_ms = meta.now_ms + wave.return_timeout_ms(state, instance.pool)
    set_status(instance, InstanceStatus.STOPPED)
    return Ok(accept_change(state, meta, body.instance))


@handles("waves.returned", Returned)
def return_instance(
    state: FleetState, meta: RecordMeta, body: Returned
) -> Result[Accepted, Rejected]:
    """Return a restarted instance to service.

    The platform's list lags and may still show the stopped boot, so only a new boot id proves
    that the instance has restarted.
    """
    instance = _find_instance(state, body, InstanceStatus.STOPPED, InstanceStatus.FAILED)
    if isinstance(instance, Rejected):
        return Err(instance)
    drain = state.waves.drains.get(body.instance)
    old_boots = {instance.boot_id, drain.stopped_boot_id if drain else instance.stopped_boot_id}
    if body.boot_id in old_boots:
        return Err(_wrong_state(body.instance, f"boot {body.boot_id} was there before"))
    instance.boot_id = body.boot_id
    instance.stopped_boot_id = ""
    set_status(instance, InstanceStatus.SERVING)
    if drain is None:
        return Ok(accept_change(state, meta, body.instance))
    instance.maintained_ms = meta.now_ms
    instance.maintained_offset = meta.offset
    instance.failed_repairs = 0
    del state.waves.drains[body.instance]
    effects = wave.count_return(state, meta, instance.pool, drain)
    return Ok(accept_change(state, meta, body.instance, *effects))


@handles("waves.return_failed", ReturnFailed)
def fail_return(
    state: FleetState, meta: RecordMeta, body: ReturnFailed
) -> Result[Accepted, Rejected]:
    """Mark a stopped instance as failed; a timeout is checked against log time."""
    instance = _find_instance(state, body, InstanceStatus.STOPPED)
    if isinstance(instance, Rejected):
        return Err(instance)
    drain = state.waves.drains[body.instance]
    if body.cause is ReturnFailure.TIMED_OUT and meta.now_ms < drain.return_by_ms:
        return Err(_wrong_state(body.instance, f"has until {drain.return_by_ms}"))
    set_status(instance, InstanceStatus.FAILED)
    instance.failed_repairs += drain.purpose is Purpose.REPAIR
    instance.stopped_boot_id = drain.stopped_boot_id
    instance.failure = f"did not come back from {drain.purpose.value}: {body.cause.value}"
    del state.waves.drains[body.instance]
    effects = wave.count_failed_return(state, meta, instance.pool, drain)
    return Ok(accept_change(state, meta, body.instance, *effects))


@handles("waves.drain_cancel", DrainCancel)
def cancel_drain(
    state: FleetState, meta: RecordMeta, body: DrainCancel
) -> Result[Accepted, Rejected]:
    """Restore the earlier status of an instance that isn't stopped yet."""
    instance = _find_instance(state, body, InstanceStatus.DRAINING, InstanceStatus.QUIESCED)
    if isinstance(instance, Rejected):
        return Err(instance)
    drain = state.waves.drains.pop(body.instance)
    status = InstanceStatus.FAILED if drain.was_failed else InstanceStatus.SERVING
    set_status(instance, status)
    if drain.was_failed:
        instance.failure = f"repair was cancelled: {body.reason}"
    effects = wave.finish_wave(state, meta.offset, instance.pool)
    return Ok(accept_change(state, meta, body.instance, *effects))


@handles("waves.move_join", MoveJoin)
def join_pool(state: FleetState, meta: RecordMeta, body: MoveJoin) -> Result[Accepted, Rejected]:
    """End a move: the instance leaves its pool and joins the other one in a single record."""
    instance = _find_instance(state, body, InstanceStatus.QUIESCED)
    if isinstance(instance, Rejected):
        return Err(instance)
    drain = state.waves.drains[body.instance]
    if drain.purpose is not Purpose.MOVE:
        return Err(_wrong_state(body.instance, "is stopped, not moved"))
    if not _is_pool(state, drain.to_pool):
        return Err(Rejected(reason=RejectReason.NOT_FOUND, detail=drain.to_pool))
    refusal = _check_tasks(state, drain, body.instance)
    if refusal is not None:
        return Err(refusal)
    del state.waves.drains[body.instance]
    from_pool = instance.pool
    instance.pool = drain.to_pool
    set_status(instance, InstanceStatus.SERVING)
    effects = wave.finish_wave(state, meta.offset, from_pool)
    return Ok(accept_change(state, meta, body.instance, *effects))


def _check_tasks(state: FleetState, drain: Drain, instance_id: str) -> Rejected | None:
    """Refuse to end a drain while tasks of jobs may still run on the instance.

    Stopping the instance would lose their work, or run a task twice that must run only once.
    """
    tasks = tasks_holding_stop(state, instance_id, has_failed=drain.was_failed)
    if tasks == 0:
        return None
    detail = f"{instance_id}: {tasks} tasks of jobs may still run"
    return Rejected(reason=RejectReason.IN_USE, detail=detail)


def _check_heard(state: FleetState, instance_id: str) -> Rejected | None:
    """Refuse a repair while the platform hears of tasks there, whatever observers have seen."""
    if not tasks_heard(state, instance_id):
        return None
    return Rejected(reason=RejectReason.IN_USE, detail=f"{instance_id}: tasks of jobs run there")


def _find_instance(
    state: FleetState, body: _DrainStep, *statuses: InstanceStatus
) -> Instance | Rejected:
    """Return the instance if the record names its current version and its status is allowed.

    Several coordinators may act on the same instance. The version check accepts only the first
    record, and the rejection carries the current version.
    """
    instance = state.pools.instances.get(body.instance)
    if instance is None:
        return Rejected(reason=RejectReason.NOT_FOUND, detail=body.instance)
    if instance.version != body.expected_version:
        return Rejected(
            reason=RejectReason.STALE_VERSION, detail=body.instance, version=instance.version
        )
    if statuses and instance.status not in statuses:
        return _wrong_state(body.instance, f"is {instance.status.value}")
    return instance


def _wrong_state(instance_id: str, detail: str) -> Rejected:
    return Rejected(reason=RejectReason.WRONG_STATE, detail=f"{instance_id} {detail}")


def _check_drain(state: FleetState, instance: Instance, body: DrainStart) -> Rejected | None:
    """Refuse a drain that breaks a rule; a repair takes no serving instance out of service."""
    if body.purpose is Purpose.REPAIR and instance.status is InstanceStatus.FAILED:
        return _check_heard(state, body.instance)
    if instance.status is not InstanceStatus.SERVING:
        return _wrong_state(body.instance, f"is {instance.status.value}")
    if body.purpose is Purpose.MOVE:
        refusal = _check_move(state, instance, body)
    else:
        refusal = _check_maintenance(state, instance, body)
    return (
        refusal or _check_stop(state, instance, body.instance) or _check_concurrent(state, instance)
    )


def _check_move(state: FleetState, instance: Instance, body: DrainStart) -> Rejected | None:
    if body.to_pool is None or not _is_pool(state, body.to_pool):
        return Rejected(reason=RejectReason.NOT_FOUND, detail=f"pool {body.to_pool}")
    if body.to_pool == instance.pool:
        return _wrong_state(body.instance, f"is in {instance.pool} already")
    return None


def _check_maintenance(state: FleetState, instance: Instance, body: DrainStart) -> Rejected | None:
    """Refuse a drain for a wave other than the pool's, or of an instance maintained in it."""
    if wave.find_maintenance(state, instance.pool) is None:
        return Rejected(reason=RejectReason.NOT_FOUND, detail=f"no maintenance of {instance.pool}")
    if body.purpose is Purpose.REPAIR:
        return None
    number = wave.next_number(state, instance.pool)
    if body.wave != number:
        return Rejected(reason=RejectReason.STALE_VERSION, detail="wave", version=number)
    current = state.waves.waves.get(instance.pool)
    if current is None or current.number != number or wave.needs_maintenance(instance, current):
        return None
    return _wrong_state(body.instance, f"is already maintained in wave {number}")


def _check_stop(state: FleetState, instance: Instance, instance_id: str) -> Rejected | None:
    refusal = wave.check_planned_stop(state, instance.pool)
    return refusal or check_budgets(state, instance.pool, without=instance_id)


def _check_concurrent(state: FleetState, instance: Instance) -> Rejected | None:
    maintenance = wave.find_maintenance(state, instance.pool)
    if maintenance is None:
        return None
    in_progress = len(wave.planned_drains(state, instance.pool))
    if in_progress < maintenance.entry.max_concurrent:
        return None
    detail = f"{in_progress} drains of {instance.pool} are under way"
    return Rejected(reason=RejectReason.CONFLICT, detail=detail)


def _is_pool(state: FleetState, name: str) -> bool:
    stored = state.catalogue.entries.get(name)
    return stored is not None and isinstance(stored.entry, PoolEntry)
