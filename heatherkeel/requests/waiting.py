"""Serves queued requests, and ends those whose deadline has passed."""

from __future__ import annotations

from heatherkeel.core.models import Effect
from heatherkeel.core.node import NodeState, listens

from .effects import Refuse
from .events import QueueTick
from .health import end_ejections
from .local import ActiveRequest
from .queues import dequeue, next_class, peek, pop_overdue, remove_waiting, retry_after_ms
from .reasons import RefusalReason
from .routing import can_take_request, pick
from .sending import check_still_sendable, refuse_not_run, start_request


@listens(QueueTick)
def on_queue_tick(node: NodeState, event: QueueTick) -> list[Effect]:
    """End overdue requests and ejections, and serve waiting requests."""
    routing = node.local.routing
    effects = end_ejections(routing, event.now_ms)
    for request_id in pop_overdue(routing, event.now_ms):
        effects.append(_end_waiting(node, request_id, RefusalReason.DEADLINE))
    for pool, view in routing.pools.items():
        if view.waiting:
            effects += serve_waiting(node, pool, None, event.now_ms)
    return effects


def _end_waiting(node: NodeState, request_id: str, reason: RefusalReason) -> Refuse:
    routing = node.local.routing
    request = routing.requests.pop(request_id)
    remove_waiting(routing, request)
    return refuse_not_run(request_id, reason, retry_after_ms(routing.pools[request.pool]))


def serve_waiting(node: NodeState, pool: str, freed: str | None, now_ms: int) -> list[Effect]:
    """Send waiting requests in queue order until no slot is left for the next one.

    With `freed`, the target of a slot that was just freed, at most one request is sent.
    """
    routing = node.local.routing
    view = routing.pools[pool]
    effects: list[Effect] = []
    while (service_class := next_class(view)) is not None:
        request_id = peek(routing, view, service_class)
        request = routing.requests[request_id]
        refusal = check_still_sendable(node, request, now_ms)
        if refusal is not None:
            effects.append(_end_waiting(node, request_id, refusal))
            continue
        target = _pick_target(node, request, freed, now_ms)
        if target is None:
            break
        dequeue(routing, view, service_class)
        effects.append(start_request(node, request_id, request, target, now_ms))
        if freed is not None:
            break
    return effects


def _pick_target(
    node: NodeState, request: ActiveRequest, freed: str | None, now_ms: int
) -> str | None:
    """Return the target of the freed slot if it fits, which avoids a search of all targets."""
    if freed in node.local.routing.targets and can_take_request(node, request, freed, now_ms):
        return freed
    return pick(node, request, now_ms)
