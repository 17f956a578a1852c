"""Newcomers that started from a peer: known to that peer, their sponsor, but not to the fold.

The fold waits with the stop of a target for every entry instance that it knows. A newcomer that
started while the platform was down is none of these, yet it sends. Its sponsor is: it
acknowledges a drain only after its newcomers have, and they route only while it answers them.
`docs/design/cut-off.md` has the cases.
"""

from __future__ import annotations

from heatherkeel.catalogue.models import ServiceEntry
from heatherkeel.core.models import Effect
from heatherkeel.core.node import NodeState, listens
from heatherkeel.core.state import FleetState

from .const import LEASE_MARGIN_SHARE, MAX_QUIET_DRAINS, SPONSOR_LEASE_MS
from .events import LeaseGranted, NewcomerStarted, PeerHeard, SponsorAnswered, StartedFromPeer
from .local import SponsoredNewcomer, Sponsorship
from .reducer import find_incarnation


@listens(NewcomerStarted)
def begin_sponsoring(node: NodeState, event: NewcomerStarted) -> list[Effect]:
    """Hold drains back for a newcomer from the moment in which it gets the state."""
    node.local.peers.sponsored[event.incarnation] = SponsoredNewcomer(
        instance=event.instance, acked_ms=event.now_ms
    )
    return []


@listens(PeerHeard)
def hear_newcomer(node: NodeState, event: PeerHeard) -> list[Effect]:
    """Note what a newcomer is quiet about; its heartbeat is about to be answered."""
    newcomer = node.local.peers.sponsored.get(event.heartbeat.incarnation)
    if newcomer is not None:
        newcomer.acked_ms = event.now_ms
        newcomer.quiet_drains = tuple(event.heartbeat.quiet_drains)
    return []


@listens(StartedFromPeer)
def begin_sponsored(node: NodeState, event: StartedFromPeer) -> list[Effect]:
    """Route for as long as the sponsor surely holds drains back."""
    node.local.peers.sponsorship = Sponsorship(
        sponsor=event.sponsor,
        until_ms=event.sent_ms + _own_part_ms(),
        needed_offset=event.needed_offset,
    )
    return []


@listens(SponsorAnswered)
def prolong_sponsorship(node: NodeState, event: SponsorAnswered) -> list[Effect]:
    """Route on: counted from before the heartbeat was sent, as a lease is."""
    sponsorship = node.local.peers.sponsorship
    if sponsorship is not None and sponsorship.sponsor == event.sponsor:
        until_ms = event.sent_ms + _own_part_ms()
        sponsorship.until_ms = max(sponsorship.until_ms, until_ms)
    return []


@listens(LeaseGranted)
def end_sponsorship(node: NodeState, event: LeaseGranted) -> list[Effect]:
    """Leave the sponsor: the fold knows this process now, and waits for it by itself."""
    node.local.peers.sponsorship = None
    return []


def may_route(node: NodeState, now_ms: int) -> bool:
    """Say whether anybody would wait for this process before it stops a target.

    The state that a sponsor gives can be some seconds old. A drain that it acknowledged since
    waits for nobody any more, so nothing is sent before that drain is folded here too.
    """
    sponsorship = node.local.peers.sponsorship
    if sponsorship is None:
        return True
    is_folded = node.fleet.next_offset > sponsorship.needed_offset
    return is_folded and now_ms < sponsorship.until_ms


def are_newcomers_quiet(node: NodeState, drain_id: str, now_ms: int) -> bool:
    """Say whether no newcomer of this process can have a request in progress for a drain.

    If it acknowledged before its newcomers, a target would be stopped under their requests.
    """
    _forget_newcomers(node, now_ms)
    sponsored = node.local.peers.sponsored.values()
    return all(drain_id in newcomer.quiet_drains for newcomer in sponsored)


def quiet_drains(node: NodeState) -> list[str]:
    """Return the drains that were folded here and have nothing of this process in progress."""
    targets = node.local.routing.targets
    quiet = [
        drain.id
        for instance, drain in sorted(node.fleet.waves.drains.items())
        if instance not in targets or targets[instance].in_progress == 0
    ]
    return quiet[:MAX_QUIET_DRAINS]


def _forget_newcomers(node: NodeState, now_ms: int) -> None:
    """Forget those that stopped routing, or that the fold waits for by itself.

    A newcomer that has joined may still have requests in progress that it took before: the
    drains since its start don't wait for it, so it is kept for the longest of them.
    """
    longest_ms = longest_request_ms(node.fleet)
    sponsored = node.local.peers.sponsored
    for incarnation, newcomer in list(sponsored.items()):
        if now_ms > newcomer.acked_ms + SPONSOR_LEASE_MS + longest_ms:
            del sponsored[incarnation]
        elif find_incarnation(node.fleet.membership, incarnation) is not None:
            newcomer.member_since_ms = newcomer.member_since_ms or now_ms
            if now_ms > newcomer.member_since_ms + longest_ms:
                del sponsored[incarnation]


def longest_request_ms(fleet: FleetState) -> int:
    """Return the longest time that any request may be in progress."""
    entries = [stored.entry for stored in fleet.catalogue.entries.values()]
    services = [entry for entry in entries if isinstance(entry, ServiceEntry)]
    return max((service.limits.deadline_ms for service in services), default=0)


def _own_part_ms() -> int:
    return SPONSOR_LEASE_MS - SPONSOR_LEASE_MS // LEASE_MARGIN_SHARE
