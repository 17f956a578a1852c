"""Reports the progress of waves to operators, and why a drain has not ended."""

from __future__ import annotations

import msgspec

from heatherkeel.core.state import FleetState
from heatherkeel.membership.reducer import find_incarnation
from heatherkeel.pools.models import InstanceStatus

from .models import Drain, Purpose
from .wave import active_halt_reason, is_complete, maintenance_of_pools


class WaitStatus(msgspec.Struct, frozen=True, kw_only=True):
    """An entry instance that has not acknowledged a drain.

    `silent_ms` is the time since its lease expired, 0 while the lease is valid.
    """

    entry: str
    zone: str
    silent_ms: int


class DrainStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A drain in progress; times in log milliseconds, `reason` is a text for operators."""

    pool: str
    purpose: str
    status: str
    age_ms: int
    waiting: list[WaitStatus]
    reason: str


class WaveStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The newest wave of a pool; `finished_ms` is 0 until it is finished."""

    number: int
    started_ms: int
    finished_ms: int
    drained: int
    returned: int
    failed: int
    halted: bool
    reason: str


class MaintenanceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Waves by pool, drains by instance id, and the failures of instances by id."""

    waves: dict[str, WaveStatus]
    drains: dict[str, DrainStatus]
    failed: dict[str, str]


def maintenance_status(fleet: FleetState) -> MaintenanceStatus:
    """Return the status of all maintenance in the folded state."""
    failed = {
        instance_id: instance.failure
        for instance_id, instance in sorted(fleet.pools.instances.items())
        if instance.status is InstanceStatus.FAILED
    }
    return MaintenanceStatus(
        waves=_explain_waves(fleet), drains=explain_drains(fleet), failed=failed
    )


def explain_drains(fleet: FleetState) -> dict[str, DrainStatus]:
    """Return the drains in progress by instance id, with the acknowledgements they wait for."""
    return {
        instance_id: _explain_drain(fleet, instance_id, drain)
        for instance_id, drain in sorted(fleet.waves.drains.items())
    }


def _explain_drain(fleet: FleetState, instance_id: str, drain: Drain) -> DrainStatus:
    instance = fleet.pools.instances[instance_id]
    waiting = [
        _explain_wait(fleet, entry, incarnation)
        for incarnation, entry in sorted(drain.waiting.items(), key=lambda item: item[1])
    ]
    return DrainStatus(
        pool=instance.pool,
        purpose=drain.purpose,
        status=instance.status,
        age_ms=fleet.now_ms - drain.started_ms,
        waiting=waiting,
        reason=_drain_reason(fleet, instance_id, drain, waiting),
    )


def _explain_wait(fleet: FleetState, entry: str, incarnation: str) -> WaitStatus:
    known = find_incarnation(fleet.membership, incarnation)
    if known is None:
        return WaitStatus(entry=entry, zone="", silent_ms=0)
    silent_ms = max(0, fleet.now_ms - known.lease_until_ms)
    return WaitStatus(entry=entry, zone=known.zone, silent_ms=silent_ms)


def _drain_reason(
    fleet: FleetState, instance_id: str, drain: Drain, waiting: list[WaitStatus]
) -> str:
    instance = fleet.pools.instances[instance_id]
    if instance.status is InstanceStatus.STOPPED:
        left_s = max(0, drain.return_by_ms - fleet.now_ms) // 1000
        return f"stopped, has {left_s} s left to come back"
    if instance.status is InstanceStatus.QUIESCED:
        return "ready to join" if drain.purpose is Purpose.MOVE else "ready to stop"
    age_s = (fleet.now_ms - drain.started_ms) // 1000
    names = ", ".join(_describe_wait(wait, instance.zone) for wait in waiting)
    return f"not acknowledged for {age_s} s by {names}"


def _describe_wait(wait: WaitStatus, zone: str) -> str:
    """Describe an entry instance that a drain waits for; if unresponsive, what ends the wait."""
    if not wait.silent_ms:
        return f"{wait.entry} ({wait.zone})"
    end = "its lease" if wait.zone != zone else "the platform's word that it is terminated"
    return f"{wait.entry} ({wait.zone}), silent for {wait.silent_ms // 1000} s: {end} ends this"


def _explain_waves(fleet: FleetState) -> dict[str, WaveStatus]:
    maintained = maintenance_of_pools(fleet)
    statuses: dict[str, WaveStatus] = {}
    for pool, wave in sorted(fleet.waves.waves.items()):
        reason = active_halt_reason(wave, maintained.get(pool))
        statuses[pool] = WaveStatus(
            number=wave.number,
            started_ms=wave.started_ms,
            finished_ms=wave.finished_ms if is_complete(fleet, pool, wave) else 0,
            drained=wave.drained,
            returned=wave.returned,
            failed=wave.failed,
            halted=bool(reason),
            reason=reason,
        )
    return statuses
