"""Handles repeated keys and pending claims at one entry instance."""

from __future__ import annotations

from typing import Final

from heatherkeel.core.models import Effect, Rejected, RejectReason, Settled
from heatherkeel.core.node import NodeState, listens

from .const import KEY_IN_PROGRESS_RETRY_AFTER_MS
from .effects import ClaimRead, Refuse, Replay, WriteOutcome
from .events import ClaimDecided, ClaimWriteFailed
from .local import ActiveRequest, RequestPhase
from .models import (
    Claim,
    ClaimChanged,
    ClaimOutcome,
    ClaimStatus,
    RecordedAnswer,
    claimed_request_id,
)
from .reasons import Outcome, RefusalReason
from .reducer import can_claimant_answer, find_claim
from .routing import is_candidate, pick
from .sending import check_still_sendable, free_slot, refuse_not_run, send, take_slot
from .waiting import serve_waiting

REFUSAL_BY_REJECTION: Final = {
    RejectReason.CONFLICT: RefusalReason.KEY_CONFLICT,
    RejectReason.NOT_FOUND: RefusalReason.LEASE_LAPSED,
    RejectReason.WRONG_STATE: RefusalReason.LEASE_LAPSED,
    RejectReason.QUOTA: RefusalReason.TOO_MANY_CLAIMS,
}
"""Refusal reasons sent to the caller for rejected claims, except `ALREADY_EXISTS`."""


def answer_repeated_key(node: NodeState, request_id: str, request: ActiveRequest) -> Effect | None:
    """Return the answer to a request whose key was claimed before, or `None` if it may run."""
    existing = find_claim(node.fleet, request.service, request.key)
    if existing is None:
        return None
    if existing.fingerprint != request.fingerprint:
        return refuse_not_run(request_id, RefusalReason.KEY_CONFLICT, 0)
    if existing.status is ClaimStatus.NOT_RUN:
        return None
    if existing.status is ClaimStatus.RAN and existing.answer is not None:
        return _replay(request_id, existing.answer)
    return _refuse_open_key(node, request_id, existing)


def _replay(request_id: str, answer: RecordedAnswer) -> Effect:
    if answer.body or not answer.body_bytes:
        return Replay(request_id=request_id, answer=answer)
    reason = RefusalReason.KEY_ANSWER_NOT_KEPT
    return Refuse(request_id=request_id, outcome=Outcome.RAN, reason=reason)


def _refuse_open_key(node: NodeState, request_id: str, existing: Claim) -> Refuse:
    """Return *in progress* while the claimant can still answer, and *unknown* after that."""
    if existing.status is ClaimStatus.CLAIMED and can_claimant_answer(node.fleet, existing):
        return Refuse(
            request_id=request_id,
            outcome=Outcome.UNKNOWN,
            reason=RefusalReason.KEY_IN_PROGRESS,
            retry_after_ms=KEY_IN_PROGRESS_RETRY_AFTER_MS,
        )
    reason = RefusalReason.KEY_OUTCOME_UNKNOWN
    return Refuse(request_id=request_id, outcome=Outcome.UNKNOWN, reason=reason)


@listens(Settled)
def on_settled(node: NodeState, effect: Settled) -> list[Effect]:
    """Report how a claim of this entry instance was decided."""
    request_id = node.local.routing.claims.pop(effect.record_id, None)
    if request_id is None:
        return []
    refusal = effect.outcome.reason if isinstance(effect.outcome, Rejected) else None
    return [ClaimRead(request_id=request_id, refusal=refusal)]


@listens(ClaimChanged)
def on_claim_changed(node: NodeState, effect: ClaimChanged) -> list[Effect]:
    """Withdraw a claim of this entry instance that no request waits for.

    If a claim is accepted after its caller got *not run*, a repeated request would get *in
    progress* and then *unknown*, although nothing runs. Recording *not run* frees the key.
    """
    request_id = claimed_request_id(node.local.incarnation, effect.claim)
    if request_id is None or effect.status is not ClaimStatus.CLAIMED:
        return []
    if request_id in node.local.routing.requests:
        return []
    return [_write_outcome(effect.service, effect.key, effect.claim, ClaimStatus.NOT_RUN)]


@listens(ClaimDecided)
def on_claim_decided(node: NodeState, event: ClaimDecided) -> list[Effect]:
    """Send a request whose claim was accepted, if still possible; answer one that was rejected."""
    request = node.local.routing.requests.get(event.request_id)
    if request is None or request.phase is not RequestPhase.CLAIMING:
        return []
    if event.refusal is not None:
        answer = _answer_rejected_claim(node, event.request_id, request, event.refusal)
        return _finish(node, event.request_id, answer, event.now_ms)
    reason = _check_before_send(node, request, event.now_ms)
    if reason is None:
        return [send(node, event.request_id, request, event.now_ms)]
    effects = outcome_effects(request, ClaimStatus.NOT_RUN)
    return effects + _finish(
        node, event.request_id, refuse_not_run(event.request_id, reason), event.now_ms
    )


def _answer_rejected_claim(
    node: NodeState, request_id: str, request: ActiveRequest, refusal: RejectReason
) -> Effect:
    if refusal is RejectReason.ALREADY_EXISTS:
        repeat = answer_repeated_key(node, request_id, request)
        if repeat is not None:
            return repeat
    reason = REFUSAL_BY_REJECTION.get(refusal, RefusalReason.CLAIM_NOT_WRITTEN)
    return refuse_not_run(request_id, reason)


def _check_before_send(
    node: NodeState, request: ActiveRequest, now_ms: int
) -> RefusalReason | None:
    """Return why a claimed request can no longer be sent, or `None`; may change its target."""
    if request.abandoned:
        return RefusalReason.CALLER_GONE
    too_late = check_still_sendable(node, request, now_ms)
    if too_late is not None:
        return too_late
    routing = node.local.routing
    if is_candidate(routing, request.target, routing.targets[request.target]):
        return None
    other = pick(node, request, now_ms)
    if other is None:
        return RefusalReason.NO_TARGET
    free_slot(node, request)
    take_slot(node, request, other)
    return None


@listens(ClaimWriteFailed)
def on_claim_write_failed(node: NodeState, event: ClaimWriteFailed) -> list[Effect]:
    """Refuse a request whose claim could not be written; it was not sent and will not be."""
    request = node.local.routing.requests.get(event.request_id)
    if request is None or request.phase is not RequestPhase.CLAIMING:
        return []
    node.local.routing.claims.pop(request.claim, None)
    answer = refuse_not_run(event.request_id, RefusalReason.CLAIM_NOT_WRITTEN)
    return _finish(node, event.request_id, answer, event.now_ms)


def _finish(node: NodeState, request_id: str, answer: Effect, now_ms: int) -> list[Effect]:
    request = node.local.routing.requests.pop(request_id)
    free_slot(node, request)
    return [answer, *serve_waiting(node, request.pool, request.target, now_ms)]


def outcome_effects(
    request: ActiveRequest, status: ClaimStatus, answer: RecordedAnswer | None = None
) -> list[Effect]:
    """Return the record of how a claimed request ended; empty for a request without a claim."""
    if not request.claim:
        return []
    return [_write_outcome(request.service, request.key, request.claim, status, answer)]


def _write_outcome(
    service: str, key: str, claim: str, status: ClaimStatus, answer: RecordedAnswer | None = None
) -> WriteOutcome:
    body = ClaimOutcome(service=service, key=key, claim=claim, status=status, answer=answer)
    return WriteOutcome(record_id=f"{claim}-outcome", body=body)
