"""Decides whether a pool can do without one more instance."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from heatherkeel.catalogue.models import Reserve, ServiceEntry
from heatherkeel.core.models import Rejected, RejectReason
from heatherkeel.core.state import FleetState
from heatherkeel.pools.models import Instance, InstanceStatus


def services_of(state: FleetState, pool: str) -> Iterator[tuple[str, ServiceEntry]]:
    """Yield the services on a pool with their names, by name."""
    for name, stored in sorted(state.catalogue.entries.items()):
        if isinstance(stored.entry, ServiceEntry) and stored.entry.pool == pool:
            yield name, stored.entry


def serving_instances(state: FleetState, pool: str, *, without: str = "") -> list[Instance]:
    """Return the instances of a pool that serve, leaving one out."""
    return [
        instance
        for instance_id, instance in state.pools.instances.items()
        if instance.pool == pool
        and instance.status is InstanceStatus.SERVING
        and instance_id != without
    ]


def worst_loss(instances: list[Instance], reserve: Reserve) -> int:
    """Return how many of the instances the named loss would take at worst."""
    match reserve:
        case Reserve.NONE:
            return 0
        case Reserve.RACK:
            sizes = Counter((instance.zone, instance.rack) for instance in instances)
        case Reserve.ZONE:
            sizes = Counter((instance.zone, "") for instance in instances)
    return max(sizes.values(), default=0)


def check_budgets(state: FleetState, pool: str, *, without: str) -> Rejected | None:
    """Refuse if a budget on the pool would not hold without the instance.

    Each stop alone can look harmless while another one, or a failed rack, has already taken
    the room; callers then find too few instances. Counting here, where all readers see the
    same state, leaves room for the named loss to come on top of every stop that is admitted.
    """
    serving = serving_instances(state, pool, without=without)
    for name, service in services_of(state, pool):
        loss = worst_loss(serving, service.budget.reserve)
        left = len(serving) - loss
        if left < service.budget.min_serving:
            detail = (
                f"{name}: {len(serving)} serving less {loss} ({service.budget.reserve.value}) "
                f"is below {service.budget.min_serving}"
            )
            return Rejected(reason=RejectReason.NO_BUDGET, detail=detail)
    return None
