"""Decides whether a failed attempt is retried."""

from __future__ import annotations

from typing import Final

from result import Err, Ok, Result

from heatherkeel.core.node import NodeState

from .const import (
    ATTEMPT_LATENCY_FACTOR,
    MAX_ATTEMPTS,
    RETRY_BUDGET_MAX,
    RETRY_COST,
    RETRY_EARNED_PER_FIRST_ATTEMPT,
)
from .events import AttemptResult
from .local import ActiveRequest, RetryBudget
from .reasons import NoRetryReason, RetryReason
from .routing import lease_refusal, pick

RETRY_REASONS: Final = {
    AttemptResult.REFUSED_BEFORE_START: RetryReason.TARGET_REFUSED,
    AttemptResult.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    AttemptResult.BROKEN_AFTER_SEND: RetryReason.BROKEN_AFTER_SEND,
    AttemptResult.TIMED_OUT: RetryReason.TIMED_OUT,
}
"""Attempt results that allow a retry, with the metric label of each."""

NOT_RUN_RESULTS: Final = frozenset(
    {AttemptResult.REFUSED_BEFORE_START, AttemptResult.CONNECT_FAILED}
)
"""Attempt results that prove that the target did not start the request."""


def get_retry_budget(node: NodeState, service: str) -> RetryBudget:
    """Return the retry budget of a service."""
    return node.local.routing.budgets.setdefault(service, RetryBudget())


def earn_retry_budget(node: NodeState, service: str) -> None:
    """Add the retry budget earned by a first attempt."""
    budget = get_retry_budget(node, service)
    budget.remaining = min(RETRY_BUDGET_MAX, budget.remaining + RETRY_EARNED_PER_FIRST_ATTEMPT)


def decide_retry(
    node: NodeState, request: ActiveRequest, result: AttemptResult, now_ms: int
) -> Result[str, NoRetryReason]:
    """Return the target of the next attempt and charge the budget, or return why there is none.

    The budget bounds the retries to a fraction of the first attempts, so that retries after the
    loss of an availability zone don't overload the remaining targets.
    """
    if result is AttemptResult.CALLER_GONE:
        return Err(NoRetryReason.CALLER_GONE)
    if result not in RETRY_REASONS:
        return Err(NoRetryReason.ANSWER_STARTED)
    # A non-idempotent request could run twice, unless this target did not start it.
    if not request.idempotent and result not in NOT_RUN_RESULTS:
        return Err(NoRetryReason.NOT_IDEMPOTENT)
    if lease_refusal(node, request, now_ms) is not None:
        return Err(NoRetryReason.LEASE_LAPSED)
    if len(request.tried) >= MAX_ATTEMPTS:
        return Err(NoRetryReason.ATTEMPTS_USED)
    if now_ms >= request.deadline_at_ms:
        return Err(NoRetryReason.DEADLINE)
    budget = get_retry_budget(node, request.service)
    if budget.remaining < RETRY_COST:
        return Err(NoRetryReason.BUDGET_EMPTY)
    target = pick(node, request, now_ms)
    if target is None:
        return Err(NoRetryReason.NO_OTHER_TARGET)
    budget.remaining -= RETRY_COST
    return Ok(target)


def attempt_timeout_ms(node: NodeState, request: ActiveRequest, now_ms: int) -> int:
    """Return how long the next attempt may take.

    A connection can become unresponsive. If a retry is possible, the attempt may take half of the
    remaining time or `ATTEMPT_LATENCY_FACTOR` times the average latency, whichever is longer.
    """
    left_ms = max(1, request.deadline_at_ms - now_ms)
    is_last = not request.idempotent or len(request.tried) + 1 >= MAX_ATTEMPTS
    if is_last or get_retry_budget(node, request.service).remaining < RETRY_COST:
        return left_ms
    average_ms = node.local.routing.pools[request.pool].latency_ms
    return min(left_ms, max(left_ms // 2, int(average_ms * ATTEMPT_LATENCY_FACTOR)))
