"""Maintains the local lease by the monotonic clock, and the last heartbeat of each peer."""

from __future__ import annotations

from heatherkeel.core.models import Effect
from heatherkeel.core.node import NodeState, listens

from .const import LEASE_MARGIN_DIVISOR
from .events import ClockGap, HeartbeatReceived, LeaseGranted, LeaseRefused, LeaseWanted
from .local import PeerView


@listens(LeaseGranted)
def extend_lease(node: NodeState, event: LeaseGranted) -> list[Effect]:
    """Extend the lease, counted from the time when its renewal was sent.

    The fold counts from the later append of the record, so the lease always ends here first.
    Counted from the answer, this process could send to targets that others take to be free. A
    drain also waits for the longest request (`waves.acknowledgements`), so a request that was
    sent just before the end is not cut off.
    """
    if event.sent_ms < node.local.lease.gap_detected_ms:
        return []
    margin_ms = max(1, event.lease_ms // LEASE_MARGIN_DIVISOR)
    until_ms = event.sent_ms + event.lease_ms - margin_ms
    node.local.lease.valid_until_ms = max(node.local.lease.valid_until_ms, until_ms)
    return []


@listens(LeaseRefused)
def revoke_lease(node: NodeState, event: LeaseRefused) -> list[Effect]:
    """Stop sending to other availability zones until this incarnation has joined again."""
    node.local.lease.valid_until_ms = 0
    return []


@listens(ClockGap)
def invalidate_lease(node: NodeState, event: ClockGap) -> list[Effect]:
    """Invalidate the lease after a pause, even if it hasn't expired.

    Drains and moves may have been decided during the pause, and this process would still send
    by its old state. So it needs a renewal that was sent after the pause; answers to earlier
    ones are ignored.
    """
    node.local.lease.valid_until_ms = 0
    node.local.lease.gap_detected_ms = event.now_ms
    node.local.lease.gaps += 1
    return [LeaseWanted()]


@listens(HeartbeatReceived)
def update_peer(node: NodeState, event: HeartbeatReceived) -> list[Effect]:
    """Store the last heartbeat of a peer."""
    heartbeat = event.heartbeat
    node.local.peers.peers[heartbeat.instance] = PeerView(
        incarnation=heartbeat.incarnation,
        zone=heartbeat.zone,
        address=heartbeat.address,
        last_heartbeat_ms=event.now_ms,
        offset_in_force=heartbeat.offset_in_force,
        log_age_ms=heartbeat.log_age_ms,
    )
    return []
