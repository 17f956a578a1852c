"""Handles new requests: sends, queues or refuses them."""

from __future__ import annotations

from heatherkeel.core.models import Effect
from heatherkeel.core.node import NodeState, listens

from .claims import answer_repeated_key
from .const import MAX_KEYED_DEADLINE_MS, NO_MEMORY_RETRY_AFTER_MS
from .effects import Queued, Refuse
from .events import CallerGone, InputRefused, RequestArrived
from .local import ActiveRequest, RequestPhase
from .queues import check_queue_capacity, enqueue, remove_waiting, retry_after_ms
from .reasons import Outcome, RefusalReason
from .retries import earn_retry_budget
from .routing import lease_refusal, pick
from .sending import refuse_not_run, start_request
from .targets import find_service


@listens(RequestArrived)
def on_request_arrived(node: NodeState, event: RequestArrived) -> list[Effect]:
    """Send a request at once, queue it for a slot, or refuse it."""
    service = find_service(node.local.routing, event.path)
    if service is None:
        return [refuse_not_run(event.request_id, RefusalReason.NO_SERVICE, 0)]
    request = _make_request(node, event, service)
    answer = _find_immediate_answer(node, event.request_id, request, event.now_ms)
    if answer is not None:
        return [answer]
    earn_retry_budget(node, service)
    node.local.routing.requests[event.request_id] = request
    # A new request must not overtake those that already wait.
    waiting = node.local.routing.pools[request.pool].waiting
    target = None if waiting else pick(node, request, event.now_ms)
    if target is not None:
        return [start_request(node, event.request_id, request, target, event.now_ms)]
    return [_queue_or_refuse(node, event.request_id, request, event.now_ms)]


@listens(InputRefused)
def on_input_refused(node: NodeState, event: InputRefused) -> list[Effect]:
    """Refuse a malformed request, so that it is counted like any other refusal."""
    refusal = Refuse(
        request_id=event.request_id,
        outcome=Outcome.NOT_RUN,
        reason=event.reason,
        detail=event.detail,
        retry_after_ms=NO_MEMORY_RETRY_AFTER_MS if event.reason is RefusalReason.NO_MEMORY else 0,
    )
    return [refusal]


def _make_request(node: NodeState, event: RequestArrived, service: str) -> ActiveRequest:
    entry = node.local.routing.services[service]
    # An idempotent request needs no claim, so its key is ignored.
    key = "" if event.idempotent else event.key
    max_ms = entry.limits.deadline_ms
    if key:
        max_ms = min(max_ms, MAX_KEYED_DEADLINE_MS)
    allowed_ms = min(event.deadline_ms, max_ms) if event.deadline_ms > 0 else max_ms
    return ActiveRequest(
        service=service,
        pool=entry.pool,
        owner=entry.owner,
        service_class=entry.service_class,
        idempotent=event.idempotent,
        key=key,
        fingerprint=event.fingerprint,
        deadline_at_ms=event.now_ms + allowed_ms,
    )


def _find_immediate_answer(
    node: NodeState, request_id: str, request: ActiveRequest, now_ms: int
) -> Effect | None:
    """Return the answer to a request that can't run or whose key was used before, or `None`."""
    if request.key:
        repeat = answer_repeated_key(node, request_id, request)
        if repeat is not None:
            return repeat
    refusal = lease_refusal(node, request, now_ms)
    if refusal is not None:
        return refuse_not_run(request_id, refusal)
    pool = node.local.routing.pools.get(request.pool)
    if pool is None or not any(pool.candidates.values()):
        return refuse_not_run(request_id, RefusalReason.NO_TARGET)
    return None


def _queue_or_refuse(
    node: NodeState, request_id: str, request: ActiveRequest, now_ms: int
) -> Effect:
    routing = node.local.routing
    reason = check_queue_capacity(routing, request, now_ms)
    if reason is not None:
        del routing.requests[request_id]
        return refuse_not_run(request_id, reason, retry_after_ms(routing.pools[request.pool]))
    enqueue(routing, request_id, request)
    return Queued(request_id=request_id)


@listens(CallerGone)
def on_caller_gone(node: NodeState, event: CallerGone) -> list[Effect]:
    """Drop a queued request without a caller; a pending claim is withdrawn when read back."""
    request = node.local.routing.requests.get(event.request_id)
    if request is None:
        return []
    if request.phase is RequestPhase.CLAIMING:
        request.abandoned = True
    if request.phase is not RequestPhase.QUEUED:
        return []
    remove_waiting(node.local.routing, request)
    del node.local.routing.requests[event.request_id]
    return [refuse_not_run(event.request_id, RefusalReason.CALLER_GONE, 0)]
