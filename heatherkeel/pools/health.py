"""Decides from the observations of several observers which instances have failed."""

from __future__ import annotations

from result import Err, Ok, Result

from heatherkeel.core.models import Accepted, RecordMeta, Rejected, RejectReason
from heatherkeel.core.registry import handles
from heatherkeel.core.state import FleetState
from heatherkeel.waves.wave import finish_wave

from .const import OBSERVATION_LIFETIME_MS, OBSERVERS_NEEDED
from .models import Health, Instance, InstanceObserved, InstanceStatus, Observation, Source
from .reducer import accept_change

STATUS_BY_HEALTH: dict[Health, InstanceStatus] = {
    Health.HEALTHY: InstanceStatus.SERVING,
    Health.FAILED: InstanceStatus.FAILED,
}


@handles("pools.observed", InstanceObserved)
def observe_instance(
    state: FleetState, meta: RecordMeta, body: InstanceObserved
) -> Result[Accepted, Rejected]:
    """Record an observation; change the instance's status if the evidence is sufficient."""
    instance = state.pools.instances.get(body.instance)
    if instance is None:
        return Err(Rejected(reason=RejectReason.NOT_FOUND, detail=body.instance))
    if body.observer not in state.membership.entries:
        return Err(Rejected(reason=RejectReason.NOT_FOUND, detail=body.observer))
    if body.instance in state.waves.drains or instance.status not in STATUS_BY_HEALTH.values():
        detail = f"{body.instance} is in a drain"
        return Err(Rejected(reason=RejectReason.WRONG_STATE, detail=detail))
    # A stop that the platform carries out late would interrupt the requests of an instance that
    # serves again because it still responds. Only another boot proves that the stop is over.
    if body.health is Health.HEALTHY and instance.stopped_boot_id:
        detail = f"the stop of boot {instance.stopped_boot_id} may still come"
        return Err(Rejected(reason=RejectReason.WRONG_STATE, detail=detail))
    _record_observation(instance, body, now_ms=meta.now_ms)
    if instance.status is STATUS_BY_HEALTH[body.health] or not _is_evidence_sufficient(
        state, instance, body
    ):
        return Ok(Accepted(version=instance.version))
    set_status(instance, STATUS_BY_HEALTH[body.health])
    if body.health is Health.FAILED:
        instance.failure = f"seen to fail by {body.source.value}"
    finished = finish_wave(state, meta.offset, instance.pool)
    return Ok(accept_change(state, meta, body.instance, *finished))


def set_status(instance: Instance, status: InstanceStatus) -> None:
    """Change the status under a new version, and drop earlier observations."""
    instance.status = status
    instance.version += 1
    instance.observations = {}
    instance.failure = ""


def _record_observation(instance: Instance, body: InstanceObserved, *, now_ms: int) -> None:
    """Record an observer's latest observation, and drop expired ones."""
    instance.observations[body.observer] = Observation(health=body.health, at_ms=now_ms)
    oldest_ms = now_ms - OBSERVATION_LIFETIME_MS
    instance.observations = {
        observer: observation
        for observer, observation in instance.observations.items()
        if observation.at_ms >= oldest_ms
    }


def _is_evidence_sufficient(state: FleetState, instance: Instance, body: InstanceObserved) -> bool:
    """Return whether the platform or enough observers report the instance's new health.

    Entry instances that are cut off from an availability zone see all targets there fail. So at
    least one observer must be in the instance's own zone, if that has a live entry instance.
    """
    if body.source is Source.PLATFORM:
        return True
    observers = [
        observer
        for observer, observation in instance.observations.items()
        if observation.health is body.health
    ]
    if len(observers) < OBSERVERS_NEEDED:
        return False
    local = {
        entry_id
        for entry_id, entry in state.membership.entries.items()
        if entry.zone == instance.zone and entry.lease_until_ms > state.now_ms
    }
    return not local or not local.isdisjoint(observers)
