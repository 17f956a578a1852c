"""Bounded queues of requests that wait for a slot: urgent first, owners in turn, none starved."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Iterator

from heatherkeel.catalogue.models import CLASS_ORDER, ServiceClass

from .const import LATENCY_WEIGHT, MAX_PASSED_OVER, MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS
from .local import ActiveRequest, ClassQueue, PoolView, RequestPhase, RoutingState
from .reasons import RefusalReason


def check_room(routing: RoutingState, request: ActiveRequest, now_ms: int) -> RefusalReason | None:
    """Return why a request can't wait, or none if it can.

    Failure: more arrives than the targets can do. Symptom: requests wait until their deadline,
    are sent too late to be of use, and take the slots of those that could still be answered.
    Enough because the queue is bounded, and nobody is let in whose turn comes too late.
    """
    service = routing.services[request.service]
    if routing.waiting.get(request.service, 0) >= service.limits.max_queued:
        return RefusalReason.QUEUE_FULL
    pool = routing.pools[request.pool]
    wait_ms = (_ahead(pool, request.service_class) + 1) * drain_interval_ms(pool)
    if now_ms + wait_ms + pool.latency_ms > request.deadline_at_ms:
        return RefusalReason.QUEUE_TOO_SLOW
    return None


def _ahead(pool: PoolView, service_class: ServiceClass) -> int:
    """Return how many waiting requests are served before one of this class."""
    rank = CLASS_ORDER.index(service_class)
    return sum(
        queue.waiting for name, queue in pool.queues.items() if CLASS_ORDER.index(name) <= rank
    )


def drain_interval_ms(pool: PoolView) -> float:
    """Return the usual time between two freed slots; from the latency until one was measured."""
    return pool.drain_interval_ms or pool.latency_ms / max(1, pool.in_progress)


def retry_after_ms(pool: PoolView) -> int:
    """Return when all that waits now will have been served."""
    wait_ms = math.ceil((pool.waiting + 1) * drain_interval_ms(pool))
    return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))


def note_end(pool: PoolView, now_ms: int) -> None:
    """Learn the drain rate from a freed slot."""
    waiting = pool.waiting > 0
    if waiting and pool.last_end_ms >= 0:
        interval_ms = now_ms - pool.last_end_ms
        known_ms = pool.drain_interval_ms or interval_ms
        pool.drain_interval_ms = known_ms + (interval_ms - known_ms) / LATENCY_WEIGHT
    pool.last_end_ms = now_ms if waiting else -1


def enqueue(routing: RoutingState, request_id: str, request: ActiveRequest) -> None:
    """Let a request wait; `check_room` has let it in."""
    request.phase = RequestPhase.QUEUED
    pool = routing.pools[request.pool]
    queue = pool.queues.setdefault(request.service_class, ClassQueue())
    if request.owner not in queue.owners:
        queue.owners[request.owner] = deque()
        queue.turns.append(request.owner)
    queue.owners[request.owner].append(request_id)
    _count(routing, request, 1)
    heapq.heappush(routing.deadlines, (request.deadline_at_ms, request_id))


def forget(routing: RoutingState, request: ActiveRequest) -> None:
    """Stop counting a request that waits no longer; its id is passed over when its turn comes."""
    _count(routing, request, -1)


def _count(routing: RoutingState, request: ActiveRequest, change: int) -> None:
    pool = routing.pools[request.pool]
    pool.waiting += change
    pool.queues[request.service_class].waiting += change
    routing.waiting[request.service] = routing.waiting.get(request.service, 0) + change


def next_class(pool: PoolView) -> ServiceClass | None:
    """Return the class whose turn it is: the most urgent, but none is passed over for ever.

    Failure: urgent requests come without end. Symptom: the rest, say a batch upload, waits until
    its deadline every time. Enough because a waiting class is served at the latest after
    `MAX_PASSED_OVER` others.
    """
    waiting = [name for name in CLASS_ORDER if name in pool.queues and pool.queues[name].waiting]
    if not waiting:
        return None
    starved = [name for name in waiting if pool.queues[name].passed_over >= MAX_PASSED_OVER]
    return starved[0] if starved else waiting[0]


def peek(routing: RoutingState, pool: PoolView, service_class: ServiceClass) -> str:
    """Return the request of a class whose turn it is; the class must have one waiting."""
    queue = pool.queues[service_class]
    while True:
        owner = queue.turns[0]
        ids = queue.owners[owner]
        while ids and not _waits(routing, ids[0]):
            ids.popleft()
        if ids:
            return ids[0]
        queue.turns.popleft()
        del queue.owners[owner]


def take(routing: RoutingState, pool: PoolView, service_class: ServiceClass) -> str:
    """Take the request of a class whose turn it is; its owner's next turn comes last."""
    request_id = peek(routing, pool, service_class)
    queue = pool.queues[service_class]
    queue.owners[queue.turns[0]].popleft()
    queue.turns.rotate(-1)
    queue.passed_over = 0
    for name, other in pool.queues.items():
        if name is not service_class and other.waiting:
            other.passed_over += 1
    _count(routing, routing.requests[request_id], -1)
    return request_id


def overdue(routing: RoutingState, now_ms: int) -> Iterator[str]:
    """Yield the waiting requests whose deadline has come."""
    while routing.deadlines and routing.deadlines[0][0] <= now_ms:
        _, request_id = heapq.heappop(routing.deadlines)
        if _waits(routing, request_id):
            yield request_id


def _waits(routing: RoutingState, request_id: str) -> bool:
    request = routing.requests.get(request_id)
    return request is not None and request.phase is RequestPhase.QUEUED
