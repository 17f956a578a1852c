"""Faults of the users' platform that are switched while its process runs."""

from __future__ import annotations

import json
import time
from typing import Any

import httpcore
import pytest

from .harness import Fleet, call, call_json, wait_for
from .standin_calls import POOL, QUEUE, Platform, start_platform, start_worker

NEWEST = "/heatherkeel/log-newest?topic=keyed.op&part=0"
OWN_TOPIC = "topic=t&part=0"
TIMEOUT_S = 0.4
"""How long a call waits for an answer that never comes, in seconds."""


def record(content: bytes) -> bytes:
    return len(content).to_bytes(4, "big") + content


def append(address: str, content: bytes) -> Any:
    path = f"/heatherkeel/log-append?{OWN_TOPIC}"
    return call("POST", address, path, body=record(content), timeout_s=TIMEOUT_S)


def read(address: str, start: int, topic: str = OWN_TOPIC) -> httpcore.Response:
    path = f"/heatherkeel/log-read?{topic}&from={start}"
    return call("GET", address, path, timeout_s=TIMEOUT_S)


def configure(platform: Platform, version: int) -> None:
    platform.tell("/configure", version=version, routes=[QUEUE], services=[POOL])


def test_a_store_that_refuses_or_is_silent_at_one_of_its_addresses(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    configure(platform, 1)
    platform.tell("/faults", side_refuses=True)
    assert call("GET", platform.side_store, NEWEST).status == 503
    assert call("GET", platform.store, NEWEST).status == 200
    platform.tell("/faults", side_refuses=False, side_silent=True)
    with pytest.raises(httpcore.ReadTimeout):
        call("GET", platform.side_store, NEWEST, timeout_s=TIMEOUT_S)
    assert call("GET", platform.store, NEWEST).status == 200
    platform.tell("/faults", side_silent=False, store_silent=True)
    for address in (platform.store, platform.side_store):
        with pytest.raises(httpcore.ReadTimeout):
            call("GET", address, NEWEST, timeout_s=TIMEOUT_S)
    platform.tell("/faults", store_silent=False)
    assert call("GET", platform.side_store, NEWEST).status == 200


def test_a_store_that_answers_late(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    platform.tell("/faults", store_delay_s=0.1, side_delay_s=0.2)
    assert duration_s(platform.store) >= 0.1
    assert duration_s(platform.side_store) >= 0.3


def duration_s(address: str) -> float:
    began_s = time.monotonic()
    call_json("GET", address, NEWEST)
    return time.monotonic() - began_s


def test_appends_that_are_carried_out_and_not_answered(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    platform.tell("/faults", lose_appends=1, side_lose_appends=1)
    for address, content in ((platform.store, b"first"), (platform.side_store, b"second")):
        with pytest.raises(httpcore.ReadTimeout):
            append(address, content)
    assert append(platform.side_store, b"third").status == 200
    contents = read(platform.store, 0).content[16:]
    assert contents == record(b"first") + record(b"second") + record(b"third")


def test_answers_that_break_off(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    append(platform.store, b"x" * 100)
    platform.tell("/faults", cut_answers=1, side_cut_at_bytes=50)
    for address in (platform.store, platform.side_store, platform.side_store):
        with pytest.raises(httpcore.RemoteProtocolError):
            read(address, 0)
    assert len(read(platform.store, 0).content) == 16 + len(record(b"x" * 100))
    assert read(platform.side_store, 1).status == 200
    assert not platform.process.has_logged("log")


def test_answers_that_hold_little(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    for content in (b"a" * 60, b"b" * 60, b"c" * 10):
        append(platform.store, content)
    configure(platform, 1)
    platform.tell("/wave", wave=1, machines=["m0"], durationS=20, maxCount=1)
    platform.tell("/faults", page_bytes=100)
    assert read(platform.store, 0).content[16:] == record(b"a" * 60)
    assert read(platform.store, 1).content[16:] == record(b"b" * 60) + record(b"c" * 10)
    page = call_json("GET", platform.store, NEWEST)
    assert [item["key"] for item in page["items"]] == ["config"] and page["hasMore"]
    later = call_json("GET", platform.store, f"{NEWEST}&dependsOn=config")
    assert [item["key"] for item in later["items"]] == ["wave/1"] and not later["hasMore"]


def test_a_store_that_forgets_history_keeps_the_newest_of_each_key(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    configure(platform, 1)
    configure(platform, 2)
    start_worker(fleet, platform, "m0")
    wait_for(platform.entries, "the worker's entry is written")
    assert read(platform.store, 0, "topic=keyed.op&part=0").status == 200
    platform.tell("/faults", forget_history=True)
    for topic in ("keyed.op", "keyed.servers"):
        assert read(platform.store, 0, f"topic={topic}&part=0").status == 410
    assert platform.newest("keyed.op")["config"]["version"] == 2
    assert platform.entries()
    configure(platform, 3)
    assert read(platform.store, 2, "topic=keyed.op&part=0").status == 200


def test_entries_that_can_not_be_written_expire(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    start_worker(fleet, platform, "m0")
    wait_for(platform.entries, "the worker's entry is written")
    platform.tell("/faults", entries_silent=True)
    wait_for(lambda: platform.entries() == {}, "the entry expires")
    assert platform.machine("m0")["id"]
    platform.tell("/faults", entries_silent=False)
    wait_for(platform.entries, "the entry is back")


def test_calls_to_the_store_are_counted(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    append(platform.store, b"a")
    read(platform.side_store, 0)
    call_json("GET", platform.store, NEWEST)
    status = call_json("GET", platform.control, "/status")
    assert (status["appends"], status["reads"]) == (1, 2)


@pytest.mark.parametrize(
    "faults",
    [
        {"store_silence": True},
        {"store_silent": "yes"},
        {"cut_answers": 1.5},
        {"cut_answers": -1},
        {"store_delay_s": -0.1},
        {"lose_starts": 1},
        {"forget_history": 1},
        {"down_partitions": [["t"]]},
    ],
)
def test_faults_that_are_not_understood_change_nothing(
    fleet: Fleet, faults: dict[str, Any]
) -> None:
    platform = start_platform(fleet)
    content = json.dumps({"store_refuses": True} | faults).encode()
    status, fault = platform.refusal("/faults", content)
    assert status == 400 and fault
    assert call("GET", platform.store, NEWEST).status == 200
