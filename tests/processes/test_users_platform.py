"""The users' platform as a process: heartbeats, entries, the machines' list and orders."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from .harness import Fleet, call, call_json, wait_for
from .standin_calls import POOL, QUEUE, STANDBY, Platform, start_platform

BORN = 1_700_000_000_000


def beat(platform: Platform, worker: str, machine: str, **changes: Any) -> Any:
    known = {
        "id": worker,
        "machine": machine,
        "address": "127.0.0.1:9",
        "born": BORN,
        "state": "ready",
        "cpu": 4000,
    }
    return platform.tell("/beat", **known | changes)


def ends(platform: Platform, worker: str, machine: str) -> Any:
    """Return what a heartbeat is answered once it ends the life."""
    answer = beat(platform, worker, machine)
    return answer if answer["life"] == "end" else None


def move(platform: Platform, machine: str, pool: str) -> int:
    body = json.dumps({"machine": machine, "pool": pool}).encode()
    return call("POST", platform.cloud, "/heatherkeel/machine-move", body=body).status


def test_a_heartbeat_writes_the_entry_and_names_the_worker(fleet: Fleet) -> None:
    platform = start_platform(fleet, "--entry-ttl-ms=60000")
    platform.add_machine("m0", zone="b", rack="b-r2", kind="k")
    assert platform.machine("m0")["id"] is None
    assert beat(platform, "i-1", "m0", state="draining", remainingMs=700) == {"life": "go on"}
    row = platform.machine("m0")
    assert (row["id"], row["zone"], row["labels"]) == ("i-1", "b", ["k", "b-r2"])
    entry = platform.entries()["i-1"]
    assert (entry["service"], entry["machine"], entry["born"]) == (POOL, "m0", BORN)
    assert (entry["state"], entry["remainingMs"]) == ("draining", 700)
    assert (entry["capacity"]["cpu"], entry["address"]) == (4000, "127.0.0.1:9")
    assert platform.tell("/machine", **row_of("m0", state="down")) == {}
    assert platform.machine("m0")["id"] is None


def row_of(name: str, **changes: Any) -> dict[str, Any]:
    return {"machine": name, "pool": POOL, "zone": "a", "rack": "r1", "state": "up"} | changes


def test_a_silent_worker_loses_its_entry_and_stays_listed(fleet: Fleet) -> None:
    """Guards against a cut-off worker that the stand-in would list as gone."""
    platform = start_platform(fleet, "--entry-ttl-ms=200")
    platform.add_machine("m0")
    beat(platform, "i-1", "m0")
    wait_for(lambda: "i-1" not in platform.entries(), "the entry expires")
    assert (platform.machine("m0")["id"], platform.machine("m0")["state"]) == ("i-1", "up")
    beat(platform, "i-1", "m0")
    assert "i-1" in platform.entries()


def test_a_move_ends_the_life_before_it_is_answered(fleet: Fleet) -> None:
    """Guards against a moved worker that is taken for gone while it still runs tasks."""
    platform = start_platform(fleet, "--entry-ttl-ms=60000", "--away-ms=300")
    platform.add_machine("m0")
    beat(platform, "i-1", "m0")
    with ThreadPoolExecutor() as callers:
        answer = callers.submit(move, platform, "m0", "billing")
        told = wait_for(lambda: ends(platform, "i-1", "m0"), "the worker is told")
        assert (told["pool"], told["awayMs"]) == ("billing", 300)
        assert not answer.done()
        row = platform.machine("m0")
        assert (row["state"], row["pool"], row["id"]) == ("up", POOL, "i-1")
        platform.tell("/end", id="i-1", machine="m0", born=BORN)
        assert answer.result() == 200
    assert "i-1" not in platform.entries()
    row = platform.machine("m0")
    assert (row["state"], row["pool"], row["id"]) == ("moving", "billing", None)
    begin = {"machine": "m0", "pool": POOL}
    wait_for(lambda: platform.tell("/begin", **begin)["life"] == "begin", "the machine is back")
    assert beat(platform, "i-1", "m0")["life"] == "end"
    assert beat(platform, "i-2", "m0", born=BORN + 1)["life"] == "go on"
    assert platform.entries()["i-2"]["service"] == "billing"


def test_a_move_of_an_unheard_worker_does_nothing(fleet: Fleet) -> None:
    """Guards against two workers that run at once because a moved one never heard of it."""
    platform = start_platform(fleet)
    platform.add_machine("m0")
    beat(platform, "i-1", "m0")
    assert move(platform, "m0", "billing") == 503
    assert beat(platform, "i-1", "m0") == {"life": "go on"}
    assert platform.machine("m0")["pool"] == POOL
    platform.add_machine("m0", state="down")
    assert move(platform, "m0", "billing") == 409


def test_a_move_is_done_when_its_machine_has_booted_instead(fleet: Fleet) -> None:
    """Guards against a machine that stays busy because its worker was killed before its move."""
    platform = start_platform(fleet, "--entry-ttl-ms=60000", "--away-ms=0")
    platform.add_machine("m0")
    beat(platform, "i-1", "m0")
    with ThreadPoolExecutor() as callers:
        answer = callers.submit(move, platform, "m0", "billing")
        wait_for(lambda: ends(platform, "i-1", "m0"), "the worker is told")
        platform.tell("/begin", machine="m0", pool=POOL, isBoot=True)
        assert answer.result() == 200
    assert platform.tell("/begin", machine="m0", pool=POOL)["pool"] == "billing"
    assert beat(platform, "i-1", "m0")["life"] == "end"


def test_orders_are_carried_out_once(fleet: Fleet) -> None:
    platform = start_platform(fleet, "--away-ms=0")
    platform.add_machine("m0")
    assert move(platform, "m0", POOL) == 200
    assert platform.machine("m0")["state"] == "up"
    assert move(platform, "m9", POOL) == 400
    platform.add_machine("m0", state="down")
    assert maintain(platform, "m0") == 409
    platform.add_machine("m0")
    assert maintain(platform, "m0") == 200
    assert platform.machine("m0")["state"] == "moving"
    platform.tell("/begin", machine="m0", pool=POOL)
    assert maintain(platform, "m0") == 200
    assert platform.machine("m0")["state"] == "up"


def maintain(platform: Platform, machine: str) -> int:
    body = json.dumps({"machine": machine, "wave": 1}).encode()
    return call("POST", platform.cloud, "/heatherkeel/machine-upkeep", body=body).status


def test_machines_of_the_standby_pool_are_off(fleet: Fleet) -> None:
    platform = start_platform(fleet, "--away-ms=0")
    boot = {"machine": "s0", "pool": STANDBY}
    assert platform.tell("/begin", **boot, isBoot=True) == {"life": "off", "pool": STANDBY}
    assert platform.machine("s0")["state"] == "up"
    assert move(platform, "s0", POOL) == 200
    assert platform.tell("/begin", **boot) == {"life": "begin", "pool": POOL}


def test_configurations_and_waves_are_written_as_by_the_operator(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    services = [POOL, {"name": "off", "standby": True}]
    platform.tell("/configure", version=3, routes=[QUEUE], services=services)
    config = platform.newest("keyed.op")["config"]
    assert (config["version"], config["routes"]) == (3, [QUEUE])
    assert config["services"] == [
        {"name": POOL, "standby": False},
        {"name": "off", "standby": True},
    ]
    platform.tell("/wave", wave=7, machines=["m0"], durationS=20, maxCount=1)
    assert platform.newest("keyed.op")["wave/7"]["maxCount"] == 1
    assert call_json("GET", platform.control, "/wave/7") == {"state": ""}


@pytest.mark.parametrize(
    ("path", "content"),
    [
        ("/machine", b"{"),
        ("/machine", b"\xff"),
        ("/machine", b'{"machine":"m0"}'),
        ("/machine", json.dumps(row_of("m0", state="sideways")).encode()),
        ("/machine", json.dumps(row_of("m0", surplus=1)).encode()),
        ("/beat", b"[]"),
        ("/configure", b'{"version":0,"routes":[],"services":[]}'),
        ("/wave", b'{"wave":1,"machines":["m0"],"durationS":-1,"maxCount":1}'),
    ],
)
def test_what_is_not_understood_is_refused_with_its_fault(
    fleet: Fleet, path: str, content: bytes
) -> None:
    platform = start_platform(fleet)
    status, fault = platform.refusal(path, content)
    assert status == 400 and fault
    assert call_json("GET", platform.control, "/status")["machines"] == []


def test_a_heartbeat_of_an_unknown_machine_is_refused(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    life = {"id": "i-1", "machine": "m9", "address": "127.0.0.1:9", "born": BORN}
    content = json.dumps(life | {"state": "ready", "cpu": 1}).encode()
    assert platform.refusal("/beat", content) == (400, "no such machine: m9")
