"""Reducers that decide which entry instance may run a keyed request, and its outcome."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from heatherkeel.core.models import Accepted, RecordMeta, Rejected, RejectReason
from heatherkeel.core.registry import handles
from heatherkeel.core.state import FleetState

from .const import (
    CLAIM_PURGE_INTERVAL_MS,
    KEY_RETENTION_MS,
    MAX_CLAIMS,
    MAX_KEPT_TOTAL_CHARS,
)
from .models import (
    Claim,
    ClaimChanged,
    ClaimOutcome,
    ClaimsState,
    ClaimStatus,
    KeyClaim,
    RecordedAnswer,
    claim_name,
)


@handles("requests.claim", KeyClaim)
def claim(state: FleetState, meta: RecordMeta, body: KeyClaim) -> Result[Accepted, Rejected]:
    """Grant a key to the first claimant with a routing lease; after *not run* it is free again."""
    _purge(state.claims, meta.now_ms)
    name = claim_name(body.service, body.key)
    existing = find_claim(state, body.service, body.key)
    refusal = _check_claim(state, meta, body, existing)
    if refusal is not None:
        return Err(refusal)
    state.claims.claims[name] = Claim(
        claim=meta.id,
        fingerprint=body.fingerprint,
        instance=body.instance,
        incarnation=body.incarnation,
        changed_ms=meta.now_ms,
        offset=meta.offset,
        attempt=1 if existing is None else existing.attempt + 1,
        not_run_attempts=0 if existing is None else existing.not_run_attempts,
    )
    return Ok(_accept(meta, body.service, body.key, state.claims.claims[name]))


def _check_claim(
    state: FleetState, meta: RecordMeta, body: KeyClaim, existing: Claim | None
) -> Rejected | None:
    """Reject a claim on a key that may already have run, or by a claimant that can't route.

    Prevents a second run when the caller repeats a request through another entry instance, or
    when a paused process resumes with an old claim: all claims of a key are decided here in log
    order, and only the accepted one is sent.
    """
    if existing is not None and existing.fingerprint != body.fingerprint:
        return Rejected(
            reason=RejectReason.CONFLICT, detail="key was already used for a different request"
        )
    if existing is not None and existing.status is not ClaimStatus.NOT_RUN:
        return Rejected(reason=RejectReason.ALREADY_EXISTS, detail=existing.status)
    entry = state.membership.entries.get(body.instance)
    if entry is None or entry.incarnation != body.incarnation:
        return Rejected(reason=RejectReason.NOT_FOUND, detail=body.instance)
    if entry.lease_until_ms < meta.now_ms:
        return Rejected(reason=RejectReason.WRONG_STATE, detail="routing lease expired")
    if existing is None and len(state.claims.claims) >= MAX_CLAIMS:
        return Rejected(reason=RejectReason.QUOTA, detail=f"limit of {MAX_CLAIMS} keys reached")
    return None


@handles("requests.outcome", ClaimOutcome)
def record_outcome(
    state: FleetState, meta: RecordMeta, body: ClaimOutcome
) -> Result[Accepted, Rejected]:
    """Record how a claimed request ended; only the first outcome of a claim is accepted."""
    existing = find_claim(state, body.service, body.key)
    if existing is None or existing.claim != body.claim:
        return Err(Rejected(reason=RejectReason.NOT_FOUND, detail=body.claim))
    if existing.status is not ClaimStatus.CLAIMED or body.status is ClaimStatus.CLAIMED:
        return Err(Rejected(reason=RejectReason.WRONG_STATE, detail=existing.status))
    if (body.answer is not None) != (body.status is ClaimStatus.RAN):
        return Err(
            Rejected(
                reason=RejectReason.MALFORMED,
                detail="an answer is required for ran and forbidden otherwise",
            )
        )
    existing.status = body.status
    existing.changed_ms = meta.now_ms
    existing.not_run_attempts += body.status is ClaimStatus.NOT_RUN
    existing.answer = _limit_kept_body(state.claims, body.answer)
    return Ok(_accept(meta, body.service, body.key, existing))


def _limit_kept_body(claims: ClaimsState, answer: RecordedAnswer | None) -> RecordedAnswer | None:
    """Keep an answer's body while the total allows it, and its digest always."""
    if answer is None:
        return None
    if claims.kept_chars + len(answer.body) > MAX_KEPT_TOTAL_CHARS:
        return msgspec.structs.replace(answer, body="")
    claims.kept_chars += len(answer.body)
    return answer


def find_claim(state: FleetState, service: str, key: str) -> Claim | None:
    """Return the claim of a key, unless it is past its retention time."""
    existing = state.claims.claims.get(claim_name(service, key))
    if existing is None or _is_past_retention(existing, state.now_ms):
        return None
    return existing


def can_claimant_answer(state: FleetState, existing: Claim) -> bool:
    """Return whether the claimant may still answer: same incarnation, with a valid lease."""
    entry = state.membership.entries.get(existing.instance)
    if entry is None or entry.incarnation != existing.incarnation:
        return False
    return entry.lease_until_ms >= state.now_ms


def _is_past_retention(existing: Claim, now_ms: int) -> bool:
    return existing.changed_ms + KEY_RETENTION_MS < now_ms


def _purge(claims: ClaimsState, now_ms: int) -> None:
    """Remove keys past their retention time; the interval limits the cost per record.

    It depends on log time only, so a rejected claim also triggers it.
    """
    if now_ms - claims.purged_ms < CLAIM_PURGE_INTERVAL_MS:
        return
    claims.purged_ms = now_ms
    claims.claims = {
        name: existing
        for name, existing in claims.claims.items()
        if not _is_past_retention(existing, now_ms)
    }
    claims.kept_chars = sum(
        len(existing.answer.body)
        for existing in claims.claims.values()
        if existing.answer is not None
    )


def _accept(meta: RecordMeta, service: str, key: str, existing: Claim) -> Accepted:
    changed = ClaimChanged(
        service=service, key=key, claim=existing.claim, status=existing.status, offset=meta.offset
    )
    return Accepted(version=existing.attempt, effects=(changed,))
