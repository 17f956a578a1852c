"""Picks the target of a request: by load, in the own availability zone first."""

from __future__ import annotations

from collections.abc import Sequence

from heatherkeel.core.node import NodeState
from heatherkeel.membership.sponsor import can_route

from .const import FULL_ZONE_MS, SHARE_GRACE_MS
from .health import allowed
from .limits import share
from .local import ActiveRequest, FullZone, PoolView, RoutingState, TargetView
from .reasons import RefusalReason

_MULTIPLIER = 6364136223846793005
_INCREMENT = 1442695040888963407
_MASK = (1 << 64) - 1


def pick(node: NodeState, request: ActiveRequest, now_ms: int) -> str | None:
    """Return a target with room for a request, or none.

    The own availability zone goes first; others take what is past its shares.
    """
    routing = node.local.routing
    pool = routing.pools.get(request.pool)
    if pool is None:
        return None
    picked = _pick_in_zone(node, pool, node.local.zone, request, now_ms)
    if picked is not None or not may_cross(node, request, now_ms):
        return picked
    away = [zone for zone in sorted(pool.candidates) if zone != node.local.zone]
    return _pick_from_zones(node, away, request, now_ms)


def _pick_from_zones(
    node: NodeState, zones: Sequence[str], request: ActiveRequest, now_ms: int
) -> str | None:
    """Try the zones in turn, from one drawn by chance so that none is always the first."""
    pool = node.local.routing.pools[request.pool]
    start = draw(node.local.routing, len(zones)) if zones else 0
    for zone in (*zones[start:], *zones[:start]):
        picked = _pick_in_zone(node, pool, zone, request, now_ms)
        if picked is not None:
            return picked
    return None


def may_cross(node: NodeState, request: ActiveRequest, now_ms: int) -> bool:
    """Tell whether a request may go to another availability zone.

    Once the routing lease and its grace are over, the others use this entry instance's share of
    targets elsewhere. So the request has to end before.
    """
    lease_end_ms = node.local.lease.valid_until_ms
    return now_ms < lease_end_ms and request.deadline_at_ms <= lease_end_ms + SHARE_GRACE_MS


def lease_refusal(node: NodeState, request: ActiveRequest, now_ms: int) -> RefusalReason | None:
    """Return why a request may not be sent without a routing lease, or none if it may.

    Failure: this process is cut off, or was paused, and a drain or another entry instance's claim
    went on without it. Symptom: a non-idempotent request runs on a target that is being stopped,
    or runs twice. Enough because without a lease nothing is sent that may not be sent again, and
    a newcomer that the fold doesn't know sends nothing at all without its sponsor.
    """
    if not can_route(node, now_ms):
        return RefusalReason.NO_SPONSOR
    if not request.idempotent and now_ms >= node.local.lease.valid_until_ms:
        return RefusalReason.LEASE_LAPSED
    return None


def fits(node: NodeState, request: ActiveRequest, name: str, now_ms: int) -> bool:
    """Tell whether a target may take a request now."""
    target = node.local.routing.targets[name]
    if name in request.tried or not is_candidate(node.local.routing, name, target):
        return False
    if target.zone != node.local.zone and not may_cross(node, request, now_ms):
        return False
    return has_room(node, name, target, now_ms)


def is_candidate(routing: RoutingState, name: str, target: TargetView) -> bool:
    """Tell whether a target may get new work at all."""
    out = target.leaving or target.gone or name in routing.leaving
    return target.serving and not out


def has_room(node: NodeState, name: str, target: TargetView, now_ms: int) -> bool:
    """Tell whether a target has a free slot in this entry instance's share."""
    return target.in_progress < allowed(target, share(node, name, target), now_ms)


def _pick_in_zone(
    node: NodeState, pool: PoolView, zone: str, request: ActiveRequest, now_ms: int
) -> str | None:
    """Pick in one zone; look at all its targets only if something may have changed since."""
    generation = node.local.routing.shares.generation
    full = pool.full.get(zone)
    if full is not None and full.generation == generation and now_ms < full.until_ms:
        return _take_freed(node, full, request, now_ms)
    picked = _pick_among(node, pool.candidates.get(zone, ()), request, now_ms)
    if picked is None and not request.tried:
        pool.full[zone] = FullZone(generation=generation, until_ms=now_ms + FULL_ZONE_MS)
    return picked


def _take_freed(node: NodeState, full: FullZone, request: ActiveRequest, now_ms: int) -> str | None:
    """Return a target on which a slot was freed since all were found full."""
    while full.freed:
        name, _ = full.freed.popitem()
        if name in node.local.routing.targets and fits(node, request, name, now_ms):
            return name
    return None


def _pick_among(
    node: NodeState, names: Sequence[str], request: ActiveRequest, now_ms: int
) -> str | None:
    """Return the less loaded of two targets drawn by chance; look at all if neither has room.

    The least loaded of all would be picked by every entry instance at once, on figures that are
    already old; two drawn by chance spread the load nearly as well.
    """
    if not names:
        return None
    first = names[draw(node.local.routing, len(names))]
    second = names[draw(node.local.routing, len(names))]
    usable = [name for name in (first, second) if fits(node, request, name, now_ms)]
    if usable:
        return min(usable, key=lambda name: _load(node, name))
    usable = [name for name in names if fits(node, request, name, now_ms)]
    return min(usable, key=lambda name: _load(node, name), default=None)


def _load(node: NodeState, name: str) -> float:
    """Return what one more request would wait here: its place in the share, times the latency."""
    target = node.local.routing.targets[name]
    place = (target.in_progress + 1) / max(1, target.cap)
    return place * target.latency_ms * (1 + target.failures)


def draw(routing: RoutingState, count: int) -> int:
    """Return a number from 0 to `count` - 1; the generator's state is part of the local state."""
    routing.seed = (routing.seed * _MULTIPLIER + _INCREMENT) & _MASK
    return (routing.seed >> 33) % count
