"""A newcomer that the fold doesn't know is stood in for: no target is stopped under it."""

from __future__ import annotations

from heatherkeel.catalogue.models import Budget, RequestLimits, ServiceEntry, StoredEntry
from heatherkeel.core.node import LocalState, NodeState, reduce
from heatherkeel.entry.duties_acknowledge import find_quiesced_drains
from heatherkeel.membership.const import SPONSOR_LEASE_MS
from heatherkeel.membership.events import (
    LeaseGranted,
    NewcomerStarted,
    PeerHeard,
    SponsorAnswered,
    StartedFromPeer,
)
from heatherkeel.membership.messages import Heartbeat
from heatherkeel.membership.models import EntryInstance
from heatherkeel.membership.sponsor import may_route, quiet_drains
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


def start_newcomer(sponsor: NodeState, newcomer: NodeState, *, needed_offset: int = 10) -> None:
    reduce(sponsor, NewcomerStarted(now_ms=0, instance="e-9", incarnation="i-e-9"))
    started = StartedFromPeer(now_ms=1, sponsor="i-e-1", sent_ms=0, needed_offset=needed_offset)
    reduce(newcomer, started)


def beat(sponsor: NodeState, newcomer: NodeState, *, now_ms: int) -> None:
    heartbeat = Heartbeat(
        instance="e-9",
        incarnation="i-e-9",
        zone="a",
        address="",
        number=1,
        offset_in_force=10,
        log_age_ms=-1,
        quiet_drains=quiet_drains(newcomer),
    )
    reduce(sponsor, PeerHeard(now_ms=now_ms, heartbeat=heartbeat))
    reduce(newcomer, SponsorAnswered(now_ms=now_ms, sponsor="i-e-1", sent_ms=now_ms))


def acknowledges(sponsor: NodeState, now_ms: int) -> bool:
    return bool(find_quiesced_drains(sponsor, now_ms))


def test_a_drain_waits_for_the_requests_of_a_newcomer() -> None:
    # A newcomer sends a request to t-1; then the drain of t-1 is decided, which waits for its
    # sponsor only. If that acknowledged at once, t-1 would be stopped under the request.
    sponsor, newcomer = make_node("e-1"), make_node("e-9")
    assert acknowledges(sponsor, 0)
    start_newcomer(sponsor, newcomer)
    view = TargetView(address="", zone="a", pool="p", in_progress=1)
    newcomer.local.routing.targets["t-1"] = view
    beat(sponsor, newcomer, now_ms=100)
    assert not acknowledges(sponsor, 100)
    view.in_progress = 0
    assert not acknowledges(sponsor, 150)
    beat(sponsor, newcomer, now_ms=200)
    assert acknowledges(sponsor, 200)


def test_a_newcomer_that_has_not_folded_the_drain_holds_it_back() -> None:
    # It has nothing in progress, but it does not know of the drain and may send at any moment.
    sponsor, newcomer = make_node("e-1"), make_node("e-9")
    newcomer.fleet.waves.drains.clear()
    start_newcomer(sponsor, newcomer)
    beat(sponsor, newcomer, now_ms=100)
    assert not acknowledges(sponsor, 100)


def test_a_lost_newcomer_is_forgotten_only_when_nothing_of_it_can_be_in_progress() -> None:
    # The link between both breaks. The newcomer routes until its time is over, and its last
    # request may take the longest deadline on top.
    sponsor, newcomer = make_node("e-1"), make_node("e-9")
    newcomer.fleet.waves.drains.clear()
    start_newcomer(sponsor, newcomer)
    beat(sponsor, newcomer, now_ms=100)
    last_send_ms = next(ms for ms in range(100, 20_000) if not may_route(newcomer, ms)) - 1
    assert last_send_ms < 100 + SPONSOR_LEASE_MS
    assert not acknowledges(sponsor, last_send_ms + DEADLINE_MS)
    assert acknowledges(sponsor, 101 + SPONSOR_LEASE_MS + DEADLINE_MS)


def test_a_newcomer_that_has_joined_is_waited_for_until_its_old_requests_are_over() -> None:
    # The platform is back and the newcomer joins. The drain that was decided before its join
    # does not wait for it, and a request that it sent before may still be in progress.
    sponsor, newcomer = make_node("e-1"), make_node("e-9")
    start_newcomer(sponsor, newcomer)
    view = TargetView(address="", zone="a", pool="p", in_progress=1)
    newcomer.local.routing.targets["t-1"] = view
    sponsor.fleet.membership.entries["e-9"] = EntryInstance(
        instance="e-9",
        incarnation="i-e-9",
        zone="a",
        peer_address="",
        lease_ms=9_000,
        lease_until_ms=9_000,
    )
    reduce(newcomer, LeaseGranted(now_ms=100, sent_ms=100, lease_ms=9_000))
    beat(sponsor, newcomer, now_ms=100)
    assert may_route(newcomer, 60_000)
    assert not acknowledges(sponsor, 100) and not acknowledges(sponsor, 100 + DEADLINE_MS)
    assert acknowledges(sponsor, 101 + DEADLINE_MS)


def test_a_newcomer_folds_what_its_sponsor_had_folded_before_it_routes() -> None:
    # The sponsor gives out a state that it packed some seconds ago. Since then it has folded a
    # drain and acknowledged it: nobody waits for the newcomer there.
    sponsor, newcomer = make_node("e-1"), make_node("e-9")
    start_newcomer(sponsor, newcomer, needed_offset=11)
    assert not may_route(newcomer, 100)
    newcomer.fleet.next_offset = 12
    assert may_route(newcomer, 100)


def test_only_the_own_sponsor_prolongs_the_time() -> None:
    sponsor, newcomer = make_node("e-1"), make_node("e-9")
    start_newcomer(sponsor, newcomer)
    reduce(newcomer, SponsorAnswered(now_ms=5_000, sponsor="i-other", sent_ms=5_000))
    assert not may_route(newcomer, SPONSOR_LEASE_MS)
