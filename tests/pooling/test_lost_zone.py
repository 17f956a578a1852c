"""Tests of a zone that is cut off while a pool's demand is high.

The pool's demand just fits its machines, which are spread over four zones.
"""

from __future__ import annotations

from heatherkeel.pooling.const import REGISTRATION_MS
from heatherkeel.pooling.supply import find_lost_zones

from .fleet import CPU, Fleet

ZONES = ("a", "b", "c", "d")
WANTED = 6 * CPU


def make_fleet(*, desk: int, spare: int, portal: int = 0) -> Fleet:
    """Return a fleet whose machines are spread over the zones."""
    fleet = Fleet(desk=desk, portal=portal, spare=spare)
    fleet.zone_of = {name: ZONES[n % len(ZONES)] for n, name in enumerate(fleet.pool_of)}
    fleet.list_machines()
    return fleet


def cut_off(fleet: Fleet, zone: str) -> None:
    """Make all workers of a zone unresponsive."""
    fleet.unresponsive = {name for name, at in fleet.zone_of.items() if at == zone}


def test_pool_gets_replacements_for_unresponsive_machines() -> None:
    """Guards against counting machines of a cut-off zone, which stay listed as up, as capacity."""
    fleet = make_fleet(desk=8, spare=8)
    fleet.measure(desk=WANTED)
    assert not fleet.plan()
    cut_off(fleet, "b")
    fleet.measure(desk=WANTED)
    assert len(fleet.plan()) == 2


def test_no_machines_are_moved_from_a_zone_that_is_cut_off() -> None:
    """Standby machines of a zone that is cut off would be unreachable after the move."""
    fleet = make_fleet(desk=8, portal=4, spare=8)
    cut_off(fleet, "a")
    fleet.measure(desk=8 * CPU, portal=0)
    moved = fleet.plan()
    assert len(moved) >= 4
    assert {fleet.zone_of[intent.machine] for intent in moved[:4]} <= {"b", "c", "d"}


def test_owner_that_is_cut_off_gets_no_machines() -> None:
    """The pool's owner itself is cut off: more machines would be unresponsive too."""
    fleet = make_fleet(desk=8, spare=8)
    fleet.unresponsive = {f"desk{n}" for n in range(6)}
    fleet.measure(desk=WANTED)
    assert not fleet.plan()


def test_machines_that_respond_again_are_counted_at_once() -> None:
    fleet = make_fleet(desk=8, spare=8)
    cut_off(fleet, "b")
    fleet.measure(desk=WANTED)
    fleet.unresponsive = set()
    fleet.measure(desk=WANTED)
    assert not fleet.plan()


def test_machines_whose_workers_never_register_add_no_capacity() -> None:
    """Guards against a share that gets no machine since lost ones are still listed as up."""
    fleet = make_fleet(desk=8, spare=8)
    fleet.unregistered = {name for name, at in fleet.zone_of.items() if at == "b"}
    fleet.measure(desk=WANTED)
    assert not fleet.plan(), "they may have just started"
    fleet.now_ms += REGISTRATION_MS
    fleet.measure(desk=WANTED)
    assert len(fleet.plan()) == 2


def test_share_whose_machines_are_all_unregistered_gets_others() -> None:
    """Guards against jobs that wait forever in a share that lost all of its machines."""
    fleet = make_fleet(desk=8, spare=8)
    fleet.unregistered = {f"desk{n}" for n in range(8)}
    fleet.measure(desk=CPU)
    fleet.plan()
    fleet.now_ms += REGISTRATION_MS
    fleet.measure(desk=CPU)
    assert len(fleet.plan()) == 2


def test_no_machines_are_moved_from_a_zone_whose_workers_never_register() -> None:
    """Guards against one move after the other of standby machines that never come."""
    fleet = make_fleet(desk=12, spare=8)
    fleet.unregistered = {name for name, at in fleet.zone_of.items() if at == "a"}
    fleet.measure(desk=9 * CPU)
    fleet.plan()
    fleet.now_ms += REGISTRATION_MS
    fleet.measure(desk=9 * CPU)
    moved = fleet.plan()
    assert len(moved) == 2
    assert {fleet.zone_of[intent.machine] for intent in moved} <= {"b", "c", "d"}


def test_workers_that_only_lack_their_entries_count_as_capacity() -> None:
    """Guards against replacing half of a fleet after an outage in which all entries expired."""
    fleet = make_fleet(desk=8, spare=8)
    fleet.unregistered = fleet.unlisted = {f"desk{n}" for n in range(8)}
    fleet.measure(desk=WANTED)
    fleet.plan()
    fleet.now_ms += REGISTRATION_MS
    fleet.measure(desk=WANTED)
    assert not fleet.plan()


def test_worker_that_registers_late_counts_from_then_on() -> None:
    fleet = make_fleet(desk=8, spare=8)
    fleet.unregistered = {"desk0", "desk1"}
    fleet.measure(desk=WANTED)
    fleet.plan()
    fleet.unregistered = set()
    fleet.now_ms += REGISTRATION_MS
    fleet.measure(desk=WANTED)
    assert not fleet.plan()


def test_machines_that_arrive_while_their_share_has_no_owner_are_not_lost() -> None:
    """Guards against a zone that counts as lost since nobody reports the workers that came."""
    fleet = make_fleet(desk=4, portal=4, spare=4)
    fleet.zone_of |= {f"spare{n}": "e" for n in range(4)}
    fleet.measure(desk=CPU, portal=CPU)
    fleet.plan()
    fleet.pool_of |= {f"spare{n}": "desk" for n in range(4)}
    fleet.list_machines()
    for _ in range(2 * REGISTRATION_MS // 100):
        fleet.measure(portal=CPU)
        fleet.plan()
    assert not find_lost_zones(fleet.state)


def test_starved_jobs_get_no_machines_of_a_lost_zone() -> None:
    """Guards against standby machines that never come, for jobs that wait for them."""
    fleet = make_fleet(desk=12, spare=8)
    fleet.unresponsive = {name for name, at in fleet.zone_of.items() if at == "a"}
    fleet.starved["desk"] = 8
    fleet.measure(desk=0)
    moved = fleet.plan()
    assert moved
    assert {fleet.zone_of[intent.machine] for intent in moved} <= {"b", "c", "d"}
