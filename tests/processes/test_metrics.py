"""What `/metrics` of real processes shows: peers, targets, and each refusal with its reason."""

from __future__ import annotations

import json
from typing import Any, Final

from prometheus_client.parser import text_string_to_metric_families

from .harness import Fleet, Process, call, wait_for

POOL: Final = {"kind": "pool", "owner": "sheetal", "size": 1}
SERVICE: Final[dict[str, Any]] = {
    "kind": "service",
    "owner": "sheetal",
    "pool": "desk",
    "path_prefix": "/stock",
    "budget": {"min_serving": 0, "reserve": "none"},
}


def metric(entry: Process, name: str, **labels: str) -> float:
    text = call("GET", entry.admin, "/metrics").content.decode()
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == f"heatherkeel_{name}" and sample.labels == labels:
                return sample.value
    raise AssertionError(f"no metric {name} {labels}")


def test_metrics_follow_what_happens(fleet: Fleet) -> None:
    # Two entry instances hear each other. A caller asks for a service that doesn't exist, the
    # target then refuses, and at last it is gone: each shows under its own reason.
    platform = fleet.start_platform()
    target = fleet.start_target("t-a", zone="a", pool="desk")
    entry, other = (fleet.start_entry(name, zone="a") for name in ("e-a", "e-b"))
    assert fleet.put_entry(entry, "desk", POOL).status == 200
    offset = json.loads(fleet.put_entry(entry, "stock", SERVICE).content)["offset"]
    fleet.wait_in_force([entry, other], offset)
    wait_for(lambda: metric(other, "live_peers") == 1, "e-b hears e-a")
    wait_for(lambda: metric(entry, "targets", state="serving") == 1, "t-a serves")
    assert metric(other, "leases") == 2 and metric(other, "offset_in_force") >= offset
    record = json.dumps({"records": ["AAAA"]}).encode()
    call("POST", platform.http, "/streams/fleet/records", body=record)
    wait_for(lambda: metric(entry, "skipped_records_total", reason="malformed"), "it is counted")

    ran = "request_duration_seconds_count"
    wait_for(lambda: call("GET", entry.http, "/stock/1").status == 200, "e-a serves")
    assert metric(entry, ran, outcome="ran") == 1
    assert call("GET", entry.http, "/nothing").status == 404
    long = {"x-long": "x" * 20_000}
    assert call("GET", entry.http, "/stock/1", headers=long).status == 431
    assert call("POST", entry.http, "/stock/1", body=b"x" * 1_000_001).status == 413
    fleet.set_faults("t-a", refuse=True)
    assert call("GET", entry.http, "/stock/1").status == 503
    target.kill()
    assert call("GET", entry.http, "/stock/1").status == 503
    assert metric(entry, ran, outcome="not_run") >= 3
    reasons = ("no_service", "target_refused", "connect_failed")
    for reason in (*reasons, "headers_too_large", "body_too_large"):
        assert metric(entry, "refusals_total", reason=reason) == 1, reason
