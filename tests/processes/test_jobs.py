"""Jobs through real processes: the platform's stand-in, its workers' tasks, two entry instances."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

import pytest

from heatherkeel.jobs.placers import PlacerOrder

from .harness import TOKEN, Fleet, Process, call, call_json, wait_for

AUTHORIZED = {"authorization": f"Bearer {TOKEN}"}
SHORT_LEASES = "[routing]\nlease_ms = 2000\nrenew_interval_ms = 400\n"
PLACERS = PlacerOrder(alive=frozenset({"entry1", "entry2"})).placers_of("night")
"""The entry instance that places for the pool, and the one that comes after it."""


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    fleet = Fleet()
    try:
        start(fleet)
        yield fleet
    finally:
        fleet.close()


def start(fleet: Fleet) -> None:
    """Start a platform with three workers and two entry instances, and the catalogue."""
    platform = fleet.start_platform()
    for number, zone in enumerate("abc"):
        worker = {
            "id": f"w{number}",
            "role": "worker",
            "zone": zone,
            "rack": f"{zone}-r1",
            "address": "127.0.0.1:9",
            "state": "live",
            "boot_id": "1",
            "cpus": 4,
            "memory_mib": 4_000,
            "pool": "night",
        }
        call_json("PUT", platform.http, f"/instances/w{number}", worker)
    for name, zone in (("entry1", "a"), ("entry2", "b")):
        fleet.start_entry(name, zone=zone, extra=SHORT_LEASES)
    entry = fleet.processes["entry1"]
    team = {"kind": "team", "owner": "sheetal", "cpu_quota": 64, "memory_quota_mib": 64_000}
    assert fleet.put_entry(entry, "sheetal", team).status == 200
    answer = fleet.put_entry(entry, "night", {"kind": "pool", "owner": "sheetal", "size": 3})
    assert answer.status == 200
    offset = json.loads(answer.content)["offset"]
    fleet.wait_in_force([entry, fleet.processes["entry2"]], offset)


def submit(entry: Process, name: str, *, run_ms: int = 100, **more: Any) -> Any:
    spec = {
        "pool": "night",
        "program": json.dumps({"run_ms": run_ms}),
        "size": {"cpu_millicores": 1_000, "memory_mib": 1_000},
        **more,
    }
    return call_json("PUT", entry.admin, f"/jobs/{name}", spec, headers=AUTHORIZED)


def status(entry: Process, name: str) -> str:
    found = call_json("GET", entry.admin, f"/jobs/sheetal:{name}")
    return str(found.get("status"))


def wait_status(entry: Process, name: str, wanted: str) -> None:
    wait_for(lambda: status(entry, name) == wanted, f"{name} is {wanted}")


def counts(fleet: Fleet) -> Any:
    return call_json("GET", fleet.processes["platform"].http, "/standin/tasks/counts")


def set_task_faults(fleet: Fleet, **faults: Any) -> None:
    call_json("PUT", fleet.processes["platform"].http, "/standin/tasks/faults", faults)


def test_a_job_is_submitted_found_again_and_cancelled(fleet: Fleet) -> None:
    one, two = fleet.processes["entry1"], fleet.processes["entry2"]
    assert submit(one, "ledger")["status"] in ("queued", "placed", "running")
    wait_status(two, "ledger", "succeeded")
    # The balancer sends the repeat to the other entry instance: nothing runs again.
    assert submit(two, "ledger")["status"] == "succeeded"
    clash = submit(two, "ledger", run_ms=7)
    assert (clash["status"], clash["type"]) == (409, "urn:heatherkeel:problem:already_exists")
    assert counts(fleet)["fresh_runs"] == {"sheetal:ledger": 1}
    submit(one, "long", run_ms=600_000)
    wait_status(two, "long", "running")
    body = {"jobs": ["long", "nobody"]}
    told = call_json("POST", two.admin, "/job-cancellations", body, headers=AUTHORIZED)
    assert told["sheetal:nobody"] == "not_found"
    wait_status(one, "long", "cancelled")


def test_bad_jobs_are_refused_with_the_field(fleet: Fleet) -> None:
    one = fleet.processes["entry1"]
    faults = submit(one, "bad", max_attempts=0, colour="red")["faults"]
    assert {fault["field"] for fault in faults} == {"max_attempts", "colour"}
    assert submit(one, "lost", pool="nowhere")["status"] == 404
    assert call("PUT", one.admin, "/jobs/x", body=b"{}").status == 401
    huge = submit(one, "huge", size={"cpu_millicores": 1_000, "memory_mib": 9_000})
    assert huge["job"] == "sheetal:huge"
    wait_status(one, "huge", "failed")
    reason = call_json("GET", one.admin, "/jobs/sheetal:huge")["reason"]
    assert reason == "larger than any worker of pool night"


def test_the_placer_dies_between_the_start_and_its_record(fleet: Fleet) -> None:
    # The start of a ledger job takes effect and its answer is lost. The list of tasks lags, so
    # the placer can't record the start in any way before it is killed. The other entry instance
    # takes the pool over when the lease has lapsed, finds the task by its id, and records how it
    # ended: it ran once.
    set_task_faults(fleet, lose_start_answers=1, list_stands_still=True)
    placer, other = (fleet.processes[name] for name in PLACERS)
    submit(other, "ledger", run_ms=200)
    wait_for(lambda: counts(fleet)["fresh_runs"], "the task runs")
    assert status(other, "ledger") == "placed"
    placer.kill()
    set_task_faults(fleet)
    wait_status(other, "ledger", "succeeded")
    assert counts(fleet)["fresh_runs"] == {"sheetal:ledger": 1}


def test_the_platform_is_down_when_a_placer_wants_to_start(fleet: Fleet) -> None:
    # The placement is in the log, but the start is lost on its way. The placer is then frozen
    # past its lease; the other one starts the task. Thawed, the first one finds it done.
    set_task_faults(fleet, lose_starts=1)
    placer, other = (fleet.processes[name] for name in PLACERS)
    submit(other, "ledger", run_ms=200)
    wait_status(other, "ledger", "placed")
    placer.freeze()
    wait_status(other, "ledger", "succeeded")
    placer.thaw()
    wait_status(placer, "ledger", "succeeded")
    assert counts(fleet)["fresh_runs"] == {"sheetal:ledger": 1}


def test_a_worker_that_was_cut_off_comes_back_with_its_task(fleet: Fleet) -> None:
    # The worker of a ledger job is cut off past its lease. The job is shown as unknown, with
    # the reason, and is not run anywhere else; when the worker is heard again, it goes on.
    one = fleet.processes["entry1"]
    submit(one, "ledger", run_ms=600_000)
    wait_status(one, "ledger", "running")
    worker = call_json("GET", one.admin, "/jobs/sheetal:ledger")["instance"]
    set_task_faults(fleet, lease_ms=100, workers={worker: {"cut": True}})
    wait_status(one, "ledger", "unknown")
    reason = call_json("GET", one.admin, "/jobs/sheetal:ledger")["reason"]
    assert reason == f"lease lapsed on {worker}: it may have run, or be running"
    set_task_faults(fleet)
    wait_status(one, "ledger", "running")
    assert counts(fleet)["fresh_runs"] == {"sheetal:ledger": 1}


def test_a_job_is_refused_while_the_platform_is_down(fleet: Fleet) -> None:
    # Nothing can be agreed, so nothing is accepted, and the caller is told so at once. A job that
    # runs meanwhile ends, and its end is recorded when the platform is back.
    one = fleet.processes["entry1"]
    submit(one, "before", run_ms=300)
    wait_for(lambda: counts(fleet)["fresh_runs"], "the task runs")
    fleet.set_faults("platform", down=True)
    refused = submit(one, "during")
    assert refused["status"] == 503
    assert refused["detail"] == "It was not accepted, and will not be later."
    fleet.set_faults("platform")
    wait_status(one, "before", "succeeded")
    submit(one, "during")
    wait_status(one, "during", "succeeded")
    assert set(counts(fleet)["fresh_runs"].values()) == {1}


def test_an_urgent_job_gets_room_by_a_checkpoint(fleet: Fleet) -> None:
    # All workers are full of night work that can be checkpointed. The urgent job has to start
    # within seconds; the moved job goes on later from its checkpoint, and is not run anew.
    one = fleet.processes["entry1"]
    for number in range(3):
        size = {"cpu_millicores": 1_000, "memory_mib": 4_000}
        submit(one, f"night{number}", run_ms=600_000, checkpointable=True, size=size)
    for number in range(3):
        wait_status(one, f"night{number}", "running")
    submit(one, "route-sheet", service_class="urgent")
    wait_status(one, "route-sheet", "succeeded")
    for number in range(3):
        wait_status(one, f"night{number}", "running")
    assert set(counts(fleet)["fresh_runs"].values()) == {1}


def test_jobs_from_the_command_line(fleet: Fleet) -> None:
    entry = fleet.processes["entry1"]
    token, spec = fleet.folder / "token", fleet.folder / "job.json"
    token.write_text(TOKEN, encoding="utf-8")
    spec.write_text(
        '{"pool": "night", "size": {"cpu_millicores": 100, "memory_mib": 100}}', encoding="utf-8"
    )

    def run(*args: str) -> subprocess.CompletedProcess[str]:
        common = [f"--admin={entry.admin}", f"--token-file={token}"]
        command = [sys.executable, "-m", "heatherkeel", "job", *args, *common]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    submitted = run("submit", "ledger", f"--spec={spec}")
    assert json.loads(submitted.stdout)["job"] == "sheetal:ledger"
    wait_status(entry, "ledger", "succeeded")
    assert json.loads(run("get", "ledger").stdout)["status"] == "succeeded"
    assert [job["job"] for job in json.loads(run("list").stdout)["jobs"]] == ["sheetal:ledger"]
    assert json.loads(run("cancel", "ledger").stdout) == {"sheetal:ledger": "succeeded"}
    missing = run("get", "nobody")
    assert missing.returncode == 1
    assert missing.stderr == "sheetal:nobody: never submitted, or forgotten a day after its end\n"
    unnamed = run("get")
    assert unnamed.returncode == 2
    assert unnamed.stderr == "heatherkeel job: get takes one NAME\n"
