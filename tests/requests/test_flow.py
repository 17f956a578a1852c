"""Tests that a request gets exactly one correct final answer, whatever its targets do."""

from __future__ import annotations

import pytest

from heatherkeel.catalogue.models import RequestLimits, ServiceClass
from heatherkeel.core.node import reduce
from heatherkeel.requests.const import MAX_ATTEMPTS, MAX_PASSED_OVER
from heatherkeel.requests.effects import (
    AbortAnswer,
    NotRetried,
    PassOn,
    Queued,
    Refuse,
    Retried,
    Send,
    TargetEjected,
)
from heatherkeel.requests.events import (
    AttemptEnded,
    AttemptResult,
    LeavingSource,
    QueueTick,
    TargetLeaving,
    TargetLive,
)
from heatherkeel.requests.reasons import NoRetryReason, Outcome, RefusalReason

from .fleet import Log, ask, end, make_node, make_single_node, only


def test_an_idempotent_request_is_retried_elsewhere_on_a_new_connection() -> None:
    # The target drops the connection after the request was sent. A second target must answer,
    # over a fresh connection.
    log, node = make_single_node()
    first = only(ask(node, log, "r"), Send)
    effects = end(node, log, "r", AttemptResult.BROKEN_AFTER_SEND)
    second = only(effects, Send)
    assert not first.fresh_connection and second.fresh_connection
    assert second.target != first.target and only(effects, Retried)
    assert only(end(node, log, "r"), PassOn).target == second.target


def test_a_non_idempotent_request_that_broke_is_unknown_at_once() -> None:
    # The connection broke after a certificate request was sent, so it may have run. The caller must
    # get *unknown* at once, without a retry.
    log, node = make_single_node()
    assert only(ask(node, log, "r", idempotent=False), Send).fresh_connection
    effects = end(node, log, "r", AttemptResult.BROKEN_AFTER_SEND)
    assert only(effects, Refuse).outcome is Outcome.UNKNOWN
    assert only(effects, NotRetried).reason is NoRetryReason.NOT_IDEMPOTENT
    assert not any(isinstance(effect, Send) for effect in effects)


@pytest.mark.parametrize(
    "result", [AttemptResult.REFUSED_BEFORE_START, AttemptResult.CONNECT_FAILED]
)
def test_a_request_that_did_not_start_may_be_sent_to_another_target(result: AttemptResult) -> None:
    log, node = make_single_node()
    ask(node, log, "r", idempotent=False)
    assert only(end(node, log, "r", result), Send).fresh_connection


def test_not_run_is_never_reported_after_an_attempt_that_may_have_run() -> None:
    # The last attempt failed to connect, but the first one broke after it was sent and may have
    # run. The outcome must not be *not run*.
    log, node = make_single_node()
    ask(node, log, "r")
    end(node, log, "r", AttemptResult.BROKEN_AFTER_SEND)
    end(node, log, "r", AttemptResult.CONNECT_FAILED)
    effects = end(node, log, "r", AttemptResult.CONNECT_FAILED)
    assert only(effects, Refuse).outcome is Outcome.UNKNOWN
    assert only(effects, NotRetried).reason is NoRetryReason.ATTEMPTS_USED


def test_no_retry_after_part_of_the_answer_was_sent() -> None:
    log, node = make_single_node()
    ask(node, log, "r")
    effects = end(node, log, "r", AttemptResult.BROKEN_IN_ANSWER)
    assert only(effects, AbortAnswer)
    assert only(effects, NotRetried).reason is NoRetryReason.ANSWER_STARTED


def test_a_late_report_of_another_attempt_changes_nothing() -> None:
    # A second report for the first target must not end the attempt that now runs on another one.
    log, node = make_single_node()
    first = only(ask(node, log, "r"), Send)
    end(node, log, "r", AttemptResult.TIMED_OUT)
    late = AttemptEnded(
        now_ms=log.now_ms,
        request_id="r",
        target=first.target,
        result=AttemptResult.WHOLE_ANSWER,
        latency_ms=1,
    )
    assert reduce(node, late) == []
    assert sum(target.in_progress for target in node.local.routing.targets.values()) == 1


def test_retries_stay_within_the_budget_when_everything_fails() -> None:
    # Without a retry budget, the loss of an availability zone would triple the load on the
    # remaining targets.
    log, node = make_single_node(targets=12)
    first_tries = retries = 0
    for number in range(400):
        log.now_ms += 1
        effects = ask(node, log, str(number))
        first_tries += any(isinstance(effect, Send) for effect in effects)
        while str(number) in node.local.routing.requests:
            effects = end(node, log, str(number), AttemptResult.CONNECT_FAILED)
            retries += any(isinstance(effect, Retried) for effect in effects)
    assert first_tries == 400
    assert 0 < retries <= 10 + first_tries * 0.2
    assert retries < first_tries * (MAX_ATTEMPTS - 1)


def test_ejection_leaves_what_the_budget_needs() -> None:
    # Requests fail on every target because a shared dependency is broken. Ejecting all targets
    # would turn errors into an outage.
    log, node = make_single_node(targets=6, min_serving=4)
    ejected = set()
    for number in range(300):
        ask(node, log, str(number))
        while str(number) in node.local.routing.requests:
            effects = end(node, log, str(number), AttemptResult.TIMED_OUT)
            ejected |= {e.target for e in effects if isinstance(e, TargetEjected)}
    assert len(ejected) == 2


