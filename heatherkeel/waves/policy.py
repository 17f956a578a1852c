"""Proposes the next drains; the fold decides.

The plan depends only on state and time, so concurrent coordinators propose the same drains.
Policies are registered by name, so that the baselines run through the same code as production.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from heatherkeel.catalogue.models import MaintenanceEntry, ServiceEntry
from heatherkeel.core.errors import RegistrationError
from heatherkeel.core.state import FleetState
from heatherkeel.pools.models import Instance, InstanceStatus

from .budget import Headroom, Rack, count_serving, rack_of, services_of
from .const import DEFAULT_POLICY, EARLY_START_DIVISOR, HOUR_MS, MAX_DRAINS_PER_PLAN
from .models import DrainStart, Purpose
from .moves import plan_moves
from .repairs import plan_repairs
from .wave import (
    is_closed,
    is_complete_for,
    is_halted,
    maintenance_of_pools,
    needs_maintenance,
    next_number,
)

Members = dict[str, Instance]


@dataclass(kw_only=True)
class PoolView:
    """State of one pool during planning; a chosen instance is removed from `serving` at once."""

    maintenance: MaintenanceEntry
    services: list[ServiceEntry]
    size: int
    serving: Headroom
    candidates: Members
    draining: Counter[str]
    """Number of planned drains in progress, by availability zone."""
    now_ms: int

    def active_drains(self) -> int:
        """Return the number of planned drains in progress."""
        return self.draining.total()

    def free_slots(self) -> int:
        """Return how many more drains may run concurrently."""
        return self.maintenance.max_concurrent - self.active_drains()

    def margin_without(self, rack: Rack) -> int:
        """Return the smallest margin of the pool's budgets without one more instance of a rack."""
        return self.serving.margin_without(rack, self.services)

    def mark_drained(self, instance_id: str) -> None:
        """Mark an instance as drained."""
        instance = self.candidates.pop(instance_id)
        self.serving.add(rack_of(instance), -1)
        self.draining[instance.zone] += 1


Policy = Callable[[PoolView], str | None]
POLICIES: Final[dict[str, Policy]] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Register a policy, which returns the next instance to drain, or None for now."""

    def register(choose: Policy) -> Policy:
        if name in POLICIES:
            raise RegistrationError(f"policy {name} is registered twice")
        POLICIES[name] = choose
        return choose

    return register


def plan(
    fleet: FleetState, now_ms: int, *, coordinator: str, policy_name: str = DEFAULT_POLICY
) -> list[DrainStart]:
    """Return the drains to propose now: repairs, then maintenance, then moves.

    `now_ms` is the reader's estimate of log time. After `MAX_DRAINS_PER_PLAN` drains no further
    pool is planned, which bounds the duration of one call.
    """
    drains = plan_repairs(fleet, coordinator=coordinator)
    members = _instances_by_pool(fleet)
    for pool, maintenance in maintenance_of_pools(fleet).items():
        if len(drains) >= MAX_DRAINS_PER_PLAN:
            return drains
        wave = fleet.waves.waves.get(pool)
        halted = wave is not None and is_halted(wave, maintenance)
        if halted or closes_soon(maintenance.entry, now_ms):
            continue
        view = view_pool(fleet, maintenance.entry, members.get(pool, {}), now_ms)
        drains += _plan_pool(fleet, view, coordinator, POLICIES[policy_name])
    return drains + plan_moves(fleet, coordinator=coordinator, planned=drains)


def _instances_by_pool(fleet: FleetState) -> dict[str, Members]:
    members: dict[str, Members] = {}
    for instance_id, instance in fleet.pools.instances.items():
        members.setdefault(instance.pool, {})[instance_id] = instance
    return members


def closes_soon(maintenance: MaintenanceEntry, now_ms: int) -> bool:
    """Return whether a stop that starts now could extend into counter hours."""
    latest_return_ms = now_ms + maintenance.return_timeout_s * 1000
    return is_closed(maintenance, now_ms) or is_closed(maintenance, latest_return_ms)


def _plan_pool(
    fleet: FleetState, view: PoolView, coordinator: str, choose: Policy
) -> list[DrainStart]:
    if not view.candidates:
        return []
    number = next_number(fleet, view.maintenance.pool)
    drains: list[DrainStart] = []
    while view.candidates and view.free_slots() > 0:
        chosen = choose(view)
        if chosen is None or view.margin_without(rack_of(view.candidates[chosen])) < 0:
            break
        drain = DrainStart(
            instance=chosen,
            expected_version=view.candidates[chosen].version,
            coordinator=coordinator,
            purpose=Purpose.MAINTENANCE,
            wave=number,
        )
        drains.append(drain)
        view.mark_drained(chosen)
    return drains


def view_pool(
    fleet: FleetState, maintenance: MaintenanceEntry, members: Members, now_ms: int
) -> PoolView:
    """Return the view of a pool that a policy chooses from."""
    drains = fleet.waves.drains
    draining = Counter(
        instance.zone
        for instance_id, instance in members.items()
        if instance_id in drains and not drains[instance_id].was_failed
    )
    candidates = _candidates(fleet, maintenance, members, now_ms)
    services = services_of(fleet, maintenance.pool) if candidates else ()
    return PoolView(
        maintenance=maintenance,
        services=[service for _, service in services],
        size=len(members),
        serving=count_serving(members.values()),
        candidates=candidates,
        draining=draining,
        now_ms=now_ms,
    )


def _candidates(
    fleet: FleetState, maintenance: MaintenanceEntry, members: Members, now_ms: int
) -> Members:
    """Return the instances that the pool's wave still has to maintain, if one is open or due.

    Availability zones with an unresponsive entry instance are left out: a drain there can't end
    before that entry instance is back or gone, and would only reduce capacity.
    """
    serving = {
        key: value for key, value in members.items() if value.status is InstanceStatus.SERVING
    }
    wave = fleet.waves.waves.get(maintenance.pool)
    if wave is not None and not is_complete_for(fleet, wave, members.items()):
        serving = {key: value for key, value in serving.items() if needs_maintenance(value, wave)}
    elif not _is_due(maintenance, 0 if wave is None else wave.request, serving, now_ms):
        return {}
    unresponsive = unresponsive_zones(fleet, now_ms) if serving else set()
    return {key: value for key, value in serving.items() if value.zone not in unresponsive}


def unresponsive_zones(fleet: FleetState, now_ms: int) -> set[str]:
    """Return the availability zones in which a drain can't end at present."""
    membership = fleet.membership
    expired = {
        entry.zone for entry in membership.entries.values() if entry.lease_until_ms <= now_ms
    }
    return expired | {entry.zone for entry in membership.superseded.values()}


def _is_due(
    maintenance: MaintenanceEntry, started_request: int, serving: Members, now_ms: int
) -> bool:
    """Return whether a new wave should start, early enough to finish within the period."""
    if maintenance.wave_request > started_request:
        return True
    period_ms = maintenance.period_h * HOUR_MS
    longest_wave_ms = len(serving) * maintenance.return_timeout_s * 1000
    early_ms = min(longest_wave_ms, period_ms // EARLY_START_DIVISOR)
    oldest_ms = min((instance.maintained_ms for instance in serving.values()), default=now_ms)
    return oldest_ms + period_ms - early_ms <= now_ms
