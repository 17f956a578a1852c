"""Chooses whom to drain next. It only proposes: the fold decides.

Pure: the same state and time give the same plan, so coordinators that race propose the same
drains and the fold takes one of each. Policies are registered by name, so that production and
the baselines that it is measured against run through the same code.
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
    is_covered,
    is_halted,
    maintenance_of_pools,
    next_number,
)

Members = dict[str, Instance]


@dataclass(kw_only=True)
class PoolView:
    """One pool while its drains are chosen; a chosen instance leaves `serving` at once."""

    maintenance: MaintenanceEntry
    services: list[ServiceEntry]
    size: int
    serving: Headroom
    candidates: Members
    draining: Counter[str]
    """Planned drains under way, by availability zone."""
    now_ms: int

    def under_way(self) -> int:
        """Return how many planned drains are under way."""
        return self.draining.total()

    def room(self) -> int:
        """Return how many more drains may be under way side by side."""
        return self.maintenance.max_concurrent - self.under_way()

    def margin_without(self, rack: Rack) -> int:
        """Return the least margin of the pool's budgets without one more instance of a rack."""
        return self.serving.margin_without(rack, self.services)

    def take(self, instance_id: str) -> None:
        """Count an instance as drained."""
        instance = self.candidates.pop(instance_id)
        self.serving.add(rack_of(instance), -1)
        self.draining[instance.zone] += 1


Policy = Callable[[PoolView], str | None]
POLICIES: Final[dict[str, Policy]] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Register a policy: it names the next instance to drain, or none for now."""

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

    `now_ms` is the reader's estimate of log time. At most about `MAX_DRAINS_PER_PLAN` are
    returned, so that one call stays short; the rest comes with the next call.
    """
    drains = plan_repairs(fleet, coordinator=coordinator)
    members = _members_of_pools(fleet)
    for pool, (maintenance, stored) in maintenance_of_pools(fleet).items():
        if len(drains) >= MAX_DRAINS_PER_PLAN:
            return drains
        wave = fleet.waves.waves.get(pool)
        halted = wave is not None and is_halted(wave, stored)
        if halted or closes_soon(maintenance, now_ms):
            continue
        view = view_pool(fleet, maintenance, members.get(pool, {}), now_ms)
        drains += _plan_pool(fleet, view, coordinator, POLICIES[policy_name])
    return drains + plan_moves(fleet, coordinator=coordinator, taken=drains)


def _members_of_pools(fleet: FleetState) -> dict[str, Members]:
    members: dict[str, Members] = {}
    for instance_id, instance in fleet.pools.instances.items():
        members.setdefault(instance.pool, {})[instance_id] = instance
    return members


def closes_soon(maintenance: MaintenanceEntry, now_ms: int) -> bool:
    """Tell whether a stop that starts now could reach into counter hours."""
    latest_return_ms = now_ms + maintenance.return_timeout_s * 1000
    return is_closed(maintenance, now_ms) or is_closed(maintenance, latest_return_ms)


def _plan_pool(
    fleet: FleetState, view: PoolView, coordinator: str, choose: Policy
) -> list[DrainStart]:
    if not view.candidates:
        return []
    number = next_number(fleet, view.maintenance.pool)
    drains: list[DrainStart] = []
    while view.candidates and view.room() > 0:
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
        view.take(chosen)
    return drains


def view_pool(
    fleet: FleetState, maintenance: MaintenanceEntry, members: Members, now_ms: int
) -> PoolView:
    """Return what a policy chooses from."""
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
    """Return whom the pool's wave still has to maintain, if one is open or due.

    A drain in an availability zone with a silent entry instance can't end before that one is
    back or gone. Starting it would only take capacity away, so such zones come later.
    """
    serving = {
        key: value for key, value in members.items() if value.status is InstanceStatus.SERVING
    }
    wave = fleet.waves.waves.get(maintenance.pool)
    if wave is not None and not is_complete_for(fleet, wave, members.items()):
        serving = {key: value for key, value in serving.items() if is_covered(value, wave)}
    elif not _is_due(maintenance, 0 if wave is None else wave.request, serving, now_ms):
        return {}
    silent = silent_zones(fleet, now_ms) if serving else set()
    return {key: value for key, value in serving.items() if value.zone not in silent}


def silent_zones(fleet: FleetState, now_ms: int) -> set[str]:
    """Return the availability zones in which a drain can't end now."""
    membership = fleet.membership
    lapsed = {entry.zone for entry in membership.entries.values() if entry.lease_until_ms <= now_ms}
    return lapsed | {entry.zone for entry in membership.superseded.values()}


def _is_due(maintenance: MaintenanceEntry, met_request: int, serving: Members, now_ms: int) -> bool:
    """Tell whether a new wave should open, early enough to end when the period does."""
    if maintenance.wave_request > met_request:
        return True
    period_ms = maintenance.period_h * HOUR_MS
    longest_wave_ms = len(serving) * maintenance.return_timeout_s * 1000
    early_ms = min(longest_wave_ms, period_ms // EARLY_START_DIVISOR)
    oldest_ms = min((instance.maintained_ms for instance in serving.values()), default=now_ms)
    return oldest_ms + period_ms - early_ms <= now_ms
