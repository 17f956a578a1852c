"""Admits and removes instances, and assigns each to a pool."""

from __future__ import annotations

from result import Err, Ok, Result

from heatherkeel.catalogue.models import PoolEntry
from heatherkeel.core.models import Accepted, Effect, RecordMeta, Rejected, RejectReason
from heatherkeel.core.registry import handles
from heatherkeel.core.state import FleetState
from heatherkeel.waves.wave import finish_wave

from .models import Instance, InstanceAdmit, InstanceChanged, InstanceGone


@handles("pools.admit", InstanceAdmit)
def admit_instance(
    state: FleetState, meta: RecordMeta, body: InstanceAdmit
) -> Result[Accepted, Rejected]:
    """Admit a new instance; if several entry instances report it, the first report counts."""
    if body.instance in state.pools.instances:
        return Err(Rejected(reason=RejectReason.ALREADY_EXISTS, detail=body.instance))
    state.pools.instances[body.instance] = Instance(
        zone=body.zone,
        rack=body.rack,
        address=body.address,
        boot_id=body.boot_id,
        pool=body.pool or pool_lacking_most(state),
        cpus=body.cpus,
        memory_mib=body.memory_mib,
        accelerators=body.accelerators,
        version=state.pools.version_floor + 1,
        maintained_ms=meta.now_ms,
        maintained_offset=meta.offset,
    )
    return Ok(accept_change(state, meta, body.instance))


@handles("pools.gone", InstanceGone)
def remove_instance(
    state: FleetState, meta: RecordMeta, body: InstanceGone
) -> Result[Accepted, Rejected]:
    """Remove an instance that the platform has terminated, and its drain."""
    instance = state.pools.instances.get(body.instance)
    if instance is None or instance.boot_id != body.boot_id:
        return Err(Rejected(reason=RejectReason.NOT_FOUND, detail=body.instance))
    state.pools.version_floor = max(state.pools.version_floor, instance.version)
    del state.pools.instances[body.instance]
    state.waves.drains.pop(body.instance, None)
    changed = InstanceChanged(instance=body.instance, offset=meta.offset)
    finished = finish_wave(state, meta.offset, instance.pool)
    return Ok(Accepted(effects=(changed, *finished)))


def accept_change(
    state: FleetState, meta: RecordMeta, instance_id: str, *effects: Effect
) -> Accepted:
    """Accept a record with the effect of a changed instance, followed by `effects`."""
    changed = InstanceChanged(instance=instance_id, offset=meta.offset)
    version = state.pools.instances[instance_id].version
    return Accepted(version=version, effects=(changed, *effects))


def pool_lacking_most(state: FleetState) -> str:
    """Return the pool that lacks most instances, the first by name; empty if none lacks any."""
    members: dict[str, int] = {}
    for instance in state.pools.instances.values():
        members[instance.pool] = members.get(instance.pool, 0) + 1
    lacking = [
        (members.get(name, 0) - stored.entry.size, name)
        for name, stored in state.catalogue.entries.items()
        if isinstance(stored.entry, PoolEntry)
    ]
    if not lacking or min(lacking)[0] >= 0:
        return ""
    return min(lacking)[1]