def test_a_returning_target_starts_slowly() -> None:
    log, node = make_single_node(targets=6)
    target = node.local.routing.targets["t0"]
    for number in range(40):
        only(ask(node, log, str(number)), Send)
        failed = node.local.routing.requests[str(number)].target == "t0"
        end(node, log, str(number), AttemptResult.CONNECT_FAILED if failed else whole_answer())
        if str(number) in node.local.routing.requests:
            end(node, log, str(number))
    assert target.ejected_until_ms > log.now_ms
    log.now_ms = target.ejected_until_ms
    reduce(node, QueueTick(now_ms=log.now_ms))
    for number in range(100, 130):
        ask(node, log, str(number))
    assert target.in_progress == 1


def whole_answer() -> AttemptResult:
    return AttemptResult.WHOLE_ANSWER


def test_without_a_lease_only_idempotent_requests_go_and_only_nearby() -> None:
    # The lease has expired. Idempotent requests continue within the local zone; others must be
    # refused at once as *not run*, with a retry-after time.
    log, node = make_single_node()
    log.now_ms = node.local.lease.valid_until_ms
    refused = only(ask(node, log, "w", idempotent=False), Refuse)
    assert (refused.outcome, refused.reason) == (Outcome.NOT_RUN, RefusalReason.LEASE_LAPSED)
    assert refused.retry_after_ms > 0
    sent = [ask(node, log, str(number))[0] for number in range(17)]
    zones = [node.local.routing.targets[e.target].zone for e in sent if isinstance(e, Send)]
    assert zones == ["east"] * 16 and isinstance(sent[16], Queued)


def test_the_local_zone_is_preferred_and_the_rest_spills_over() -> None:
    log, node = make_single_node()
    sends = [only(ask(node, log, str(number)), Send) for number in range(20)]
    zones = [node.local.routing.targets[send.target].zone for send in sends]
    assert zones[:16] == ["east"] * 16 and "east" not in zones[16:]


def test_a_leaving_target_gets_no_requests_though_the_list_lags() -> None:
    # The platform's list still shows a target as live that has reported that it is leaving. The
    # outdated list must not return it to service.
    log, node = make_single_node(targets=1)
    reduce(node, TargetLeaving(now_ms=log.now_ms, target="t0", source=LeavingSource.TARGET))
    reduce(node, TargetLive(now_ms=log.now_ms + 1_000, target="t0"))
    assert only(ask(node, log, "r"), Refuse).reason is RefusalReason.NO_TARGET
    reduce(node, TargetLive(now_ms=log.now_ms + 60_000, target="t0"))
    assert only(ask(node, log, "s"), Send).target == "t0"


def test_a_queue_is_bounded_and_refuses_at_once() -> None:
    log, node = make_single_node(targets=1)
    effects = [ask(node, log, str(number))[0] for number in range(8 + 64 + 1)]
    assert [type(effect) for effect in effects] == [Send] * 8 + [Queued] * 64 + [Refuse]
    assert isinstance(effects[-1], Refuse) and effects[-1].retry_after_ms > 0


def test_a_request_that_would_wait_past_its_deadline_is_refused() -> None:
    # A request that can't be served before its deadline would take a slot from one that can.
    log, node = make_single_node(targets=1)
    for number in range(8):
        ask(node, log, f"warm{number}")
        end(node, log, f"warm{number}", latency_ms=4_000)
    for number in range(8):
        ask(node, log, str(number))
    refused = only(ask(node, log, "late", deadline_ms=500), Refuse)
    assert refused.reason is RefusalReason.QUEUE_TOO_SLOW


def test_a_queued_request_is_ended_at_its_deadline() -> None:
    log, node = make_single_node(targets=1)
    for number in range(8):
        ask(node, log, str(number))
    assert only(ask(node, log, "w", deadline_ms=1_000), Queued)
    log.now_ms += 1_000
    refused = only(reduce(node, QueueTick(now_ms=log.now_ms)), Refuse)
    assert (refused.outcome, refused.reason) == (Outcome.NOT_RUN, RefusalReason.DEADLINE)
    assert not node.local.routing.pools["desk"].waiting


def test_urgent_class_goes_first_owners_alternate_and_none_starves() -> None:
    log = Log()
    limits = RequestLimits(slots_per_worker=1)
    log.put_service("route", service_class=ServiceClass.URGENT, limits=limits)
    log.put_service("stock", limits=limits)
    log.put_service("names", owner="agency", limits=limits)
    log.admit(1)
    log.join("e1", "east")
    node = make_node(log)
    ask(node, log, "first", path="/route")
    for number in range(20):
        ask(node, log, f"s{number}", path="/stock")
        ask(node, log, f"r{number}", path="/route")
    for number in range(2):
        ask(node, log, f"n{number}", path="/names")
    running, order = "first", []
    for _ in range(32):
        running = only(end(node, log, running), Send).request_id
        order.append(running[0])
    assert order[:MAX_PASSED_OVER] == ["r"] * MAX_PASSED_OVER
    assert [name for name in order if name != "r"][:4] == ["s", "n", "s", "n"]
