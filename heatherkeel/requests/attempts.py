"""Handles the end of an attempt: passes on the answer, retries, or refuses the request."""

from __future__ import annotations

from typing import Final

from result import Ok

from heatherkeel.core.models import Effect
from heatherkeel.core.node import NodeState, listens

from .claims import outcome_effects
from .const import LATENCY_WEIGHT
from .effects import AbortAnswer, NotRetried, PassOn, Refuse, Retried
from .events import AttemptEnded, AttemptResult
from .health import record_failure, record_success
from .local import ActiveRequest, RequestPhase
from .models import ClaimStatus
from .queues import retry_after_ms, update_drain_interval
from .reasons import Outcome, RefusalReason
from .retries import NOT_RUN_RESULTS, RETRY_REASONS, decide_retry
from .sending import free_slot, start_retry
from .waiting import serve_waiting

REFUSAL_BY_RESULT: Final = {
    AttemptResult.REFUSED_BEFORE_START: RefusalReason.TARGET_REFUSED,
    AttemptResult.CONNECT_FAILED: RefusalReason.CONNECT_FAILED,
    AttemptResult.BROKEN_AFTER_SEND: RefusalReason.BROKEN_AFTER_SEND,
    AttemptResult.BROKEN_IN_ANSWER: RefusalReason.BROKEN_IN_ANSWER,
    AttemptResult.TIMED_OUT: RefusalReason.TIMED_OUT,
    AttemptResult.CALLER_GONE: RefusalReason.CALLER_GONE,
}


@listens(AttemptEnded)
def on_attempt_ended(node: NodeState, event: AttemptEnded) -> list[Effect]:
    """Answer, retry or refuse the request, and assign the freed slot to a waiting request."""
    request = node.local.routing.requests.get(event.request_id)
    if request is None or request.phase is not RequestPhase.SENT:
        return []
    if request.target != event.target:
        return []
    update_drain_interval(node.local.routing.pools[request.pool], event.now_ms)
    effects = _record_result(node, request, event)
    free_slot(node, request)
    if event.result is AttemptResult.WHOLE_ANSWER:
        effects += _answer(node, request, event)
    else:
        effects += _retry_or_refuse(node, request, event)
    return effects + serve_waiting(node, request.pool, event.target, event.now_ms)


def _record_result(node: NodeState, request: ActiveRequest, event: AttemptEnded) -> list[Effect]:
    if event.result is AttemptResult.CALLER_GONE:
        return []
    if event.result is not AttemptResult.WHOLE_ANSWER or event.server_error:
        return record_failure(node, event.target, now_ms=event.now_ms)
    target = node.local.routing.targets[event.target]
    record_success(target, latency_ms=event.latency_ms, now_ms=event.now_ms)
    pool = node.local.routing.pools[request.pool]
    pool.latency_ms += (event.latency_ms - pool.latency_ms) / LATENCY_WEIGHT
    return []


def _answer(node: NodeState, request: ActiveRequest, event: AttemptEnded) -> list[Effect]:
    del node.local.routing.requests[event.request_id]
    status = ClaimStatus.RAN if event.answer is not None else ClaimStatus.UNKNOWN
    record = outcome_effects(request, status, event.answer)
    return [PassOn(request_id=event.request_id, target=event.target), *record]


def _retry_or_refuse(node: NodeState, request: ActiveRequest, event: AttemptEnded) -> list[Effect]:
    if event.result not in NOT_RUN_RESULTS:
        request.may_have_run = True
    decision = decide_retry(node, request, event.result, event.now_ms)
    if isinstance(decision, Ok):
        retried = Retried(request_id=event.request_id, reason=RETRY_REASONS[event.result])
        target = decision.ok_value
        return [retried, start_retry(node, event.request_id, request, target, event.now_ms)]
    del node.local.routing.requests[event.request_id]
    not_retried = NotRetried(request_id=event.request_id, reason=decision.err_value)
    status = ClaimStatus.UNKNOWN if request.may_have_run else ClaimStatus.NOT_RUN
    return [
        not_retried,
        _make_final_answer(node, request, event),
        *outcome_effects(request, status),
    ]


def _make_final_answer(node: NodeState, request: ActiveRequest, event: AttemptEnded) -> Effect:
    """Return the final answer; its outcome takes all attempts into account."""
    reason = REFUSAL_BY_RESULT[event.result]
    if event.result is AttemptResult.BROKEN_IN_ANSWER:
        return AbortAnswer(request_id=event.request_id, reason=reason)
    outcome = Outcome.UNKNOWN if request.may_have_run else Outcome.NOT_RUN
    wait_ms = retry_after_ms(node.local.routing.pools[request.pool])
    return Refuse(
        request_id=event.request_id, outcome=outcome, reason=reason, retry_after_ms=wait_ms
    )
