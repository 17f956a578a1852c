"""Whatever goes wrong, each line that a process writes is one JSON object."""

from __future__ import annotations

import json
import socket
from typing import Any

from .harness import Fleet, Process, call, wait_for

FIELDS = {"time", "level", "logger", "message", "event", "instance", "zone"}


def lines_of(process: Process) -> list[dict[str, Any]]:
    return [json.loads(line) for line in process.log.read_text(encoding="utf-8").splitlines()]


def send_raw(address: str, data: bytes) -> None:
    """Send bytes that are no HTTP, and wait until the other end has closed."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(data)
        while connection.recv(4096):
            pass


def test_faults_all_around_leave_json_lines(fleet: Fleet) -> None:
    # A caller sends garbage, a record of the log is garbage, the platform goes away, and the
    # process is told to stop. Collectors read lines; one of another shape would be lost.
    platform = fleet.start_platform()
    entry = fleet.start_entry("e-a", zone="a")
    for address in (entry.http, entry.admin):
        send_raw(address, b"\x16\x03\x01 no HTTP\r\n\r\n")
        call("PUT", address, "/catalogue/x", body=b"\xff\x00")
    record = json.dumps({"records": ["AAAA"]}).encode()
    call("POST", platform.http, "/streams/fleet/records", body=record)
    wait_for(lambda: any(e["event"] == "record_skipped" for e in entry.events()), "it is skipped")
    platform.kill()
    wait_for(lambda: any(e["event"] == "log_read_failed" for e in entry.events()), "it is told")
    entry.close()
    assert entry.popen.returncode == 0
    for line in lines_of(entry):
        assert line.keys() >= FIELDS and (line["instance"], line["zone"]) == ("e-a", "a")


def test_a_request_that_may_have_run_is_named_in_the_logs(fleet: Fleet) -> None:
    # A target breaks off its answer to a certificate request. The caller is told "unknown", and
    # an operator has to find out what became of it: the log names the caller's own request id.
    fleet.start_platform()
    fleet.start_target("t-a", zone="a", pool="desk")
    entry = fleet.start_entry("e-a", zone="a")
    fleet.put_entry(entry, "desk", {"kind": "pool", "owner": "sheetal", "size": 1})
    service = {"kind": "service", "owner": "sheetal", "pool": "desk", "path_prefix": "/names"}
    fleet.put_entry(entry, "names", service | {"budget": {"min_serving": 1}})
    wait_for(lambda: call("GET", entry.http, "/names").status == 200, "it serves")
    before = len(_unknown_ids(entry))
    fleet.set_faults("t-a", half_answer=True)
    call("POST", entry.http, "/names", body=b"x", headers={"x-request-id": "certificate-7"})
    assert _unknown_ids(entry)[before:] == ["certificate-7"]


def _unknown_ids(entry: Process) -> list[str]:
    events = entry.events()
    return [event["request_id"] for event in events if event["event"] == "outcome_unknown"]
