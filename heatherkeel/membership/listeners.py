"""Keeps the lease of this process by its own monotonic clock, and what peers say."""

from __future__ import annotations

from heatherkeel.core.models import Effect
from heatherkeel.core.node import NodeState, listens

from .const import LEASE_MARGIN_SHARE
from .events import ClockGap, LeaseGranted, LeaseRefused, LeaseWanted, PeerHeard
from .local import PeerView


@listens(LeaseGranted)
def hold_lease(node: NodeState, event: LeaseGranted) -> list[Effect]:
    """Count the lease from before its renewal was sent.

    The fold counts it from the record's append, which came later, so this process always ends
    first, whatever the append and its answer took. Counted from the answer, it would send for
    as long as the answer was under way after the others had taken its targets to be free.
    The drain of a target waits for the longest request on top (`waves.acknowledgements`), so a
    request that was sent just before the end is not cut.
    """
    if event.sent_ms < node.local.lease.gap_seen_ms:
        return []
    margin_ms = max(1, event.lease_ms // LEASE_MARGIN_SHARE)
    until_ms = event.sent_ms + event.lease_ms - margin_ms
    node.local.lease.valid_until_ms = max(node.local.lease.valid_until_ms, until_ms)
    return []


@listens(LeaseRefused)
def lose_lease(node: NodeState, event: LeaseRefused) -> list[Effect]:
    """Send nothing across availability zones until this incarnation has joined again."""
    node.local.lease.valid_until_ms = 0
    return []


@listens(ClockGap)
def distrust_lease(node: NodeState, event: ClockGap) -> list[Effect]:
    """Renew before anything is sent: what is known here is as old as the pause.

    The monotonic clock goes on while a process is stopped, so a lease that ran out meanwhile is
    seen without this. A pause within the lease is not: drains and moves were decided that this
    process has not read, and it would send by its old state first. For the same reason the
    answer to a renewal from before the pause counts no more.
    """
    node.local.lease.valid_until_ms = 0
    node.local.lease.gap_seen_ms = event.now_ms
    node.local.lease.gaps += 1
    return [LeaseWanted()]


@listens(PeerHeard)
def note_peer(node: NodeState, event: PeerHeard) -> list[Effect]:
    """Keep what a peer said last."""
    heartbeat = event.heartbeat
    node.local.peers.peers[heartbeat.instance] = PeerView(
        incarnation=heartbeat.incarnation,
        zone=heartbeat.zone,
        address=heartbeat.address,
        heard_ms=event.now_ms,
        offset_in_force=heartbeat.offset_in_force,
        log_age_ms=heartbeat.log_age_ms,
    )
    return []
