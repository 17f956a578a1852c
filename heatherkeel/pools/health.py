"""Decides which instances have failed, from what several observers say."""

from __future__ import annotations

from result import Err, Ok, Result

from heatherkeel.core.models import Accepted, RecordMeta, Rejected, RejectReason
from heatherkeel.core.registry import handles
from heatherkeel.core.state import FleetState
from heatherkeel.waves.wave import finish_wave

from .const import OBSERVATION_LIFETIME_MS, OBSERVERS_NEEDED
from .models import Health, Instance, InstanceObserved, InstanceStatus, Observation, Source
from .reducer import accept_change

STATUS_OF: dict[Health, InstanceStatus] = {
    Health.HEALTHY: InstanceStatus.SERVING,
    Health.FAILED: InstanceStatus.FAILED,
}


@handles("pools.observed", InstanceObserved)
def observe_instance(
    state: FleetState, meta: RecordMeta, body: InstanceObserved
) -> Result[Accepted, Rejected]:
    """Take an observation; the status changes when the evidence is enough."""
    instance = state.pools.instances.get(body.instance)
    if instance is None:
        return Err(Rejected(reason=RejectReason.NOT_FOUND, detail=body.instance))
    if body.observer not in state.membership.entries:
        return Err(Rejected(reason=RejectReason.NOT_FOUND, detail=body.observer))
    if body.instance in state.waves.drains or instance.status not in STATUS_OF.values():
        detail = f"{body.instance} is in a drain"
        return Err(Rejected(reason=RejectReason.WRONG_STATE, detail=detail))
    # A stop that the platform carries out late would cut the requests of an instance that was
    # taken back because it still answered. Only another boot proves that the stop is over.
    if body.health is Health.HEALTHY and instance.stopped_boot_id:
        detail = f"the stop of boot {instance.stopped_boot_id} may still come"
        return Err(Rejected(reason=RejectReason.WRONG_STATE, detail=detail))
    _remember(instance, body, now_ms=meta.now_ms)
    if instance.status is STATUS_OF[body.health] or not _is_enough(state, instance, body):
        return Ok(Accepted(version=instance.version))
    set_status(instance, STATUS_OF[body.health])
    if body.health is Health.FAILED:
        instance.failure = f"seen to fail by {body.source.value}"
    finished = finish_wave(state, meta.offset, instance.pool)
    return Ok(accept_change(state, meta, body.instance, *finished))


def set_status(instance: Instance, status: InstanceStatus) -> None:
    """Change the status under a new version; what was observed before counts no more."""
    instance.status = status
    instance.version += 1
    instance.observations = {}
    instance.failure = ""


def _remember(instance: Instance, body: InstanceObserved, *, now_ms: int) -> None:
    """Keep the observer's newest word and drop what is too old to count."""
    instance.observations[body.observer] = Observation(health=body.health, at_ms=now_ms)
    oldest_ms = now_ms - OBSERVATION_LIFETIME_MS
    instance.observations = {
        observer: observation
        for observer, observation in instance.observations.items()
        if observation.at_ms >= oldest_ms
    }


def _is_enough(state: FleetState, instance: Instance, body: InstanceObserved) -> bool:
    """Tell whether the platform says it, or enough observers that can really see the instance.

    An entry instance that is cut off from another availability zone sees all of its targets
    fail, and so do its neighbours. Taking their word alone would stop every wave there for
    nothing, so one witness has to stand in the instance's own availability zone, if one can.
    """
    if body.source is Source.PLATFORM:
        return True
    witnesses = [
        observer
        for observer, observation in instance.observations.items()
        if observation.health is body.health
    ]
    if len(witnesses) < OBSERVERS_NEEDED:
        return False
    local = {
        entry_id
        for entry_id, entry in state.membership.entries.items()
        if entry.zone == instance.zone and entry.lease_until_ms > state.now_ms
    }
    return not local or not local.isdisjoint(witnesses)
