"""Decides when nobody can send to a draining instance any more.

Who is waited for: every incarnation of an entry instance that may still run when the drain
starts. An entry instance that joins later has folded the drain before it may route, so it is
never added; its earlier incarnation stays waited for, since a new process says nothing about
the old one. Each wait ends in one of three ways, and silence alone is none of them:

* the incarnation acknowledges, or leaves;
* the platform positively says that it is terminated;
* it stands in another availability zone and its routing lease ran out, with the longest request
  deadline on top. By its own clock it has stopped sending across zones before that. In the
  instance's own zone it goes on serving while it is cut off, so there no lease ends the wait.
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
    """Take the acknowledgements that match a drain under way; older ones count for nothing."""
    acknowledged = [
        DrainAcknowledged(
            instance=item.instance,
            drain=item.drain,
            incarnation=body.incarnation,
            offset=meta.offset,
        )
        for item in body.instances
        if _is_waited_for(state, body, instance_id=item.instance, drain_id=item.drain)
    ]
    if not acknowledged:
        return Err(Rejected(reason=RejectReason.NOT_FOUND, detail="no such drain waits"))
    effects: list[Effect] = []
    for item in acknowledged:
        state.waves.drains[item.instance].waiting.pop(body.incarnation, None)
        effects += [item, *_quiesce_if_free(state, item.instance, meta.offset)]
    return Ok(Accepted(effects=tuple(effects)))


def _is_waited_for(state: FleetState, body: DrainAck, *, instance_id: str, drain_id: str) -> bool:
    """Tell whether this acknowledgement belongs to the drain under way.

    A late acknowledgement of an earlier drain says nothing about now: its author may have been
    sending again in between. Hence the drain's id, which no two drains share.
    """
    drain = state.waves.drains.get(instance_id)
    if drain is None or drain.id != drain_id:
        return False
    return drain.waiting.get(body.incarnation) == body.entry


def lapse_grace_ms(state: FleetState, pool: str) -> int:
    """Return the longest time that a request to the pool may be in progress."""
    deadlines = [service.limits.deadline_ms for _, service in services_of(state, pool)]
    return max(deadlines, default=0)


def start_waiting(state: FleetState, instance_id: str, offset: int) -> list[Effect]:
    """Note who has to acknowledge a drain; nobody may be left, then it is quiesced at once."""
    drain = state.waves.drains[instance_id]
    instance = state.pools.instances[instance_id]
    for entry in all_incarnations(state.membership):
        if not _has_lapsed(state, instance, drain, entry):
            drain.waiting[entry.incarnation] = entry.instance
    _plan_recheck(state)
    return _quiesce_if_free(state, instance_id, offset)


def _has_lapsed(state: FleetState, instance: Instance, drain: Drain, entry: EntryInstance) -> bool:
    return entry.zone != instance.zone and _lapse_ms(drain, entry) <= state.now_ms


def _lapse_ms(drain: Drain, entry: EntryInstance) -> int:
    return entry.lease_until_ms + drain.lapse_grace_ms


@follows_up
def recheck_waits(state: FleetState, offset: int) -> list[Effect]:
    """End the waits for incarnations that are gone, or whose leases ran out by this record."""
    waves = state.waves
    lapse_due = 0 < waves.recheck_ms <= state.now_ms
    if not lapse_due and waves.checked_departure == state.membership.departed_offset:
        return []
    waves.checked_departure = state.membership.departed_offset
    effects: list[Effect] = []
    for instance_id in sorted(waves.drains):
        _drop_unneeded(state, instance_id)
        effects += _quiesce_if_free(state, instance_id, offset)
    _plan_recheck(state)
    return effects


def _drop_unneeded(state: FleetState, instance_id: str) -> None:
    drain = state.waves.drains[instance_id]
    instance = state.pools.instances[instance_id]
    for incarnation in list(drain.waiting):
        entry = find_incarnation(state.membership, incarnation)
        if entry is None or _has_lapsed(state, instance, drain, entry):
            del drain.waiting[incarnation]


def _quiesce_if_free(state: FleetState, instance_id: str, offset: int) -> list[Effect]:
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


def _plan_recheck(state: FleetState) -> None:
    """Note the first log time at which a lease can end a wait.

    Renewals make it too early, never too late: a recheck then only plans the next one.
    """
    times = [
        _lapse_ms(drain, entry)
        for instance_id, drain in state.waves.drains.items()
        for incarnation in drain.waiting
        if (entry := find_incarnation(state.membership, incarnation)) is not None
        and entry.zone != state.pools.instances[instance_id].zone
    ]
    state.waves.recheck_ms = min(times, default=0)
