"""Takes and frees slots, and creates the effects that start and end a request."""

from __future__ import annotations

from heatherkeel.core.models import Effect
from heatherkeel.core.node import NodeState

from .const import UNAVAILABLE_RETRY_AFTER_MS
from .effects import Refuse, Send, WriteClaim
from .local import ActiveRequest, RequestPhase
from .models import KeyClaim, claim_id
from .reasons import Outcome, RefusalReason
from .retries import attempt_timeout_ms
from .routing import lease_refusal


def start_request(
    node: NodeState, request_id: str, request: ActiveRequest, target: str, now_ms: int
) -> Effect:
    """Take a slot, and send the request or first write its claim if it has a key.

    The slot is taken before the claim, so that a request without a slot appends no record.
    """
    take_slot(node, request, target)
    if not request.key:
        return send(node, request_id, request, now_ms)
    request.phase = RequestPhase.CLAIMING
    request.claim = claim_id(node.local.incarnation, request_id)
    node.local.routing.claims[request.claim] = request_id
    body = KeyClaim(
        service=request.service,
        key=request.key,
        fingerprint=request.fingerprint,
        instance=node.local.instance,
        incarnation=node.local.incarnation,
    )
    return WriteClaim(
        request_id=request_id,
        record_id=request.claim,
        body=body,
        timeout_ms=max(1, request.deadline_at_ms - now_ms),
    )


def start_retry(
    node: NodeState, request_id: str, request: ActiveRequest, target: str, now_ms: int
) -> Send:
    """Take a slot and send the next attempt; an accepted claim stays valid."""
    take_slot(node, request, target)
    return send(node, request_id, request, now_ms)


def send(node: NodeState, request_id: str, request: ActiveRequest, now_ms: int) -> Send:
    """Send a request to the target whose slot it holds."""
    timeout_ms = attempt_timeout_ms(node, request, now_ms)
    request.phase = RequestPhase.SENT
    request.tried = (*request.tried, request.target)
    # A pooled connection may be dead without notice, so non-idempotent requests and retries use a
    # new one.
    needs_fresh_connection = not request.idempotent or len(request.tried) > 1
    return Send(
        request_id=request_id,
        target=request.target,
        address=node.local.routing.targets[request.target].address,
        fresh_connection=needs_fresh_connection,
        timeout_ms=timeout_ms,
        attempt=len(request.tried),
    )


def take_slot(node: NodeState, request: ActiveRequest, target: str) -> None:
    """Take one of this entry instance's slots of a target for a request."""
    request.target = target
    node.local.routing.targets[target].in_progress += 1
    node.local.routing.pools[request.pool].in_progress += 1


def free_slot(node: NodeState, request: ActiveRequest) -> None:
    """Free the slot of a request; drop the target if it was the last one and the fold has none."""
    routing = node.local.routing
    target = routing.targets[request.target]
    target.in_progress -= 1
    pool = routing.pools[request.pool]
    pool.in_progress -= 1
    full = pool.full_zones.get(target.zone)
    if full is not None:
        full.freed[request.target] = None
    if not target.in_progress and request.target not in node.fleet.pools.instances:
        del routing.targets[request.target]


def check_still_sendable(
    node: NodeState, request: ActiveRequest, now_ms: int
) -> RefusalReason | None:
    """Return why a request may no longer be sent, or `None` if it may."""
    if request.deadline_at_ms <= now_ms:
        return RefusalReason.DEADLINE
    return lease_refusal(node, request, now_ms)


def refuse_not_run(
    request_id: str, reason: RefusalReason, wait_ms: int = UNAVAILABLE_RETRY_AFTER_MS
) -> Refuse:
    """Return the final answer to a request that was never sent."""
    return Refuse(
        request_id=request_id, outcome=Outcome.NOT_RUN, reason=reason, retry_after_ms=wait_ms
    )
