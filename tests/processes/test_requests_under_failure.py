"""What callers see when connections, targets and entry instances fail, in separate processes."""

from __future__ import annotations

import json
import socket
import time
from functools import partial
from typing import Any

import httpcore

from .harness import Fleet, Process, call, call_json, wait_for

POOL = {"kind": "pool", "owner": "sheetal", "size": 3}
FAST_LEASE = "[routing]\nlease_ms = 2000\nrenew_interval_ms = 500\n"


def start(fleet: Fleet, *, targets: int, entries: int = 1, extra: str = "") -> list[Process]:
    """Start a platform, targets and entry instances, and wait until every entry serves."""
    fleet.start_platform()
    for number in range(targets):
        fleet.start_target(f"t{number}", zone="a", pool="desk")
    started = [fleet.start_entry(f"e{number}", zone="a", extra=extra) for number in range(entries)]
    fleet.put_entry(started[0], "desk", POOL)
    service = {
        "kind": "service",
        "owner": "sheetal",
        "pool": "desk",
        "path_prefix": "/stock",
        "budget": {"min_serving": 1},
        "limits": {"deadline_ms": 3000},
    }
    accepted = fleet.put_entry(started[0], "stock", service)
    fleet.wait_in_force(started, json.loads(accepted.content)["offset"])
    for entry in started:
        wait_for(partial(is_served, entry), f"{entry.name} serves")
    return started


def is_served(entry: Process) -> bool:
    return call("GET", entry.http, "/stock/ready").status == 200


def header(response: httpcore.Response, name: str) -> str:
    return dict(response.headers).get(name.encode(), b"").decode()


def ask(entry: Process, request_id: str, method: str = "GET", **headers: str) -> httpcore.Response:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    named["x-request-id"] = request_id
    return call(method, entry.http, "/stock/order", body=b"b", headers=named)


def runs(fleet: Fleet, request_id: str) -> int:
    targets = [name for name in fleet.processes if name.startswith("t")]
    return sum(fleet.counts(name)["runs"].get(request_id, 0) for name in targets)


def own_answer(response: httpcore.Response, request_id: str) -> bool:
    return bool(json.loads(response.content).get("request_id") == request_id)


def test_a_silent_target_costs_a_retry_not_the_answer(fleet: Fleet) -> None:
    # One of two targets freezes: its connections stay open and go silent. Whoever is sent there
    # waits for half of the deadline and is then answered by the other target. What must not run
    # twice is not sent again: its caller is told "unknown".
    [entry] = start(fleet, targets=2)
    fleet.processes["t0"].freeze()
    answers = [ask(entry, f"r{number}") for number in range(8)]
    assert [answer.status for answer in answers] == [200] * 8
    assert all(own_answer(answer, f"r{number}") for number, answer in enumerate(answers))
    posted = [ask(entry, f"p{number}", "POST") for number in range(2)]
    told = {(answer.status, header(answer, "heatherkeel-outcome")) for answer in posted}
    assert told <= {(200, "ran"), (504, "unknown")}


def test_half_an_answer_is_never_passed_on_as_whole(fleet: Fleet) -> None:
    # A target says that 1000 bytes follow and closes after 4. A GET is asked of another target.
    # A POST has surely been seen by the target, so it is not repeated, and that is said at once.
    [entry] = start(fleet, targets=2)
    fleet.set_faults("t0", half_answer=True)
    answers = [ask(entry, f"r{number}") for number in range(8)]
    assert all(own_answer(answer, f"r{number}") for number, answer in enumerate(answers))
    fleet.set_faults("t1", half_answer=True)
    posted = ask(entry, "p", "POST")
    assert (posted.status, header(posted, "heatherkeel-outcome")) == (502, "unknown")
    assert header(posted, "heatherkeel-reason") == "broken_after_send"
    assert runs(fleet, "p") == 1


def test_an_idle_connection_that_the_target_closed_costs_nothing(fleet: Fleet) -> None:
    # The entry instance holds an idle connection; the target restarts and closes it. The next
    # GET may find it closed when it is sent and is sent again; the next POST never uses it.
    [entry] = start(fleet, targets=1)
    assert ask(entry, "before").status == 200
    reboot = {"boot_id": "2", "away_ms": 1}
    call_json("PUT", fleet.processes["t0"].http, "/standin/reboot", reboot)
    wait_for(partial(is_back, fleet.processes["t0"]), "the target is back")
    assert ask(entry, "p", "POST").status == 200
    assert ask(entry, "r").status == 200
    assert runs(fleet, "p") == 1


