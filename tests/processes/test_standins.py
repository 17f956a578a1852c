"""The stand-ins' own behaviour that other tests rely on: what is cut is counted, once per id."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import Any

import httpcore
import pytest

from .harness import Fleet, Process, call, call_json, wait_for


def operate(platform: Process, operation_id: str, *, boot_id: str = "") -> Any:
    path = f"/instances/t-a/operations/{operation_id}"
    value = {"action": "reboot", "boot_id": boot_id}
    return call_json("PUT", platform.http, path, value, timeout_s=1.0)


def is_done(platform: Process, operation_id: str) -> bool:
    path = f"/instances/t-a/operations/{operation_id}"
    return bool(call_json("GET", platform.http, path)["state"] == "done")


def listed(platform: Process) -> Any:
    return call_json("GET", platform.http, "/instances")["instances"][0]


def test_a_reboot_cuts_what_is_in_progress_once_per_id(fleet: Fleet) -> None:
    # A caller's request is in progress when the platform reboots its target. The caller loses
    # its connection, and the target counts one cut. The operation's answer is lost, so it is
    # asked for again under the same id: that must not reboot the target a second time.
    platform = fleet.start_platform()
    target = fleet.start_target("t-a", zone="a")
    fleet.set_faults("t-a", work_ms=30_000)
    fleet.set_faults("platform", lose_operation_answers=1, reboot_ms=50)
    with ThreadPoolExecutor() as callers:
        answer = callers.submit(call, "GET", target.http, "/x")
        wait_for(lambda: fleet.counts("t-a")["in_progress"], "the request is in progress")
        with pytest.raises(httpcore.ReadTimeout):
            operate(platform, "op-1")
        wait_for(lambda: is_done(platform, "op-1"), "the target is back")
        operate(platform, "op-1")
    assert isinstance(answer.exception(), httpcore.NetworkError | httpcore.RemoteProtocolError)
    counts = fleet.counts("t-a")
    assert (counts["cut"], counts["boot_id"], counts["in_progress"]) == (1, "boot-2", 0)
    assert (listed(platform)["state"], listed(platform)["boot_id"]) == ("live", "boot-2")
    assert fleet.counts("platform")["operations"] == {"t-a": 1}


def test_an_operation_that_is_carried_out_late_ends_no_later_boot(fleet: Fleet) -> None:
    # The platform is slow with a reboot. Meanwhile the target has been rebooted by another
    # operation and serves again. The late one named the earlier boot, so it must not end this.
    platform = fleet.start_platform()
    fleet.start_target("t-a", zone="a")
    fleet.set_faults("platform", operation_delay_ms=500, reboot_ms=50)
    operate(platform, "late", boot_id="1")
    fleet.set_faults("platform", reboot_ms=50)
    operate(platform, "quick", boot_id="1")
    wait_for(lambda: is_done(platform, "quick"), "the target is back")
    path = "/instances/t-a/operations/late"
    wait_for(
        lambda: call_json("GET", platform.http, path)["state"] == "overtaken", "the late one ends"
    )
    assert fleet.counts("t-a")["boot_id"] == "boot-2"


def test_an_instance_that_never_returns_and_one_that_returns_failing(fleet: Fleet) -> None:
    platform = fleet.start_platform()
    target = fleet.start_target("t-a", zone="a")
    fleet.set_faults("platform", return_failing=["t-a"], reboot_ms=50)
    operate(platform, "op-1")
    wait_for(lambda: is_done(platform, "op-1"), "the target is back")
    assert listed(platform)["state"] == "live"
    assert call("GET", target.http, "/healthz").status == 503
    fleet.set_faults("platform", never_return=["t-a"])
    operate(platform, "op-2")
    wait_for(lambda: is_done(platform, "op-2"), "the target is gone")
    assert listed(platform)["state"] == "down"
    with pytest.raises(httpcore.ConnectError):
        call("GET", target.http, "/healthz")


def test_late_work_for_a_leaving_target_is_counted_or_refused(fleet: Fleet) -> None:
    fleet.start_platform()
    target = fleet.start_target("t-a", zone="a")
    fleet.list_target(target, zone="a", state="leaving")
    assert call("GET", target.http, "/x").status == 200
    fleet.set_faults("t-a", leaving_grace_ms=0, refuse_when_leaving=True)
    refused = call("GET", target.http, "/x")
    assert refused.status == 503 and (b"heatherkeel-outcome", b"not_run") in refused.headers
    assert fleet.counts("t-a")["after_leaving"] == 1
