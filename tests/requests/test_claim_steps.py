"""Tests for the steps between a claim and its outcome, including interruptions."""

from __future__ import annotations

from heatherkeel.core.models import Effect, RecordBody, Rejected, RejectReason, Settled
from heatherkeel.core.node import NodeState, reduce
from heatherkeel.requests.const import KEY_RETENTION_MS
from heatherkeel.requests.effects import (
    ClaimRead,
    Refuse,
    Replay,
    Send,
    WriteClaim,
    WriteOutcome,
)
from heatherkeel.requests.events import (
    AttemptEnded,
    AttemptResult,
    CallerGone,
    ClaimDecided,
    ClaimWriteFailed,
    LeavingSource,
    RequestArrived,
    TargetLeaving,
)
from heatherkeel.requests.models import ClaimOutcome, ClaimStatus, KeyClaim, RecordedAnswer
from heatherkeel.requests.reasons import Outcome, RefusalReason
from heatherkeel.requests.reducer import find_claim

from .fleet import LEASE_MS, Log, catch_up, incarnation_of, make_single_node, only


def ask(node: NodeState, log: Log, request_id: str, fingerprint: str = "f") -> list[Effect]:
    event = RequestArrived(
        now_ms=log.now_ms,
        request_id=request_id,
        path="/stock/order",
        idempotent=False,
        key="k",
        fingerprint=fingerprint,
    )
    return reduce(node, event)


def write(node: NodeState, log: Log, effect: WriteClaim | WriteOutcome) -> list[Effect]:
    log.append(effect.body, author="e1", record_id=effect.record_id)
    return catch_up(node, log)


def decide(node: NodeState, log: Log, effects: list[Effect]) -> list[Effect]:
    read = only(effects, ClaimRead)
    event = ClaimDecided(now_ms=log.now_ms, request_id=read.request_id, refusal=read.refusal)
    return reduce(node, event)


def claimed(node: NodeState, log: Log) -> list[Effect]:
    """Send a keyed request and read its claim back."""
    return write(node, log, only(ask(node, log, "r"), WriteClaim))


def append_rejected(node: NodeState, log: Log, body: RecordBody) -> Rejected:
    """Append a record that must be rejected, and return the rejection."""
    log.append(body, author="e1")
    outcome = only(catch_up(node, log), Settled).outcome
    assert isinstance(outcome, Rejected)
    return outcome


def claim_body(**changed: str) -> KeyClaim:
    body = {
        "service": "stock",
        "key": "k",
        "fingerprint": "f",
        "instance": "e1",
        "incarnation": incarnation_of("e1"),
    }
    return KeyClaim(**(body | changed))


def test_nothing_is_sent_before_the_claim_was_read_back() -> None:
    log, node = make_single_node()
    effects = ask(node, log, "r")
    assert [type(effect) for effect in effects] == [WriteClaim]
    assert only(decide(node, log, write(node, log, only(effects, WriteClaim))), Send)


def test_a_claim_read_back_after_the_lease_expired_is_withdrawn() -> None:
    # The lease expires while the process is paused before the claim is read back. A drain may have
    # continued, so the request must not be sent, and its key must become free.
    log, node = make_single_node()
    effects = claimed(node, log)
    log.now_ms += LEASE_MS
    effects = decide(node, log, effects)
    assert only(effects, Refuse).outcome is Outcome.NOT_RUN
    write(node, log, only(effects, WriteOutcome))
    held = find_claim(node.fleet, "stock", "k")
    assert held is not None and held.status is ClaimStatus.NOT_RUN


def test_a_request_whose_caller_disconnected_before_the_send_is_not_sent() -> None:
    log, node = make_single_node()
    effects = claimed(node, log)
    reduce(node, CallerGone(now_ms=log.now_ms, request_id="r"))
    effects = decide(node, log, effects)
    assert only(effects, Refuse).reason is RefusalReason.CALLER_GONE
    assert only(effects, WriteOutcome).body.status is ClaimStatus.NOT_RUN


def test_a_target_that_starts_leaving_is_replaced_before_the_send() -> None:
    log, node = make_single_node()
    effects = claimed(node, log)
    first = node.local.routing.requests["r"].target
    reduce(node, TargetLeaving(now_ms=log.now_ms, target=first, source=LeavingSource.TARGET))
    assert only(decide(node, log, effects), Send).target != first


def test_a_claim_that_is_appended_too_late_is_withdrawn() -> None:
    # A claim appears in the log after its caller got *not run*. Unless it is withdrawn, a repeated
    # request would be refused as in progress although nothing runs.
    log, node = make_single_node()
    effect = only(ask(node, log, "r"), WriteClaim)
    failed = reduce(node, ClaimWriteFailed(now_ms=log.now_ms, request_id="r"))
    assert only(failed, Refuse).outcome is Outcome.NOT_RUN
    effects = write(node, log, effect)
    assert not any(isinstance(effect, ClaimRead) for effect in effects)
    write(node, log, only(effects, WriteOutcome))
    assert only(ask(node, log, "again"), WriteClaim)


def test_a_key_used_for_another_body_is_refused() -> None:
    log, node = make_single_node()
    claimed(node, log)
    refused = only(ask(node, log, "s", fingerprint="g"), Refuse)
    assert (refused.reason, refused.outcome) == (RefusalReason.KEY_CONFLICT, Outcome.NOT_RUN)
    reason = append_rejected(node, log, claim_body(fingerprint="g")).reason
    assert reason is RejectReason.CONFLICT


def test_only_a_live_claimant_may_claim() -> None:
    log, node = make_single_node()
    assert (
        append_rejected(node, log, claim_body(incarnation="old")).reason is RejectReason.NOT_FOUND
    )
    log.now_ms += LEASE_MS + 1
    assert append_rejected(node, log, claim_body()).reason is RejectReason.WRONG_STATE


def test_an_outcome_is_accepted_once_and_only_for_the_current_claim() -> None:
    # A late outcome for an earlier claim must not be recorded for the current claim of the key.
    log, node = make_single_node()
    claimed(node, log)
    other = ClaimOutcome(service="stock", key="k", claim="old", status=ClaimStatus.NOT_RUN)
    assert append_rejected(node, log, other).reason is RejectReason.NOT_FOUND
    held = find_claim(node.fleet, "stock", "k")
    assert held is not None and held.status is ClaimStatus.CLAIMED
    own = ClaimOutcome(service="stock", key="k", claim=held.claim, status=ClaimStatus.UNKNOWN)
    log.append(own, author="e1")
    catch_up(node, log)
    again = ClaimOutcome(service="stock", key="k", claim=held.claim, status=ClaimStatus.NOT_RUN)
    assert append_rejected(node, log, again).reason is RejectReason.WRONG_STATE


def test_a_recorded_answer_is_replayed_until_the_retention_time_ends() -> None:
    log, node = make_single_node()
    send = only(decide(node, log, claimed(node, log)), Send)
    answer = RecordedAnswer(http_status=201, body="Y2VydA==", body_sha256="d", body_bytes=4)
    ended = AttemptEnded(
        now_ms=log.now_ms,
        request_id="r",
        target=send.target,
        result=AttemptResult.WHOLE_ANSWER,
        latency_ms=9,
        answer=answer,
    )
    write(node, log, only(reduce(node, ended), WriteOutcome))
    assert only(ask(node, log, "s"), Replay).answer == answer
    log.now_ms += KEY_RETENTION_MS + 1
    log.join("e1", "east")
    catch_up(node, log)
    node.local.lease.valid_until_ms = log.now_ms + LEASE_MS
    assert not any(isinstance(effect, Replay) for effect in ask(node, log, "t"))
