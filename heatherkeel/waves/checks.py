"""Checks the guarantees of planned stops, independently of the code that decides them.

The checkers don't use the helpers of the reducer, whose faults they would otherwise repeat.
"""

from __future__ import annotations

from collections.abc import Iterator

from heatherkeel.catalogue.models import Budget, MaintenanceEntry, Reserve, ServiceEntry
from heatherkeel.core.models import Effect, Violation
from heatherkeel.core.registry import checks, checks_step
from heatherkeel.core.state import FleetState
from heatherkeel.membership.models import EntryInstance
from heatherkeel.pools.models import Instance, InstanceStatus
from heatherkeel.waves.const import MINUTE_MS, MINUTES_PER_DAY

from .models import DrainAcknowledged, Purpose

_IN_DRAIN = (InstanceStatus.DRAINING, InstanceStatus.QUIESCED, InstanceStatus.STOPPED)


@checks("drain_matches_status")
def check_drains(state: FleetState) -> Iterator[Violation]:
    """Find instances whose status and drain contradict each other."""
    for instance_id, instance in state.pools.instances.items():
        drain = state.waves.drains.get(instance_id)
        if (drain is not None) != (instance.status in _IN_DRAIN):
            yield _violation(state, "drain_matches_status", instance_id, instance.status.value)
        if drain is not None and drain.waiting and instance.status is not InstanceStatus.DRAINING:
            yield _violation(state, "drain_matches_status", instance_id, "still waited for")
    for instance_id in state.waves.drains.keys() - state.pools.instances.keys():
        yield _violation(state, "drain_matches_status", instance_id, "is unknown")


@checks_step("budget_holds")
def check_budget(
    before: FleetState, effects: list[Effect], after: FleetState
) -> Iterator[Violation]:
    """Find planned stops that left too few instances for the loss of a failure domain."""
    for instance_id, instance in _planned_stops(before, after):
        for name, service in _services(after, instance.pool):
            left = _left_after_worst_loss(after, instance.pool, service.budget)
            if left < service.budget.min_serving:
                detail = f"{name}: {left} left of {service.budget.min_serving}"
                yield _violation(after, "budget_holds", instance_id, detail)


@checks_step("outside_counter_hours")
def check_hours(
    before: FleetState, effects: list[Effect], after: FleetState
) -> Iterator[Violation]:
    """Find planned stops within the counter hours of their pool."""
    minute = after.now_ms // MINUTE_MS % MINUTES_PER_DAY
    for instance_id, instance in _planned_stops(before, after):
        maintenance = _maintenance(after, instance.pool)
        if maintenance is not None and minute in _closed_minutes(maintenance):
            yield _violation(after, "outside_counter_hours", instance_id, f"minute {minute}")


@checks_step("halted_wave_rests")
def check_halted(
    before: FleetState, effects: list[Effect], after: FleetState
) -> Iterator[Violation]:
    """Find planned stops in a halted wave that no operator has resumed."""
    for instance_id, instance in _planned_stops(before, after):
        wave = before.waves.waves.get(instance.pool)
        if wave is None or not wave.halted_reason:
            continue
        edits = [
            stored.offset
            for stored in before.catalogue.entries.values()
            if isinstance(stored.entry, MaintenanceEntry) and stored.entry.pool == instance.pool
        ]
        if edits and max(edits) <= wave.halted_offset:
            yield _violation(after, "halted_wave_rests", instance_id, wave.halted_reason)


@checks_step("stopped_after_acknowledgement")
def check_acknowledged(
    before: FleetState, effects: list[Effect], after: FleetState
) -> Iterator[Violation]:
    """Find waits that ended without a valid cause, and stops of instances not quiesced.

    A valid cause is an acknowledgement, the end of the incarnation or an expired lease.
    """
    for instance_id, drain in before.waves.drains.items():
        current = after.waves.drains.get(instance_id)
        if current is None or current.id != drain.id:
            continue
        for incarnation in drain.waiting.keys() - current.waiting.keys():
            if not _is_wait_end_allowed(before, effects, after, instance_id, incarnation):
                detail = f"{incarnation} has not acknowledged"
                yield _violation(after, "stopped_after_acknowledgement", instance_id, detail)
    for instance_id, instance in after.pools.instances.items():
        old = before.pools.instances.get(instance_id)
        if old is None or instance.status is old.status:
            continue
        if instance.status is InstanceStatus.STOPPED and old.status is not InstanceStatus.QUIESCED:
            detail = f"stopped while {old.status.value}"
            yield _violation(after, "stopped_after_acknowledgement", instance_id, detail)


