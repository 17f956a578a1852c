"""Takes a request from its arrival to its final answer; every step is one event."""

from __future__ import annotations

from result import Ok

from heatherkeel.core.models import Effect
from heatherkeel.core.node import NodeState, listens

from .const import LATENCY_WEIGHT, UNAVAILABLE_RETRY_AFTER_MS
from .effects import AbortAnswer, NotRetried, PassOn, Queued, Refuse, Retried, Send
from .events import AttemptEnded, AttemptResult, CallerGone, QueueTick, RequestArrived
from .health import end_ejections, note_failure, note_success
from .local import ActiveRequest, PoolView, RequestPhase
from .queues import (
    check_room,
    enqueue,
    forget,
    next_class,
    note_end,
    overdue,
    peek,
    retry_after_ms,
    take,
)
from .reasons import Outcome, RefusalReason
from .retries import (
    NOT_RUN_RESULTS,
    RETRY_REASONS,
    attempt_timeout_ms,
    decide_retry,
    earn,
)
from .routing import fits, pick
from .targets import find_service

REFUSAL_OF_RESULT = {
    AttemptResult.REFUSED_BEFORE_START: RefusalReason.TARGET_REFUSED,
    AttemptResult.CONNECT_FAILED: RefusalReason.CONNECT_FAILED,
    AttemptResult.BROKEN_AFTER_SEND: RefusalReason.BROKEN_AFTER_SEND,
    AttemptResult.BROKEN_IN_ANSWER: RefusalReason.BROKEN_IN_ANSWER,
    AttemptResult.TIMED_OUT: RefusalReason.TIMED_OUT,
    AttemptResult.CALLER_GONE: RefusalReason.CALLER_GONE,
}


@listens(RequestArrived)
def on_request_arrived(node: NodeState, event: RequestArrived) -> list[Effect]:
    """Send a request at once, let it wait for a slot, or refuse it."""
    service = find_service(node.local.routing, event.path)
    if service is None:
        return [_not_run(event.request_id, RefusalReason.NO_SERVICE)]
    request = _make_request(node, event, service)
    if _lease_forbids(node, request, event.now_ms):
        return [_not_run(event.request_id, RefusalReason.LEASE_LAPSED)]
    if not _has_targets(node, request.pool):
        return [_not_run(event.request_id, RefusalReason.NO_TARGET)]
    earn(node, service)
    node.local.routing.requests[event.request_id] = request
    # Nobody overtakes those who wait already.
    waiting = node.local.routing.pools[request.pool].waiting
    target = None if waiting else pick(node, request, event.now_ms)
    if target is not None:
        return [_send(node, event.request_id, request, target, event.now_ms)]
    return _wait(node, event.request_id, request, event.now_ms)


def _make_request(node: NodeState, event: RequestArrived, service: str) -> ActiveRequest:
    entry = node.local.routing.services[service]
    longest_ms = entry.limits.deadline_ms
    given_ms = min(event.deadline_ms, longest_ms) if event.deadline_ms > 0 else longest_ms
    return ActiveRequest(
        service=service,
        pool=entry.pool,
        owner=entry.owner,
        service_class=entry.service_class,
        idempotent=event.idempotent,
        key=event.key,
        fingerprint=event.fingerprint,
        deadline_at_ms=event.now_ms + given_ms,
    )


def _lease_forbids(node: NodeState, request: ActiveRequest, now_ms: int) -> bool:
    """Tell whether a request needs a routing lease that this process no longer has.

    Failure: this process is cut off, and a drain or another entry instance's claim goes on
    without it. Symptom: a non-idempotent request runs on a target that is being stopped, or runs
    twice. Enough because without a lease nothing is sent that may not be sent again.
    """
    return not request.idempotent and now_ms >= node.local.lease.valid_until_ms


def _has_targets(node: NodeState, pool: str) -> bool:
    view = node.local.routing.pools.get(pool)
    return view is not None and any(view.candidates.values())


def _wait(node: NodeState, request_id: str, request: ActiveRequest, now_ms: int) -> list[Effect]:
    routing = node.local.routing
    reason = check_room(routing, request, now_ms)
    if reason is not None:
        del routing.requests[request_id]
        wait_ms = retry_after_ms(routing.pools[request.pool])
        return [_not_run(request_id, reason, wait_ms)]
    enqueue(routing, request_id, request)
    return [Queued(request_id=request_id)]


def _send(
    node: NodeState, request_id: str, request: ActiveRequest, target: str, now_ms: int
) -> Send:
    view = node.local.routing.targets[target]
    timeout_ms = attempt_timeout_ms(node, request, now_ms)
    view.in_progress += 1
    node.local.routing.pools[request.pool].in_progress += 1
    request.phase = RequestPhase.SENT
    request.target = target
    request.tried = (*request.tried, target)
    # A pooled connection may have been lost without a sign. What may not be sent twice, and what
    # has failed once, goes over a new one.
    fresh = not request.idempotent or len(request.tried) > 1
    return Send(
        request_id=request_id,
        target=target,
        address=view.address,
        fresh_connection=fresh,
        timeout_ms=timeout_ms,
        attempt=len(request.tried),
    )


@listens(AttemptEnded)
def on_attempt_ended(node: NodeState, event: AttemptEnded) -> list[Effect]:
    """Answer, try another target, or refuse; then give the freed slot to who waits."""
    request = node.local.routing.requests.get(event.request_id)
    if request is None or request.phase is not RequestPhase.SENT:
        return []
    if request.target != event.target:
        return []
    effects = _free_slot(node, request, event)
    effects += _conclude(node, request, event)
    return effects + _serve_waiting(node, request.pool, event.target, event.now_ms)


