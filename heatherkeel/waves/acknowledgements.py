"""Decides when no entry instance can send requests to a draining instance.

A drain waits for every incarnation of an entry instance that may be running when it starts. An
incarnation that joins later has folded the drain before it may route, so it is never added, but
it doesn't replace the wait for an earlier incarnation. Each wait ends in one of three ways:

* the incarnation acknowledges, or leaves;
* the platform reports that it is terminated;
* it is in another availability zone, and its routing lease plus the longest request deadline has
  expired. It stops sending to other zones before that by its own clock. In its own zone it keeps
  serving while it is cut off, so an expired lease doesn't end the wait there.
"""

from __future__ import annotations

from result import Err, Ok, Result

from heatherkeel.core.models import Accepted, Effect, RecordMeta, Rejected, RejectReason
from heatherkeel.core.registry import follows_up, handles
from heatherkeel.core.state import FleetState
from heatherkeel.membership.models import EntryInstance
from heatherkeel.membership.reducer import all_incarnations, find_incarnation
from heatherkeel.pools.health import set_status
from heatherkeel.pools.models import Instance, InstanceChanged, InstanceStatus

from .budget import services_of
from .models import Drain, DrainAck, DrainAcknowledged, StopPermitted


@handles("waves.drain_ack", DrainAck)
def acknowledge(state: FleetState, meta: RecordMeta, body: DrainAck) -> Result[Accepted, Rejected]:
    """Apply the acknowledgements that match a drain in progress; ignore those of older drains."""
    acknowledged = [
        DrainAcknowledged(
            instance=item.instance,
            drain=item.drain,
            incarnation=body.incarnation,
            offset=meta.offset,
        )
        for item in body.instances
        if _matches_drain(state, body, instance_id=item.instance, drain_id=item.drain)
    ]
    if not acknowledged:
        return Err(Rejected(reason=RejectReason.NOT_FOUND, detail="no matching drain is waiting"))
    effects: list[Effect] = []
    for item in acknowledged:
        state.waves.drains[item.instance].waiting.pop(body.incarnation, None)
        effects += [item, *_quiesce_if_no_waits(state, item.instance, meta.offset)]
    return Ok(Accepted(effects=tuple(effects)))


def _matches_drain(state: FleetState, body: DrainAck, *, instance_id: str, drain_id: str) -> bool:
    """Return whether this acknowledgement belongs to the drain in progress.

    The drain's id rules out a late acknowledgement of an earlier drain, whose author may have
    sent requests again in between.
    """
    drain = state.waves.drains.get(instance_id)
    if drain is None or drain.id != drain_id:
        return False
    return drain.waiting.get(body.incarnation) == body.entry


def longest_deadline_ms(state: FleetState, pool: str) -> int:
    """Return the longest time that a request to the pool may be in progress."""
    deadlines = [service.limits.deadline_ms for _, service in services_of(state, pool)]
    return max(deadlines, default=0)


def start_waiting(state: FleetState, instance_id: str, offset: int) -> list[Effect]:
    """Record which incarnations have to acknowledge a drain; quiesce at once if there are none."""
    drain = state.waves.drains[instance_id]
    instance = state.pools.instances[instance_id]
    for entry in all_incarnations(state.membership):
        if not _wait_has_expired(state, instance, drain, entry):
            drain.waiting[entry.incarnation] = entry.instance
    _schedule_recheck(state)
    return _quiesce_if_no_waits(state, instance_id, offset)


def _wait_has_expired(
    state: FleetState, instance: Instance, drain: Drain, entry: EntryInstance
) -> bool:
    return entry.zone != instance.zone and _wait_expires_ms(drain, entry) <= state.now_ms


def _wait_expires_ms(drain: Drain, entry: EntryInstance) -> int:
    return entry.lease_until_ms + drain.lapse_grace_ms


@follows_up
def recheck_waits(state: FleetState, offset: int) -> list[Effect]:
    """End the waits for incarnations that are gone or whose leases have expired."""
    waves = state.waves
    expiry_due = 0 < waves.recheck_ms <= state.now_ms
    if not expiry_due and waves.checked_departure == state.membership.departed_offset:
        return []
    waves.checked_departure = state.membership.departed_offset
    effects: list[Effect] = []
    for instance_id in sorted(waves.drains):
        _end_obsolete_waits(state, instance_id)
        effects += _quiesce_if_no_waits(state, instance_id, offset)
    _schedule_recheck(state)
    return effects


def _end_obsolete_waits(state: FleetState, instance_id: str) -> None:
    drain = state.waves.drains[instance_id]
    instance = state.pools.instances[instance_id]
    for incarnation in list(drain.waiting):
        entry = find_incarnation(state.membership, incarnation)
        if entry is None or _wait_has_expired(state, instance, drain, entry):
            del drain.waiting[incarnation]


def _quiesce_if_no_waits(state: FleetState, instance_id: str, offset: int) -> list[Effect]:
    drain = state.waves.drains[instance_id]
    instance = state.pools.instances[instance_id]
    if drain.waiting or instance.status is not InstanceStatus.DRAINING:
        return []
    set_status(instance, InstanceStatus.QUIESCED)
    permitted = StopPermitted(
        instance=instance_id,
        drain=drain.id,
        version=instance.version,
        purpose=drain.purpose,
        to_pool=drain.to_pool,
        coordinator=drain.coordinator,
        offset=offset,
    )
    return [InstanceChanged(instance=instance_id, offset=offset), permitted]


def _schedule_recheck(state: FleetState) -> None:
    """Record the first log time at which an expired lease can end a wait.

    After a renewal this time is too early, never too late: the recheck then schedules the next.
    """
    times = [
        _wait_expires_ms(drain, entry)
        for instance_id, drain in state.waves.drains.items()
        for incarnation in drain.waiting
        if (entry := find_incarnation(state.membership, incarnation)) is not None
        and entry.zone != state.pools.instances[instance_id].zone
    ]
    state.waves.recheck_ms = min(times, default=0)