@checks_step("one_pool")
def check_pool_changes(
    before: FleetState, effects: list[Effect], after: FleetState
) -> Iterator[Violation]:
    """Find pool changes that are not the end of a move."""
    for instance_id, instance in after.pools.instances.items():
        old = before.pools.instances.get(instance_id)
        if old is None or old.pool == instance.pool:
            continue
        drain = before.waves.drains.get(instance_id)
        moved = drain is not None and drain.purpose is Purpose.MOVE
        if not moved or drain is None or drain.to_pool != instance.pool:
            yield _violation(after, "one_pool", instance_id, "changed its pool without a move")
        elif old.status is not InstanceStatus.QUIESCED:
            yield _violation(after, "one_pool", instance_id, f"moved while {old.status.value}")


@checks_step("versions_rise")
def check_versions(
    before: FleetState, effects: list[Effect], after: FleetState
) -> Iterator[Violation]:
    """Find versions that decreased, and changes of an instance without a new version."""
    for name, version in before.catalogue.versions.items():
        if after.catalogue.versions.get(name, 0) < version:
            yield _violation(after, "versions_rise", name, f"below {version}")
    for instance_id, instance in after.pools.instances.items():
        old = before.pools.instances.get(instance_id)
        if old is None:
            continue
        changed = (old.pool, old.status, old.boot_id) != (
            instance.pool,
            instance.status,
            instance.boot_id,
        )
        if instance.version < old.version + changed:
            yield _violation(after, "versions_rise", instance_id, f"{instance.version} is not new")


def _violation(state: FleetState, promise: str, where: str, detail: str) -> Violation:
    return Violation(promise=promise, offset=state.next_offset - 1, where=where, detail=detail)


def _planned_stops(before: FleetState, after: FleetState) -> Iterator[tuple[str, Instance]]:
    """Yield the instances that a record drained or stopped by plan."""
    for instance_id, instance in after.pools.instances.items():
        old = before.pools.instances.get(instance_id)
        drain = after.waves.drains.get(instance_id)
        if old is None or drain is None or drain.was_failed:
            continue
        started = old.status is InstanceStatus.SERVING
        stopped = (
            instance.status is InstanceStatus.STOPPED and old.status is not InstanceStatus.STOPPED
        )
        if started or stopped:
            yield instance_id, instance


def _services(state: FleetState, pool: str) -> Iterator[tuple[str, ServiceEntry]]:
    for name, stored in state.catalogue.entries.items():
        if isinstance(stored.entry, ServiceEntry) and stored.entry.pool == pool:
            yield name, stored.entry


def _left_after_worst_loss(state: FleetState, pool: str, budget: Budget) -> int:
    """Return the smallest number of serving instances after any one loss."""
    serving = [
        instance
        for instance in state.pools.instances.values()
        if instance.pool == pool and instance.status is InstanceStatus.SERVING
    ]
    if budget.reserve is Reserve.NONE:
        return len(serving)
    if budget.reserve is Reserve.RACK:
        domains = [(instance.zone, instance.rack) for instance in serving]
    else:
        domains = [(instance.zone, "") for instance in serving]
    return min((len([d for d in domains if d != lost]) for lost in domains), default=0)


def _maintenance(state: FleetState, pool: str) -> MaintenanceEntry | None:
    for _, stored in sorted(state.catalogue.entries.items(), key=lambda item: item[0]):
        if isinstance(stored.entry, MaintenanceEntry) and stored.entry.pool == pool:
            return stored.entry
    return None


def _closed_minutes(maintenance: MaintenanceEntry) -> set[int]:
    start, end = maintenance.closed_from_minute, maintenance.closed_to_minute
    length = (end - start) % MINUTES_PER_DAY
    if end - start == MINUTES_PER_DAY:
        length = MINUTES_PER_DAY
    return {(start + step) % MINUTES_PER_DAY for step in range(length)}


def _is_wait_end_allowed(
    before: FleetState,
    effects: list[Effect],
    after: FleetState,
    instance_id: str,
    incarnation: str,
) -> bool:
    """Return whether a wait for an acknowledgement ended by a valid cause.

    The lease is the one before the record, which may renew a lease that has expired.
    """
    for effect in effects:
        if isinstance(effect, DrainAcknowledged) and (effect.instance, effect.incarnation) == (
            instance_id,
            incarnation,
        ):
            return True
    if not _find_members(after, incarnation):
        return True
    zone = after.pools.instances[instance_id].zone
    remote = [member for member in _find_members(before, incarnation) if member.zone != zone]
    return any(member.lease_until_ms <= after.now_ms for member in remote)


def _find_members(state: FleetState, incarnation: str) -> list[EntryInstance]:
    members = [*state.membership.entries.values(), *state.membership.superseded.values()]
    return [member for member in members if member.incarnation == incarnation]
