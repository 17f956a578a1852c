"""Checks whether the budgets of a pool hold without one more instance."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from heatherkeel.catalogue.models import Reserve, ServiceEntry
from heatherkeel.core.models import Rejected, RejectReason
from heatherkeel.core.state import FleetState
from heatherkeel.pools.models import Instance, InstanceStatus

Rack = tuple[str, str]
"""Availability zone and rack; rack names are unique only within an availability zone."""


def rack_of(instance: Instance) -> Rack:
    """Return the rack of an instance."""
    return instance.zone, instance.rack


def services_of(state: FleetState, pool: str) -> Iterator[tuple[str, ServiceEntry]]:
    """Yield the services of a pool with their names, sorted by name."""
    # Sorted after filtering, since the catalogue is much larger than the services of one pool.
    found = {
        name: stored.entry
        for name, stored in state.catalogue.entries.items()
        if isinstance(stored.entry, ServiceEntry) and stored.entry.pool == pool
    }
    for name in sorted(found):
        yield name, found[name]


@dataclass(kw_only=True)
class Headroom:
    """Number of serving instances of a pool, by rack and availability zone."""

    racks: Counter[Rack] = field(default_factory=Counter)
    zones: Counter[str] = field(default_factory=Counter)
    total: int = 0

    def add(self, rack: Rack, count: int = 1) -> None:
        """Add instances of a rack, or remove them if `count` is negative."""
        self.racks[rack] += count
        self.zones[rack[0]] += count
        self.total += count

    def worst_loss(self, reserve: Reserve) -> int:
        """Return how many instances the largest failure domain of the reserve holds."""
        match reserve:
            case Reserve.NONE:
                return 0
            case Reserve.RACK:
                return max(self.racks.values(), default=0)
            case Reserve.ZONE:
                return max(self.zones.values(), default=0)

    def margin(self, services: Iterable[ServiceEntry]) -> int:
        """Return how many more instances can be drained; negative if a budget is violated."""
        margins = [
            self.total - self.worst_loss(service.budget.reserve) - service.budget.min_serving
            for service in services
        ]
        return min(margins, default=self.total)

    def margin_without(self, rack: Rack, services: Iterable[ServiceEntry]) -> int:
        """Return the margin without one more instance of a rack."""
        self.add(rack, -1)
        margin = self.margin(services)
        self.add(rack, 1)
        return margin


def count_serving(instances: Iterable[Instance]) -> Headroom:
    """Count the serving instances."""
    headroom = Headroom()
    for instance in instances:
        if instance.status is InstanceStatus.SERVING:
            headroom.add(rack_of(instance))
    return headroom


def check_budgets(state: FleetState, pool: str, *, without: str = "") -> Rejected | None:
    """Refuse if a budget of the pool would not hold without the instance.

    Counting in the fold includes all concurrent stops and failures, so an accepted stop always
    leaves enough capacity for the loss of the reserved failure domain.
    """
    headroom = count_serving(
        instance
        for instance_id, instance in state.pools.instances.items()
        if instance.pool == pool and instance_id != without
    )
    for name, service in services_of(state, pool):
        if headroom.margin([service]) < 0:
            budget = service.budget
            loss = headroom.worst_loss(budget.reserve)
            detail = (
                f"{name}: {headroom.total} serving less {loss} ({budget.reserve.value}) "
                f"is below {budget.min_serving}"
            )
            return Rejected(reason=RejectReason.NO_BUDGET, detail=detail)
    return None
