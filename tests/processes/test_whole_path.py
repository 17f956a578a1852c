"""The whole path in thin form: request, edit, leaving target, all in separate processes."""

from __future__ import annotations

import json
from functools import partial
from typing import Any, Final

from .harness import Fleet, Process, call, wait_for

ZONES: Final = ("a", "b", "c")
POOL: Final = {"kind": "pool", "owner": "sheetal", "size": 3}


def service(*, path_prefix: str) -> dict[str, Any]:
    return {
        "kind": "service",
        "owner": "sheetal",
        "pool": "desk",
        "path_prefix": path_prefix,
        "budget": {"min_serving": 1},
    }


def answers(entry: Process, path: str) -> bool:
    return call("GET", entry.http, path).status == 200


def test_request_edit_and_leaving_target(fleet: Fleet) -> None:
    # A caller asks each of three entry instances and gets its own whole answer. An operator's
    # edit through one of them comes into force at all. A target that the platform lists as
    # leaving then gets no new work, though it would still answer.
    fleet.start_platform()
    targets = {zone: fleet.start_target(f"t-{zone}", zone=zone, pool="desk") for zone in ZONES}
    entries = [fleet.start_entry(f"e-{zone}", zone=zone) for zone in ZONES]
    assert fleet.put_entry(entries[0], "desk", POOL).status == 200
    accepted = fleet.put_entry(entries[0], "stock", service(path_prefix="/stock"))
    assert accepted.status == 200, accepted.content
    fleet.wait_in_force(entries, json.loads(accepted.content)["offset"])
    for entry in entries:
        wait_for(partial(answers, entry, "/stock/1"), f"{entry.name} serves")
        response = call(
            "POST", entry.http, "/stock/7?q=1", body=b"x", headers={"x-request-id": entry.name}
        )
        answer = json.loads(response.content)
        assert answer["request_id"] == entry.name and answer["target"] == "/stock/7?q=1"
        assert (b"heatherkeel-outcome", b"ran") in response.headers

    moved = fleet.put_entry(entries[1], "stock", service(path_prefix="/quotes"), version=1)
    fleet.wait_in_force(entries, json.loads(moved.content)["offset"])
    assert [call("GET", e.http, "/stock/1").status for e in entries] == [404] * 3
    assert [answers(e, "/quotes/1") for e in entries] == [True] * 3

    fleet.list_target(targets["a"], zone="a", pool="desk", state="leaving")
    left = b"t-a"
    wait_for(
        lambda: all(
            (b"heatherkeel-target", left) not in call("GET", e.http, "/quotes/1").headers
            for e in entries
            for _ in range(4)
        ),
        "nobody sends to the leaving target",
    )
    served = fleet.counts("t-a")["served"]
    assert [answers(e, "/quotes/1") for e in entries for _ in range(6)] == [True] * 18
    assert fleet.counts("t-a")["served"] == served
