"""Bounded queues of requests that wait for a slot, by urgency and fair between owners."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Iterator

from heatherkeel.catalogue.models import CLASS_ORDER, ServiceClass

from .const import LATENCY_WEIGHT, MAX_PASSED_OVER, MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS
from .local import ActiveRequest, ClassQueue, PoolView, RequestPhase, RoutingState
from .reasons import RefusalReason


def check_queue_capacity(
    routing: RoutingState, request: ActiveRequest, now_ms: int
) -> RefusalReason | None:
    """Return why a request can't be queued, or `None` if it can.

    Under overload, requests that would miss their deadline must not take slots from those that
    can still be answered: the queue is bounded, and refuses requests that it can't serve in time.
    """
    service = routing.services[request.service]
    if routing.waiting.get(request.service, 0) >= service.limits.max_queued:
        return RefusalReason.QUEUE_FULL
    pool = routing.pools[request.pool]
    wait_ms = (_count_ahead(pool, request.service_class) + 1) * drain_interval_ms(pool)
    if now_ms + wait_ms + pool.latency_ms > request.deadline_at_ms:
        return RefusalReason.QUEUE_TOO_SLOW
    return None


def _count_ahead(pool: PoolView, service_class: ServiceClass) -> int:
    """Return the number of waiting requests of this class and more urgent ones."""
    rank = CLASS_ORDER.index(service_class)
    return sum(
        queue.waiting for name, queue in pool.queues.items() if CLASS_ORDER.index(name) <= rank
    )


def drain_interval_ms(pool: PoolView) -> float:
    """Return the average time between freed slots, estimated from the latency until measured."""
    return pool.drain_interval_ms or pool.latency_ms / max(1, pool.in_progress)


def retry_after_ms(pool: PoolView) -> int:
    """Return the estimated time until all requests that wait now have been served."""
    wait_ms = math.ceil((pool.waiting + 1) * drain_interval_ms(pool))
    return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))


def update_drain_interval(pool: PoolView, now_ms: int) -> None:
    """Update the average drain interval after a slot was freed."""
    waiting = pool.waiting > 0
    if waiting and pool.last_end_ms >= 0:
        interval_ms = now_ms - pool.last_end_ms
        known_ms = pool.drain_interval_ms or interval_ms
        pool.drain_interval_ms = known_ms + (interval_ms - known_ms) / LATENCY_WEIGHT
    pool.last_end_ms = now_ms if waiting else -1


def enqueue(routing: RoutingState, request_id: str, request: ActiveRequest) -> None:
    """Add a request to its queue, after a successful `check_queue_capacity`."""
    request.phase = RequestPhase.QUEUED
    pool = routing.pools[request.pool]
    queue = pool.queues.setdefault(request.service_class, ClassQueue())
    if request.owner not in queue.owners:
        queue.owners[request.owner] = deque()
        queue.rotation.append(request.owner)
    queue.owners[request.owner].append(request_id)
    _change_counts(routing, request, 1)
    heapq.heappush(routing.deadlines, (request.deadline_at_ms, request_id))


def remove_waiting(routing: RoutingState, request: ActiveRequest) -> None:
    """Stop counting a request that no longer waits; `peek` skips its id later."""
    _change_counts(routing, request, -1)


def _change_counts(routing: RoutingState, request: ActiveRequest, change: int) -> None:
    pool = routing.pools[request.pool]
    pool.waiting += change
    pool.queues[request.service_class].waiting += change
    routing.waiting[request.service] = routing.waiting.get(request.service, 0) + change


def next_class(pool: PoolView) -> ServiceClass | None:
    """Return the class to serve next: the most urgent, unless another one is starved.

    Prevents a continuous stream of urgent requests from starving the other classes: a waiting
    class becomes due after it was passed over `MAX_PASSED_OVER` times.
    """
    waiting = [name for name in CLASS_ORDER if name in pool.queues and pool.queues[name].waiting]
    if not waiting:
        return None
    starved = [name for name in waiting if pool.queues[name].passed_over >= MAX_PASSED_OVER]
    return starved[0] if starved else waiting[0]


def peek(routing: RoutingState, pool: PoolView, service_class: ServiceClass) -> str:
    """Return the next request of a class, which must have one waiting."""
    queue = pool.queues[service_class]
    while True:
        owner = queue.rotation[0]
        ids = queue.owners[owner]
        while ids and not _is_waiting(routing, ids[0]):
            ids.popleft()
        if ids:
            return ids[0]
        queue.rotation.popleft()
        del queue.owners[owner]


def dequeue(routing: RoutingState, pool: PoolView, service_class: ServiceClass) -> str:
    """Remove the next request of a class and move its owner to the end of the rotation."""
    request_id = peek(routing, pool, service_class)
    queue = pool.queues[service_class]
    queue.owners[queue.rotation[0]].popleft()
    queue.rotation.rotate(-1)
    queue.passed_over = 0
    for name, other in pool.queues.items():
        if name is not service_class and other.waiting:
            other.passed_over += 1
    _change_counts(routing, routing.requests[request_id], -1)
    return request_id


def pop_overdue(routing: RoutingState, now_ms: int) -> Iterator[str]:
    """Yield the waiting requests whose deadline has passed."""
    while routing.deadlines and routing.deadlines[0][0] <= now_ms:
        _, request_id = heapq.heappop(routing.deadlines)
        if _is_waiting(routing, request_id):
            yield request_id


def _is_waiting(routing: RoutingState, request_id: str) -> bool:
    request = routing.requests.get(request_id)
    return request is not None and request.phase is RequestPhase.QUEUED