def _free_slot(node: NodeState, request: ActiveRequest, event: AttemptEnded) -> list[Effect]:
    routing = node.local.routing
    target = routing.targets[event.target]
    pool = routing.pools[request.pool]
    target.in_progress -= 1
    pool.in_progress -= 1
    note_end(pool, event.now_ms)
    if not target.in_progress and event.target not in node.fleet.pools.instances:
        del routing.targets[event.target]
        return []
    return _note_health(node, pool, event)


def _note_health(node: NodeState, pool: PoolView, event: AttemptEnded) -> list[Effect]:
    if event.result is AttemptResult.CALLER_GONE:
        return []
    if event.result is not AttemptResult.WHOLE_ANSWER or event.server_error:
        return note_failure(node, event.target, now_ms=event.now_ms)
    target = node.local.routing.targets[event.target]
    note_success(target, latency_ms=event.latency_ms, now_ms=event.now_ms)
    pool.latency_ms += (event.latency_ms - pool.latency_ms) / LATENCY_WEIGHT
    return []


def _conclude(node: NodeState, request: ActiveRequest, event: AttemptEnded) -> list[Effect]:
    routing = node.local.routing
    if event.result is AttemptResult.WHOLE_ANSWER:
        del routing.requests[event.request_id]
        return [PassOn(request_id=event.request_id, target=event.target)]
    if event.result not in NOT_RUN_RESULTS:
        request.may_have_run = True
    decision = decide_retry(node, request, event.result, event.now_ms)
    if isinstance(decision, Ok):
        retried = Retried(request_id=event.request_id, reason=RETRY_REASONS[event.result])
        return [
            retried,
            _send(node, event.request_id, request, decision.ok_value, event.now_ms),
        ]
    del routing.requests[event.request_id]
    not_retried = NotRetried(request_id=event.request_id, reason=decision.err_value)
    return [not_retried, _give_up(node, request, event)]


def _give_up(node: NodeState, request: ActiveRequest, event: AttemptEnded) -> Effect:
    """Return the final answer, at once, by what is known of all attempts."""
    reason = REFUSAL_OF_RESULT[event.result]
    if event.result is AttemptResult.BROKEN_IN_ANSWER:
        return AbortAnswer(request_id=event.request_id, reason=reason)
    outcome = Outcome.UNKNOWN if request.may_have_run else Outcome.NOT_RUN
    wait_ms = retry_after_ms(node.local.routing.pools[request.pool])
    return Refuse(
        request_id=event.request_id, outcome=outcome, reason=reason, retry_after_ms=wait_ms
    )


@listens(CallerGone)
def on_caller_gone(node: NodeState, event: CallerGone) -> list[Effect]:
    """Forget a request that waits for nobody."""
    request = node.local.routing.requests.get(event.request_id)
    if request is None or request.phase is not RequestPhase.QUEUED:
        return []
    forget(node.local.routing, request)
    del node.local.routing.requests[event.request_id]
    return [_not_run(event.request_id, RefusalReason.CALLER_GONE)]


@listens(QueueTick)
def on_queue_tick(node: NodeState, event: QueueTick) -> list[Effect]:
    """End what has waited too long, and use what time has freed."""
    routing = node.local.routing
    effects = end_ejections(routing, event.now_ms)
    for request_id in overdue(routing, event.now_ms):
        effects.append(_end_waiting(node, request_id, RefusalReason.DEADLINE))
    for pool, view in routing.pools.items():
        if view.waiting:
            effects += _serve_waiting(node, pool, None, event.now_ms)
    return effects


def _end_waiting(node: NodeState, request_id: str, reason: RefusalReason) -> Refuse:
    routing = node.local.routing
    request = routing.requests.pop(request_id)
    forget(routing, request)
    return _not_run(request_id, reason, retry_after_ms(routing.pools[request.pool]))


def _serve_waiting(node: NodeState, pool: str, freed: str | None, now_ms: int) -> list[Effect]:
    """Send waiting requests in their order, until one finds no slot."""
    routing = node.local.routing
    view = routing.pools[pool]
    effects: list[Effect] = []
    while (service_class := next_class(view)) is not None:
        request_id = peek(routing, view, service_class)
        request = routing.requests[request_id]
        refusal = _why_too_late(node, request, now_ms)
        if refusal is not None:
            effects.append(_end_waiting(node, request_id, refusal))
            continue
        target = _slot_for(node, request, freed, now_ms)
        if target is None:
            break
        take(routing, view, service_class)
        effects.append(_send(node, request_id, request, target, now_ms))
    return effects


def _why_too_late(node: NodeState, request: ActiveRequest, now_ms: int) -> RefusalReason | None:
    if request.deadline_at_ms <= now_ms:
        return RefusalReason.DEADLINE
    if _lease_forbids(node, request, now_ms):
        return RefusalReason.LEASE_LAPSED
    return None


def _slot_for(
    node: NodeState, request: ActiveRequest, freed: str | None, now_ms: int
) -> str | None:
    """Return the slot that was just freed if it fits: no need to look at all targets then."""
    if freed in node.local.routing.targets and fits(node, request, freed, now_ms):
        return freed
    return pick(node, request, now_ms)


def _not_run(
    request_id: str, reason: RefusalReason, wait_ms: int = UNAVAILABLE_RETRY_AFTER_MS
) -> Refuse:
    return Refuse(
        request_id=request_id,
        outcome=Outcome.NOT_RUN,
        reason=reason,
        retry_after_ms=0 if reason is RefusalReason.NO_SERVICE else wait_ms,
    )
