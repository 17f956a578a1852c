"""A zone is cut off in a pool's turn: its machines are listed as up, and no use to anybody.

The load is that of a queue in its turn, which wants what its pool just holds, on machines dealt out
over four zones, as many as a site of nine entry instances has.
"""

from __future__ import annotations

from .fleet import CPU, Fleet

ZONES = ("a", "b", "c", "d")
WANTED = 6 * CPU


def make_fleet(*, desk: int, spare: int, portal: int = 0) -> Fleet:
    """Return a fleet whose machines are dealt out over the zones."""
    fleet = Fleet(desk=desk, portal=portal, spare=spare)
    fleet.zone_of = {name: ZONES[n % len(ZONES)] for n, name in enumerate(fleet.pool_of)}
    fleet.list_machines()
    return fleet


def cut_off(fleet: Fleet, zone: str) -> None:
    """Let no worker of a zone answer."""
    fleet.unheard = {name for name, at in fleet.zone_of.items() if at == zone}


def test_pool_gets_others_for_the_machines_that_do_not_answer() -> None:
    """A cut zone takes two of a pool's eight machines along; their jobs wait for room.

    Both are still listed as up. Counted as room, the pool would get no others until the cut heals.
    """
    fleet = make_fleet(desk=8, spare=8)
    fleet.measure(desk=WANTED)
    assert not fleet.plan()
    cut_off(fleet, "b")
    fleet.measure(desk=WANTED)
    assert len(fleet.plan()) == 2


def test_machines_that_come_are_not_of_the_cut_zone() -> None:
    """The standby machines of the cut zone are off, so nothing says that they can't be reached.

    Sent for, they would come up behind the cut, and the pool would count them as room.
    """
    fleet = make_fleet(desk=8, portal=4, spare=8)
    cut_off(fleet, "a")
    fleet.measure(desk=8 * CPU, portal=0)
    moved = fleet.plan()
    assert len(moved) >= 4
    assert {fleet.zone_of[intent.machine] for intent in moved[:4]} <= {"b", "c", "d"}


def test_owner_that_hears_nobody_gets_no_machines() -> None:
    """The pool's owner is the one that is cut off: more machines wouldn't answer it either."""
    fleet = make_fleet(desk=8, spare=8)
    fleet.unheard = {f"desk{n}" for n in range(6)}
    fleet.measure(desk=WANTED)
    assert not fleet.plan()


def test_machines_that_answer_again_are_counted_at_once() -> None:
    fleet = make_fleet(desk=8, spare=8)
    cut_off(fleet, "b")
    fleet.measure(desk=WANTED)
    fleet.unheard = set()
    fleet.measure(desk=WANTED)
    assert not fleet.plan()
