"""Updates the local targets from the fold, the platform's list and the targets' own reports."""

from __future__ import annotations

from bisect import insort

from heatherkeel.catalogue.models import CatalogueChanged, ServiceEntry
from heatherkeel.core.models import Effect
from heatherkeel.core.node import NodeState, listens
from heatherkeel.pools.models import Instance, InstanceChanged, InstanceStatus

from .const import LIST_LAG_MS
from .effects import CloseConnections
from .events import FleetRestored, LeavingSource, TargetGone, TargetLeaving, TargetLive
from .local import PoolView, RoutingState, TargetView


@listens(InstanceChanged)
def on_instance_changed(node: NodeState, effect: InstanceChanged) -> list[Effect]:
    """Apply an instance's pool, address and status."""
    return _apply_instance(node, effect.instance)


@listens(FleetRestored)
def on_fleet_restored(node: NodeState, event: FleetRestored) -> list[Effect]:
    """Apply all instances and services of a restored fold."""
    routing = node.local.routing
    known = set(node.fleet.pools.instances) | set(routing.targets)
    effects = [effect for name in sorted(known) for effect in _apply_instance(node, name)]
    _apply_services(node)
    return effects


@listens(CatalogueChanged)
def on_catalogue_changed(node: NodeState, effect: CatalogueChanged) -> list[Effect]:
    """Apply the services of the catalogue."""
    _apply_services(node)
    return []


@listens(TargetLeaving)
def on_target_leaving(node: NodeState, event: TargetLeaving) -> list[Effect]:
    """Stop new requests to a target that is leaving, whichever source reports it first."""
    routing = node.local.routing
    target = routing.targets.get(event.target)
    if event.source is LeavingSource.PLATFORM_LIST:
        routing.leaving.add(event.target)
    elif target is not None:
        target.leaving_reported_ms = max(1, event.now_ms)
    if target is None:
        return []
    target.leaving = True
    _update_candidates(routing, event.target, target)
    return [CloseConnections(target=event.target)]


@listens(TargetLive)
def on_target_live(node: NodeState, event: TargetLive) -> list[Effect]:
    """Return a target to service.

    The platform's list may still show a target as live that has just reported that it is
    leaving. The list is ignored for `LIST_LAG_MS`, so that a stopping target gets no requests.
    """
    routing = node.local.routing
    routing.leaving.discard(event.target)
    target = routing.targets.get(event.target)
    if target is None or not (target.leaving or target.gone):
        return []
    if target.leaving_reported_ms and event.now_ms - target.leaving_reported_ms < LIST_LAG_MS:
        return []
    target.leaving = False
    target.leaving_reported_ms = 0
    target.gone = False
    _update_candidates(routing, event.target, target)
    return []


@listens(TargetGone)
def on_target_gone(node: NodeState, event: TargetGone) -> list[Effect]:
    """Stop new requests to a target that the platform no longer lists."""
    routing = node.local.routing
    target = routing.targets.get(event.target)
    if target is None:
        return []
    target.gone = True
    _update_candidates(routing, event.target, target)
    return [CloseConnections(target=event.target)]


def _apply_instance(node: NodeState, name: str) -> list[Effect]:
    routing = node.local.routing
    instance = node.fleet.pools.instances.get(name)
    target = routing.targets.get(name)
    if instance is None:
        return _remove_target(routing, name, target)
    if target is None:
        target = TargetView(address=instance.address, zone=instance.zone, pool=instance.pool)
        target.leaving = name in routing.leaving
        routing.targets[name] = target
    return _update_target(routing, name, target, instance)


def _update_target(
    routing: RoutingState, name: str, target: TargetView, instance: Instance
) -> list[Effect]:
    was_serving = target.serving
    moved = target.address != instance.address or target.pool != instance.pool
    _remove_candidate(routing, name, target)
    target.serving = instance.status is InstanceStatus.SERVING
    target.address = instance.address
    target.zone = instance.zone
    target.pool = instance.pool
    target.cap_generation = -1
    _update_candidates(routing, name, target)
    if moved or (was_serving and not target.serving):
        return [CloseConnections(target=name)]
    return []


def _remove_target(routing: RoutingState, name: str, target: TargetView | None) -> list[Effect]:
    if target is None:
        return []
    target.serving = False
    _remove_candidate(routing, name, target)
    if not target.in_progress:
        del routing.targets[name]
    return [CloseConnections(target=name)]


def _update_candidates(routing: RoutingState, name: str, target: TargetView) -> None:
    """Add a target to the candidates of its pool, or remove it if it may get no requests."""
    _remove_candidate(routing, name, target)
    pool = routing.pools.setdefault(target.pool, PoolView())
    pool.full_zones.pop(target.zone, None)
    if target.serving and not target.leaving and not target.gone:
        insort(pool.candidates.setdefault(target.zone, []), name)


def _remove_candidate(routing: RoutingState, name: str, target: TargetView) -> None:
    pool = routing.pools.get(target.pool)
    names = pool.candidates.get(target.zone, []) if pool else []
    if name in names:
        names.remove(name)


def _apply_services(node: NodeState) -> None:
    routing = node.local.routing
    routing.services = {
        name: stored.entry
        for name, stored in sorted(node.fleet.catalogue.entries.items())
        if isinstance(stored.entry, ServiceEntry)
    }
    routing.prefixes = {}
    for name, service in routing.services.items():
        routing.prefixes.setdefault(_strip_trailing_slash(service.path_prefix), name)


def find_service(routing: RoutingState, path: str) -> str | None:
    """Return the service with the longest path prefix that matches whole segments of a path."""
    prefix = _strip_trailing_slash(path)
    while prefix:
        if prefix in routing.prefixes:
            return routing.prefixes[prefix]
        prefix = prefix.rpartition("/")[0]
    return routing.prefixes.get("")


def _strip_trailing_slash(path: str) -> str:
    return path.rstrip("/")