def is_back(target: Process) -> bool:
    try:
        return bool(call_json("GET", target.http, "/standin/counts")["boot_id"] == "2")
    except (httpcore.ConnectError, httpcore.NetworkError, httpcore.ProtocolError):
        return False


def test_the_late_answer_to_a_caller_that_hung_up_reaches_nobody(fleet: Fleet) -> None:
    # A caller hangs up while its request is at the target. The connection to the target is closed
    # with it; kept, it would give the late answer to the caller that comes next.
    [entry] = start(fleet, targets=1)
    fleet.set_faults("t0", work_ms=300)
    host, port = entry.http.split(":")
    for number in range(4):
        with socket.create_connection((host, int(port))) as caller:
            lines = f"GET /stock/x HTTP/1.1\r\nhost: x\r\nx-request-id: gone{number}\r\n\r\n"
            caller.sendall(lines.encode())
            wait_for(lambda: fleet.counts("t0")["in_progress"], "the target is at work")
        answer = ask(entry, f"next{number}")
        assert answer.status == 200 and own_answer(answer, f"next{number}")


def test_a_key_runs_once_through_whichever_entry_instance(fleet: Fleet) -> None:
    # A retailer's order is sent twice under one key, through two entry instances. The second
    # caller gets the first one's answer. Another order under the same key is refused.
    first, second = start(fleet, targets=2, entries=2)
    answer = ask(first, "o1", "POST", idempotency_key="k")
    assert (answer.status, header(answer, "heatherkeel-outcome")) == (200, "ran")
    again = wait_for(partial(replayed, second), "the second entry instance knows the outcome")
    assert again.content == answer.content
    assert header(again, "heatherkeel-outcome") == "ran"
    other = call(
        "POST", second.http, "/stock/order", body=b"other", headers={"idempotency-key": "k"}
    )
    assert (other.status, header(other, "heatherkeel-outcome")) == (422, "not_run")
    assert runs(fleet, "o1") + runs(fleet, "o2") == 1
    long = ask(second, "o3", "POST", idempotency_key="k" * 129)
    assert (long.status, header(long, "heatherkeel-reason")) == (400, "bad_header")
    lost = call("POST", second.http, "/nowhere", body=b"x")
    assert (lost.status, header(lost, "heatherkeel-reason")) == (404, "no_service")


def replayed(entry: Process) -> httpcore.Response | None:
    answer = ask(entry, "o2", "POST", idempotency_key="k")
    return answer if header(answer, "heatherkeel-replayed") == "true" else None


def test_a_claimant_that_dies_leaves_unknown_and_no_second_run(fleet: Fleet) -> None:
    # The entry instance is killed after it sent a certificate request. A repeat through another
    # one is told "in progress" while the dead one's lease lasts, and "unknown" after it. It is
    # never run again.
    first, second = start(fleet, targets=1, entries=2, extra=FAST_LEASE)
    fleet.set_faults("t0", silent=True)
    host, port = first.http.split(":")
    with socket.create_connection((host, int(port))) as caller:
        lines = "POST /stock/order HTTP/1.1\r\nhost: x\r\nx-request-id: c\r\n"
        caller.sendall(f"{lines}idempotency-key: k\r\ncontent-length: 1\r\n\r\nb".encode())
        wait_for(lambda: runs(fleet, "c"), "the request runs")
        first.kill()
    fleet.set_faults("t0")
    seen = []

    def is_settled() -> bool:
        answer = ask(second, "c", "POST", idempotency_key="k")
        assert (answer.status, header(answer, "heatherkeel-outcome")) == (409, "unknown")
        seen.append(header(answer, "heatherkeel-reason"))
        return seen[-1] == "key_outcome_unknown"

    wait_for(is_settled, "the repeat is told that the outcome is unknown")
    assert set(seen) <= {"key_in_progress", "key_outcome_unknown"}
    assert runs(fleet, "c") == 1


def test_without_the_platform_reads_go_on_and_writes_are_refused_at_once(fleet: Fleet) -> None:
    # The platform is cut off for longer than the routing lease. A stock check is still answered.
    # An order is refused at once as not run, with when to come back.
    [entry] = start(fleet, targets=1, extra=FAST_LEASE)
    fleet.set_faults("platform", cut_instances=["e0"])
    refused = wait_for(partial(refused_order, entry), "the lease has lapsed")
    assert (refused.status, header(refused, "heatherkeel-outcome")) == (503, "not_run")
    assert int(header(refused, "retry-after")) > 0
    assert ask(entry, "r").status == 200


def refused_order(entry: Process) -> Any:
    answer = ask(entry, str(time.monotonic_ns()), "POST")
    return answer if header(answer, "heatherkeel-reason") == "lease_lapsed" else None
