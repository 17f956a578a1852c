"""Sponsorship of joining instances that started from a peer and aren't known to the fold yet.

Drains don't wait for such an instance. So its sponsor, the peer, acknowledges a drain only after
it, and it routes only while the sponsor answers. The cases are in `docs/design/cut-off.md`.
"""

from __future__ import annotations

from heatherkeel.catalogue.models import ServiceEntry
from heatherkeel.core.models import Effect
from heatherkeel.core.node import NodeState, listens
from heatherkeel.core.state import FleetState

from .const import LEASE_MARGIN_DIVISOR, MAX_QUIESCED_DRAINS, SPONSOR_LEASE_MS
from .events import (
    HeartbeatReceived,
    JoiningInstanceStarted,
    LeaseGranted,
    SponsorAnswered,
    StartedFromPeer,
)
from .local import SponsoredInstance, Sponsorship
from .reducer import find_incarnation


@listens(JoiningInstanceStarted)
def start_sponsoring(node: NodeState, event: JoiningInstanceStarted) -> list[Effect]:
    """Delay drains for a joining instance from the time when it is given the state."""
    node.local.peers.sponsored[event.incarnation] = SponsoredInstance(
        instance=event.instance, acked_ms=event.now_ms
    )
    return []


@listens(HeartbeatReceived)
def update_sponsored(node: NodeState, event: HeartbeatReceived) -> list[Effect]:
    """Record the quiesced drains of a sponsored instance, whose heartbeat is answered next."""
    joining = node.local.peers.sponsored.get(event.heartbeat.incarnation)
    if joining is not None:
        joining.acked_ms = event.now_ms
        joining.quiesced_drains = tuple(event.heartbeat.quiet_drains)
    return []


@listens(StartedFromPeer)
def start_sponsored(node: NodeState, event: StartedFromPeer) -> list[Effect]:
    """Start routing for the time in which the sponsor is guaranteed to delay drains."""
    node.local.peers.sponsorship = Sponsorship(
        sponsor=event.sponsor,
        until_ms=event.sent_ms + _usable_lease_ms(),
        needed_offset=event.needed_offset,
    )
    return []


@listens(SponsorAnswered)
def extend_sponsorship(node: NodeState, event: SponsorAnswered) -> list[Effect]:
    """Extend the sponsorship, counted from the time when the heartbeat was sent."""
    sponsorship = node.local.peers.sponsorship
    if sponsorship is not None and sponsorship.sponsor == event.sponsor:
        until_ms = event.sent_ms + _usable_lease_ms()
        sponsorship.until_ms = max(sponsorship.until_ms, until_ms)
    return []


@listens(LeaseGranted)
def end_sponsorship(node: NodeState, event: LeaseGranted) -> list[Effect]:
    """End the sponsorship: the fold knows this process now, so drains wait for it directly."""
    node.local.peers.sponsorship = None
    return []


def can_route(node: NodeState, now_ms: int) -> bool:
    """Return whether drains wait for this process, directly or through its sponsor.

    The state that a sponsor provides can be some seconds old. A drain that the sponsor has
    acknowledged since doesn't wait, so nothing is sent before that drain is folded here too.
    """
    sponsorship = node.local.peers.sponsorship
    if sponsorship is None:
        return True
    is_folded = node.fleet.next_offset > sponsorship.needed_offset
    return is_folded and now_ms < sponsorship.until_ms


def are_sponsored_instances_quiesced(node: NodeState, drain_id: str, now_ms: int) -> bool:
    """Return whether no sponsored instance can have a request in progress for a drain.

    If the sponsor acknowledged earlier, a target could be stopped with their requests in progress.
    """
    _remove_expired(node, now_ms)
    sponsored = node.local.peers.sponsored.values()
    return all(drain_id in joining.quiesced_drains for joining in sponsored)


def quiesced_drains(node: NodeState) -> list[str]:
    """Return the folded drains for which this process has no request in progress."""
    targets = node.local.routing.targets
    quiesced = [
        drain.id
        for instance, drain in sorted(node.fleet.waves.drains.items())
        if instance not in targets or targets[instance].in_progress == 0
    ]
    return quiesced[:MAX_QUIESCED_DRAINS]


def _remove_expired(node: NodeState, now_ms: int) -> None:
    """Remove instances that stopped routing, or that the fold has known for long enough.

    Drains that were decided before an instance joined don't wait for its earlier requests, so it
    is kept for the longest request after that.
    """
    longest_ms = longest_request_ms(node.fleet)
    sponsored = node.local.peers.sponsored
    for incarnation, joining in list(sponsored.items()):
        if now_ms > joining.acked_ms + SPONSOR_LEASE_MS + longest_ms:
            del sponsored[incarnation]
        elif find_incarnation(node.fleet.membership, incarnation) is not None:
            joining.member_since_ms = joining.member_since_ms or now_ms
            if now_ms > joining.member_since_ms + longest_ms:
                del sponsored[incarnation]


def longest_request_ms(fleet: FleetState) -> int:
    """Return the longest deadline of a request, in milliseconds."""
    entries = [stored.entry for stored in fleet.catalogue.entries.values()]
    services = [entry for entry in entries if isinstance(entry, ServiceEntry)]
    return max((service.limits.deadline_ms for service in services), default=0)


def _usable_lease_ms() -> int:
    return SPONSOR_LEASE_MS - SPONSOR_LEASE_MS // LEASE_MARGIN_DIVISOR
