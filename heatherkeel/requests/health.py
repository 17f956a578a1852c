"""Ejects targets that fail repeatedly, and returns them with a slow start."""

from __future__ import annotations

from heatherkeel.catalogue.models import ServiceEntry
from heatherkeel.core.models import Effect
from heatherkeel.core.node import NodeState

from .const import (
    EJECT_AFTER_FAILURES,
    EJECT_BASE_MS,
    EJECT_MAX_MS,
    LATENCY_WEIGHT,
    SLOW_START_MS,
)
from .effects import CloseConnections, TargetEjected, TargetReturned
from .local import RoutingState, TargetView


def allowed_requests(target: TargetView, cap: int, now_ms: int) -> int:
    """Return how many requests a target may have now, at most `cap`."""
    if target.ejected_until_ms > now_ms:
        return 0
    if target.probing:
        return min(1, cap)
    if target.slow_start_from_ms < 0:
        return cap
    # A target that just returned may not be warmed up. The full share at once could make it fail
    # and be ejected again and again.
    passed_ms = now_ms - target.slow_start_from_ms
    return min(cap, max(1, cap * passed_ms // SLOW_START_MS))


def record_success(target: TargetView, *, latency_ms: int, now_ms: int) -> None:
    """Record a successful attempt."""
    target.latency_ms += (latency_ms - target.latency_ms) / LATENCY_WEIGHT
    target.failures = 0
    if target.probing:
        target.probing = False
        target.slow_start_from_ms = now_ms
        return
    if target.slow_start_from_ms >= 0 and now_ms - target.slow_start_from_ms >= SLOW_START_MS:
        target.slow_start_from_ms = -1
        target.ejections = 0


def record_failure(node: NodeState, name: str, *, now_ms: int) -> list[Effect]:
    """Record a failed attempt, and eject a target that fails repeatedly."""
    routing = node.local.routing
    target = routing.targets[name]
    target.failures += 1
    if target.ejected_until_ms > now_ms:
        return []
    if target.failures < EJECT_AFTER_FAILURES and not target.probing:
        return []
    if not can_eject(routing, target):
        return []
    target.ejections += 1
    duration_ms = min(EJECT_MAX_MS, EJECT_BASE_MS << min(target.ejections - 1, 8))
    target.ejected_until_ms = now_ms + duration_ms
    target.probing = True
    target.slow_start_from_ms = -1
    routing.ejected[name] = target.ejected_until_ms
    return [
        TargetEjected(target=name, until_ms=target.ejected_until_ms),
        CloseConnections(target=name),
    ]


def can_eject(routing: RoutingState, target: TargetView) -> bool:
    """Return whether one more target of the pool may be ejected.

    Prevents ejections from emptying the pool when a shared dependency fails or a caller's
    requests fail on every target. At least half of the candidates remain, and at least the
    `min_serving` of each service.
    """
    candidates = [
        name for names in routing.pools[target.pool].candidates.values() for name in names
    ]
    left = sum(name not in routing.ejected for name in candidates) - 1
    floor = max((len(candidates) + 1) // 2, _min_serving(routing, target.pool))
    return left >= floor


def _min_serving(routing: RoutingState, pool: str) -> int:
    services: list[ServiceEntry] = [s for s in routing.services.values() if s.pool == pool]
    return max((service.budget.min_serving for service in services), default=0)


def end_ejections(routing: RoutingState, now_ms: int) -> list[Effect]:
    """Return the targets to service whose ejection has ended."""
    over = [name for name, until_ms in routing.ejected.items() if until_ms <= now_ms]
    for name in over:
        del routing.ejected[name]
    return [TargetReturned(target=name) for name in sorted(over)]
