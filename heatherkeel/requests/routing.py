"""Picks the target of a request by load, preferring the local availability zone."""

from __future__ import annotations

from collections.abc import Sequence

from heatherkeel.core.node import NodeState
from heatherkeel.membership.sponsor import can_route

from .const import FULL_ZONE_RECHECK_MS, SHARE_GRACE_MS
from .health import allowed_requests
from .limits import share
from .local import ActiveRequest, FullZone, PoolView, RoutingState, TargetView
from .reasons import RefusalReason

_MULTIPLIER = 6364136223846793005
_INCREMENT = 1442695040888963407
_MASK = (1 << 64) - 1


def pick(node: NodeState, request: ActiveRequest, now_ms: int) -> str | None:
    """Return a target with capacity for a request, or `None`.

    Other availability zones are tried only if the local one has no capacity.
    """
    routing = node.local.routing
    pool = routing.pools.get(request.pool)
    if pool is None:
        return None
    picked = _pick_in_zone(node, pool, node.local.zone, request, now_ms)
    if picked is not None or not can_leave_zone(node, request, now_ms):
        return picked
    other_zones = [zone for zone in sorted(pool.candidates) if zone != node.local.zone]
    return _pick_from_zones(node, other_zones, request, now_ms)


def _pick_from_zones(
    node: NodeState, zones: Sequence[str], request: ActiveRequest, now_ms: int
) -> str | None:
    """Try each zone, starting at a random one so that no zone is always preferred."""
    pool = node.local.routing.pools[request.pool]
    start = draw_number(node.local.routing, len(zones)) if zones else 0
    for zone in (*zones[start:], *zones[:start]):
        picked = _pick_in_zone(node, pool, zone, request, now_ms)
        if picked is not None:
            return picked
    return None


def can_leave_zone(node: NodeState, request: ActiveRequest, now_ms: int) -> bool:
    """Return whether a request may go to another availability zone.

    It must end before the routing lease and its grace period do, because other entry instances
    then use this one's share of targets in other zones.
    """
    lease_end_ms = node.local.lease.valid_until_ms
    return now_ms < lease_end_ms and request.deadline_at_ms <= lease_end_ms + SHARE_GRACE_MS


def lease_refusal(node: NodeState, request: ActiveRequest, now_ms: int) -> RefusalReason | None:
    """Return why a request may not be sent without a routing lease, or `None` if it may.

    Prevents a disconnected or paused process from running a non-idempotent request twice or on a
    stopping target. Without a lease, only idempotent requests are sent; a joining instance that
    isn't in the fold sends no requests without its sponsor.
    """
    if not can_route(node, now_ms):
        return RefusalReason.NO_SPONSOR
    if not request.idempotent and now_ms >= node.local.lease.valid_until_ms:
        return RefusalReason.LEASE_LAPSED
    return None


def can_take_request(node: NodeState, request: ActiveRequest, name: str, now_ms: int) -> bool:
    """Return whether a target may receive a request now."""
    target = node.local.routing.targets[name]
    if name in request.tried or not is_candidate(node.local.routing, name, target):
        return False
    if target.zone != node.local.zone and not can_leave_zone(node, request, now_ms):
        return False
    return has_free_slot(node, name, target, now_ms)


def is_candidate(routing: RoutingState, name: str, target: TargetView) -> bool:
    """Return whether a target may receive new requests, regardless of its load."""
    excluded = target.leaving or target.gone or name in routing.leaving
    return target.serving and not excluded


def has_free_slot(node: NodeState, name: str, target: TargetView, now_ms: int) -> bool:
    """Return whether a target has a free slot in this entry instance's share."""
    return target.in_progress < allowed_requests(target, share(node, name, target), now_ms)


def _pick_in_zone(
    node: NodeState, pool: PoolView, zone: str, request: ActiveRequest, now_ms: int
) -> str | None:
    """Pick a target in one zone; skip the search if the zone was full and nothing has changed."""
    generation = node.local.routing.shares.generation
    full = pool.full_zones.get(zone)
    if full is not None and full.generation == generation and now_ms < full.until_ms:
        return _pick_freed(node, full, request, now_ms)
    picked = _pick_by_load(node, pool.candidates.get(zone, ()), request, now_ms)
    if picked is None and not request.tried:
        pool.full_zones[zone] = FullZone(
            generation=generation, until_ms=now_ms + FULL_ZONE_RECHECK_MS
        )
    return picked


def _pick_freed(node: NodeState, full: FullZone, request: ActiveRequest, now_ms: int) -> str | None:
    """Return a target on which a slot was freed after the zone was found full, or `None`."""
    while full.freed:
        name, _ = full.freed.popitem()
        if name in node.local.routing.targets and can_take_request(node, request, name, now_ms):
            return name
    return None


def _pick_by_load(
    node: NodeState, names: Sequence[str], request: ActiveRequest, now_ms: int
) -> str | None:
    """Return the less loaded of two random targets, or the least loaded if neither has capacity.

    Two random choices keep the entry instances from all picking the same least loaded target
    from outdated load figures.
    """
    if not names:
        return None
    first = names[draw_number(node.local.routing, len(names))]
    second = names[draw_number(node.local.routing, len(names))]
    usable = [name for name in (first, second) if can_take_request(node, request, name, now_ms)]
    if usable:
        return min(usable, key=lambda name: _load(node, name))
    usable = [name for name in names if can_take_request(node, request, name, now_ms)]
    return min(usable, key=lambda name: _load(node, name), default=None)


def _load(node: NodeState, name: str) -> float:
    """Return the load score of a target for one more request; lower is better."""
    target = node.local.routing.targets[name]
    position = (target.in_progress + 1) / max(1, target.cap)
    return position * target.latency_ms * (1 + target.failures)


def draw_number(routing: RoutingState, count: int) -> int:
    """Return a pseudorandom number from 0 to `count` - 1 from the generator in the local state."""
    routing.seed = (routing.seed * _MULTIPLIER + _INCREMENT) & _MASK
    return (routing.seed >> 33) % count
