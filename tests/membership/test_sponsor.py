"""No target is stopped while a sponsored instance can have requests in progress for it."""

from __future__ import annotations

from heatherkeel.catalogue.models import Budget, RequestLimits, ServiceEntry, StoredEntry
from heatherkeel.core.node import LocalState, NodeState, reduce
from heatherkeel.entry.duties_acknowledge import find_quiesced_drains
from heatherkeel.membership.const import SPONSOR_LEASE_MS
from heatherkeel.membership.events import (
    HeartbeatReceived,
    JoiningInstanceStarted,
    LeaseGranted,
    SponsorAnswered,
    StartedFromPeer,
)
from heatherkeel.membership.messages import Heartbeat
from heatherkeel.membership.models import EntryInstance
from heatherkeel.membership.sponsor import can_route, quiesced_drains
from heatherkeel.requests.local import TargetView
from heatherkeel.waves.models import Drain, Purpose

DEADLINE_MS = 3_000
SERVICE = ServiceEntry(
    owner="o",
    pool="p",
    path_prefix="/",
    budget=Budget(min_serving=0),
    limits=RequestLimits(deadline_ms=DEADLINE_MS),
)


def make_node(name: str) -> NodeState:
    """Return a process that has folded the drain `d-1` of the target `t-1`."""
    node = NodeState(local=LocalState(instance=name, zone="a", incarnation=f"i-{name}"))
    node.fleet.next_offset = 11
    node.fleet.catalogue.entries["s"] = StoredEntry(entry=SERVICE, version=1, offset=0)
    node.fleet.waves.drains["t-1"] = Drain(
        id="d-1",
        purpose=next(iter(Purpose)),
        coordinator="e-1",
        started_ms=0,
        lapse_grace_ms=0,
        waiting={"i-e-1": "e-1"},
    )
    return node


def start_joining(sponsor: NodeState, joining: NodeState, *, needed_offset: int = 10) -> None:
    reduce(sponsor, JoiningInstanceStarted(now_ms=0, instance="e-9", incarnation="i-e-9"))
    started = StartedFromPeer(now_ms=1, sponsor="i-e-1", sent_ms=0, needed_offset=needed_offset)
    reduce(joining, started)


def exchange_heartbeat(sponsor: NodeState, joining: NodeState, *, now_ms: int) -> None:
    heartbeat = Heartbeat(
        instance="e-9",
        incarnation="i-e-9",
        zone="a",
        address="",
        number=1,
        offset_in_force=10,
        log_age_ms=-1,
        quiet_drains=quiesced_drains(joining),
    )
    reduce(sponsor, HeartbeatReceived(now_ms=now_ms, heartbeat=heartbeat))
    reduce(joining, SponsorAnswered(now_ms=now_ms, sponsor="i-e-1", sent_ms=now_ms))


def acknowledges(sponsor: NodeState, now_ms: int) -> bool:
    return bool(find_quiesced_drains(sponsor, now_ms))


def test_a_drain_waits_for_the_requests_of_a_sponsored_instance() -> None:
    # A drain waits only for the sponsor. If the sponsor acknowledged it at once, the target would
    # be stopped with a request of the joining instance in progress.
    sponsor, joining = make_node("e-1"), make_node("e-9")
    assert acknowledges(sponsor, 0)
    start_joining(sponsor, joining)
    view = TargetView(address="", zone="a", pool="p", in_progress=1)
    joining.local.routing.targets["t-1"] = view
    exchange_heartbeat(sponsor, joining, now_ms=100)
    assert not acknowledges(sponsor, 100)
    view.in_progress = 0
    assert not acknowledges(sponsor, 150)
    exchange_heartbeat(sponsor, joining, now_ms=200)
    assert acknowledges(sponsor, 200)


def test_a_drain_waits_for_a_sponsored_instance_that_has_not_folded_it() -> None:
    # It has no request in progress, but may still send, as it doesn't know of the drain.
    sponsor, joining = make_node("e-1"), make_node("e-9")
    joining.fleet.waves.drains.clear()
    start_joining(sponsor, joining)
    exchange_heartbeat(sponsor, joining, now_ms=100)
    assert not acknowledges(sponsor, 100)


def test_a_lost_sponsored_instance_is_kept_until_no_request_can_be_in_progress() -> None:
    # Without a link it routes until its sponsorship ends, and its last request may take the
    # longest deadline after that.
    sponsor, joining = make_node("e-1"), make_node("e-9")
    joining.fleet.waves.drains.clear()
    start_joining(sponsor, joining)
    exchange_heartbeat(sponsor, joining, now_ms=100)
    last_send_ms = next(ms for ms in range(100, 20_000) if not can_route(joining, ms)) - 1
    assert last_send_ms < 100 + SPONSOR_LEASE_MS
    assert not acknowledges(sponsor, last_send_ms + DEADLINE_MS)
    assert acknowledges(sponsor, 101 + SPONSOR_LEASE_MS + DEADLINE_MS)


def test_a_drain_waits_for_earlier_requests_of_an_instance_that_has_joined() -> None:
    # A drain that was decided before the instance joined doesn't wait for it, and an earlier
    # request may still be in progress.
    sponsor, joining = make_node("e-1"), make_node("e-9")
    start_joining(sponsor, joining)
    view = TargetView(address="", zone="a", pool="p", in_progress=1)
    joining.local.routing.targets["t-1"] = view
    sponsor.fleet.membership.entries["e-9"] = EntryInstance(
        instance="e-9",
        incarnation="i-e-9",
        zone="a",
        peer_address="",
        lease_ms=9_000,
        lease_until_ms=9_000,
    )
    reduce(joining, LeaseGranted(now_ms=100, sent_ms=100, lease_ms=9_000))
    exchange_heartbeat(sponsor, joining, now_ms=100)
    assert can_route(joining, 60_000)
    assert not acknowledges(sponsor, 100) and not acknowledges(sponsor, 100 + DEADLINE_MS)
    assert acknowledges(sponsor, 101 + DEADLINE_MS)


def test_a_sponsored_instance_routes_after_it_has_folded_the_needed_offset() -> None:
    # The provided state is some seconds old. Drains that the sponsor has acknowledged since don't
    # wait for the joining instance.
    sponsor, joining = make_node("e-1"), make_node("e-9")
    start_joining(sponsor, joining, needed_offset=11)
    assert not can_route(joining, 100)
    joining.fleet.next_offset = 12
    assert can_route(joining, 100)


def test_only_the_own_sponsor_extends_the_sponsorship() -> None:
    sponsor, joining = make_node("e-1"), make_node("e-9")
    start_joining(sponsor, joining)
    reduce(joining, SponsorAnswered(now_ms=5_000, sponsor="i-other", sent_ms=5_000))
    assert not can_route(joining, SPONSOR_LEASE_MS)
