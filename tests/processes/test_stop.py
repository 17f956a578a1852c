"""A planned stop cuts no request, and the balancer learns of it first."""

from __future__ import annotations

import json
import signal
import threading
from functools import partial
from typing import Any, Final

import httpcore
import pytest

from .harness import Fleet, Process, call, wait_for

POOL: Final = {"kind": "pool", "owner": "sheetal", "size": 1}
SERVICE: Final[dict[str, Any]] = {
    "kind": "service",
    "owner": "sheetal",
    "pool": "desk",
    "path_prefix": "/stock",
    "budget": {"min_serving": 0, "reserve": "none"},
    "limits": {"deadline_ms": 60_000},
}
SLOW_MS: Final = 4_000


def readiness(entry: Process) -> tuple[int, list[str]]:
    answer = call("GET", entry.admin, "/readyz")
    return answer.status, json.loads(answer.content)["reasons"]


def metric(entry: Process, name: str) -> float:
    lines = call("GET", entry.admin, "/metrics").content.decode().splitlines()
    return float(next(line for line in lines if line.startswith(name)).split()[-1])


def serving(fleet: Fleet, *, extra: str = "") -> Process:
    """Start one entry instance that serves one target."""
    fleet.start_platform()
    fleet.start_target("t-a", zone="a", pool="desk")
    entry = fleet.start_entry("e-a", zone="a", extra=extra)
    wait_for(lambda: readiness(entry) == (503, ["no_catalogue_entry"]), "e-a has started")
    assert call("GET", entry.admin, "/healthz").status == 200
    assert fleet.put_entry(entry, "desk", POOL).status == 200
    assert fleet.put_entry(entry, "stock", SERVICE).status == 200
    wait_for(lambda: call("GET", entry.http, "/stock/1").status == 200, "e-a serves")
    assert readiness(entry) == (200, [])
    return entry


class SlowCall(threading.Thread):
    """A caller that waits for a slow answer."""

    def __init__(self, *, entry: Process) -> None:
        super().__init__()
        self.entry = entry
        self.answer: httpcore.Response | None = None

    def run(self) -> None:
        self.answer = call("GET", self.entry.http, "/stock/slow", headers={"x-request-id": "slow"})


def refuses_connections(entry: Process) -> bool:
    try:
        call("GET", entry.http, "/stock/1")
    except httpcore.ConnectError:
        return True
    return False


def test_a_request_in_progress_outlives_the_stop(fleet: Fleet) -> None:
    # A caller waits for a slow answer when its entry instance is told to stop. First /readyz
    # says 503, then the port closes to new callers, the slow answer arrives whole, and only
    # then the process ends, with status 0. A stop in another order cuts the caller off. A
    # connection that is only kept open does not hold the stop.
    entry = serving(fleet)
    fleet.set_faults("t-a", work_ms=SLOW_MS)
    caller = SlowCall(entry=entry)
    caller.start()
    idle = httpcore.ConnectionPool()
    assert idle.request("GET", f"http://{entry.http}/nothing").status == 404
    wait_for(lambda: fleet.counts("t-a")["in_progress"] == 1, "the slow request runs")
    entry.popen.send_signal(signal.SIGTERM)
    wait_for(lambda: readiness(entry) == (503, ["stopping"]), "e-a is not ready")
    wait_for(partial(refuses_connections, entry), "the port is closed")
    assert readiness(entry) == (503, ["stopping"])
    assert metric(entry, "heatherkeel_requests_in_progress") == 1
    assert caller.answer is None and entry.popen.poll() is None
    caller.join()
    answer: httpcore.Response | None = caller.answer
    assert answer is not None and answer.status == 200
    assert json.loads(answer.content)["request_id"] == "slow"
    assert entry.popen.wait(timeout=30) == 0
    idle.close()
    events = [event["event"] for event in entry.events()]
    assert events.index("stopping") < events.index("requests_finished")


def test_callers_are_taken_until_the_balancer_has_seen_it(fleet: Fleet) -> None:
    # Between the 503 of /readyz and the balancer's next probe callers still arrive. They must
    # find an open port.
    entry = serving(fleet, extra="\n[stop]\nreadiness_wait_ms = 600000\n")
    entry.popen.send_signal(signal.SIGTERM)
    wait_for(lambda: readiness(entry) == (503, ["stopping"]), "e-a is not ready")
    assert call("GET", entry.http, "/stock/1").status == 200
    assert metric(entry, 'heatherkeel_request_duration_seconds_count{outcome="ran"}') >= 2
    entry.kill()


@pytest.mark.parametrize("stop", [signal.SIGTERM, signal.SIGINT])
def test_a_stop_during_the_start_ends_it_with_status_0(fleet: Fleet, stop: signal.Signals) -> None:
    # The platform is down, so the process can't serve yet, and an operator gives up on it.
    fleet.start_platform()
    fleet.set_faults("platform", down=True)
    settings = fleet.folder / "e-a.toml"
    settings.write_text(fleet.entry_settings("e-a", zone="a"), encoding="utf-8")
    entry = fleet.spawn("e-a", "entry", f"--settings={settings}")
    wait_for(entry.events, "it has logged that the log does not answer")
    entry.popen.send_signal(stop)
    assert entry.popen.wait(timeout=30) == 0
