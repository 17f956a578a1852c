"""Entry processes without the platform: they serve, help each other, and say how old they are."""

from __future__ import annotations

import json
from functools import partial
from typing import Any, Final

from .harness import Fleet, Process, call, call_json, wait_for

POOL: Final = {"kind": "pool", "owner": "sheetal", "size": 1}
SERVICE: Final = {
    "kind": "service",
    "owner": "sheetal",
    "pool": "desk",
    "path_prefix": "/stock",
    "budget": {"min_serving": 1},
}


QUICK: Final = """
            poll_wait_ms = 500
            request_timeout_ms = 500
"""
"""A cut is silence; with these times it is noticed within about a second."""


def seeds(process: Process) -> str:
    return f"""
            [peers]
            seeds = ["{process.peers}"]
    """


def status(entry: Process) -> Any:
    return call_json("GET", entry.admin, "/status")


def serves(entry: Process) -> bool:
    return call("GET", entry.http, "/stock/1").status == 200


def start_service(fleet: Fleet, names: dict[str, str]) -> dict[str, Process]:
    """Start a target and entry instances by availability zone, with one service in force."""
    fleet.start_platform()
    fleet.start_target("t-a", zone="a", pool="desk")
    entries = {
        name: fleet.start_entry(name, zone=zone, platform=QUICK) for name, zone in names.items()
    }
    first = next(iter(entries.values()))
    assert fleet.put_entry(first, "desk", POOL).status == 200
    accepted = fleet.put_entry(first, "stock", SERVICE)
    assert accepted.status == 200, accepted.content
    fleet.wait_in_force(list(entries.values()), json.loads(accepted.content)["offset"])
    for entry in entries.values():
        wait_for(partial(serves, entry), f"{entry.name} serves")
    return entries


def test_while_the_platform_is_down_callers_are_served_and_a_newcomer_starts(
    fleet: Fleet,
) -> None:
    # The platform is down. Callers of idempotent requests notice nothing. An entry instance is
    # lost and a new one takes its place: it can't read the log, takes the state of its peer, and
    # serves. When the platform is back it joins, and edits come into force at it.
    entries = start_service(fleet, {"e-1": "a", "e-2": "a"})
    fleet.set_faults("platform", down=True)
    entries["e-2"].kill()
    assert serves(entries["e-1"])
    newcomer = fleet.start_entry("e-3", zone="a", extra=seeds(entries["e-1"]))
    assert newcomer.has_logged("state_restored")
    assert serves(newcomer) and serves(entries["e-1"])
    refused = fleet.put_entry(newcomer, "other", POOL)
    assert refused.status == 503, refused.content
    fleet.set_faults("platform")
    wait_for(lambda: "e-3" in status(entries["e-1"])["entry_instances"], "the newcomer joins")
    edited = fleet.put_entry(entries["e-1"], "desk", {**POOL, "size": 2}, version=1)
    fleet.wait_in_force([newcomer], json.loads(edited.content)["offset"])


def test_an_entry_that_alone_is_cut_off_gets_edits_through_its_peer(fleet: Fleet) -> None:
    # Something between one entry instance and the platform swallows every call. Its peer in the
    # same availability zone is not cut off; the edit comes into force through it. When the log
    # answers again, the relayed records are found to be the log's.
    entries = start_service(fleet, {"e-1": "a", "e-2": "a"})
    fleet.set_faults("platform", cut_instances=["e-2"])
    wait_for(lambda: status(entries["e-2"])["platform"]["reachable"] is False, "e-2 is cut off")
    edited = fleet.put_entry(entries["e-1"], "desk", {**POOL, "size": 2}, version=1)
    assert edited.status == 200, edited.content
    fleet.wait_in_force([entries["e-2"]], json.loads(edited.content)["offset"])
    assert status(entries["e-2"])["platform"]["reachable"] is False
    fleet.set_faults("platform")
    again = fleet.put_entry(entries["e-1"], "desk", {**POOL, "size": 3}, version=2)
    fleet.wait_in_force([entries["e-2"]], json.loads(again.content)["offset"])
    wait_for(lambda: status(entries["e-2"])["platform"]["reachable"], "e-2 reads the log again")
    digests = {call_json("GET", e.admin, "/status?digest=true")["digest"] for e in entries.values()}
    assert wait_for(lambda: same_digest(list(entries.values())), "both have one state"), digests


def same_digest(entries: list[Process]) -> bool:
    views = [call_json("GET", entry.admin, "/status?digest=true") for entry in entries]
    return len({(view["offset_in_force"], view["digest"]) for view in views}) == 1


def test_a_cut_off_availability_zone_serves_and_says_how_old_it_is(fleet: Fleet) -> None:
    # All entry instances of one availability zone are cut off from the platform. Records are not
    # relayed between availability zones; the zone serves by what it last knew, and an operator
    # sees how old that is. Nothing reverts when it is back.
    entries = start_service(fleet, {"e-b": "b", "e-1": "a", "e-2": "a"})
    fleet.set_faults("platform", cut_zones=["a"])
    cut = [entries["e-1"], entries["e-2"]]
    for entry in cut:
        wait_for(lambda e=entry: status(e)["platform"]["heard_age_ms"] > 3_000, "the age is told")  # type: ignore[misc]
    edited = fleet.put_entry(entries["e-b"], "desk", {**POOL, "size": 2}, version=1)
    offset = json.loads(edited.content)["offset"]
    assert all(serves(entry) for entry in cut)
    assert all(status(entry)["offset_in_force"] < offset for entry in cut)
    fleet.set_faults("platform")
    fleet.wait_in_force(cut, offset)
    wait_for(lambda: all(status(e)["platform"]["heard_age_ms"] < 9_000 for e in cut), "young again")


def test_a_frozen_entry_notices_its_pause_and_renews(fleet: Fleet) -> None:
    # An entry instance is stopped for longer than its routing lease and goes on without knowing
    # it. It finds the gap in its own clock, and renews before it counts its lease again.
    entries = start_service(fleet, {"e-1": "a"})
    frozen = fleet.start_entry("e-2", zone="b", extra=SHORT_LEASE)
    wait_for(lambda: "e-2" in status(entries["e-1"])["entry_instances"], "e-2 joins")
    frozen.freeze()
    wait_for(
        lambda: status(entries["e-1"])["entry_instances"]["e-2"]["lease_lapsed"], "its lease ends"
    )
    frozen.thaw()
    wait_for(lambda: frozen.has_logged("clock_gap"), "the pause is noticed")
    wait_for(
        lambda: not status(entries["e-1"])["entry_instances"]["e-2"]["lease_lapsed"],
        "the lease is renewed",
    )


SHORT_LEASE: Final = """
            [routing]
            lease_ms = 2000
            renew_interval_ms = 500
"""
