"""An instance, the users' platform and workers, each a process of its own."""

from __future__ import annotations

import json
from typing import Any

import httpcore

from .harness import Fleet, Process, call, call_json, wait_for
from .standin_calls import (
    HOST,
    POOL,
    QUEUE,
    STANDBY,
    Platform,
    Worker,
    start_platform,
    start_worker,
)

JOB = "00000000000000a1"
DEADLY_JOB = "00000000000000b2"
STEP = {"count": 2, "cpu": 1000, "memMb": 100, "estimatedMs": 100}
START_S = 30.0
"""Longest wait for a first job, in seconds: its process joins the group first."""


def start_instance(fleet: Fleet, platform: Platform) -> tuple[Process, str]:
    """Start an instance; return the process and its address for callers."""
    settings = fleet.folder / "edge-0.toml"
    settings.write_text(
        f"""
        nodeName = "edge-0"
        ip = "127.0.0.1"
        zone = "a"
        internalPortRange = [0, 0]
        heartbeatMs = 200
        placementAdvisor = "{platform.cloud}"
        [listenAddrs]
        frontend = "127.0.0.1:0"
        readiness = "127.0.0.1:0"
        [bounds]
        leaseMs = 300
        [platform]
        address = "{platform.store}"
        parts = 3
        [cloud]
        address = "{platform.cloud}"
        """,
        encoding="utf-8",
    )
    process = fleet.spawn("edge-0", "instance", f"--settings={settings}")
    started = wait_for(lambda: find_start(process), "the instance has started")
    return process, started["callers"]


def find_start(process: Process) -> Any:
    return next((line for line in process.events() if line.get("event") == "start"), None)


def ask(callers: str, method: str, job: str, body: Any = None) -> tuple[int, Any]:
    content = b"" if body is None else json.dumps(body).encode()
    headers = {"host": HOST, "content-type": "application/json"}
    try:
        answer = call(method, callers, f"/q/{job}", body=content, headers=headers)
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        return 0, {}
    return answer.status, json.loads(answer.content or b"{}")


def submit(callers: str, job: str, spec: str) -> None:
    body = {"spec": spec, "steps": [STEP]}
    wait_for(
        lambda: ask(callers, "POST", job, body)[0] == 200,
        f"{job} is accepted",
        timeout_s=START_S,
    )


def has_state(callers: str, job: str, state: str) -> bool:
    return bool(ask(callers, "GET", job)[1].get("state") == state)


def test_jobs_run_and_a_deadly_task_is_given_up(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    platform.tell("/configure", version=1, routes=[QUEUE], services=[POOL, STANDBY])
    workers = []
    for number in range(3):
        platform.add_machine(f"m{number}")
        workers.append(start_worker(fleet, platform, f"m{number}"))
    _, callers = start_instance(fleet, platform)
    submit(callers, JOB, "work 50")
    wait_for(lambda: has_state(callers, JOB, "complete"), "the job completes", timeout_s=START_S)
    starts = [line for worker in workers for line in worker.lines("started")]
    assert sorted(line["task"] for line in starts) == [f"{JOB}.0.0.0", f"{JOB}.0.0.1"]

    submit(callers, DEADLY_JOB, "crashes 0 50")
    restarts = 0

    def has_failed() -> bool:
        """Restart what has crashed, and say whether the job has failed."""
        nonlocal restarts
        for number, worker in enumerate(workers):
            if worker.process.popen.poll() is not None:
                restarts += 1
                workers[number] = start_worker(fleet, platform, f"m{number}")
        return has_state(callers, DEADLY_JOB, "failed")

    wait_for(has_failed, "the deadly job fails", timeout_s=START_S)
    assert 2 <= restarts < 10


def test_a_wave_maintains_machines_whose_workers_are_processes(fleet: Fleet) -> None:
    platform = start_platform(fleet, "--partitions=3")
    platform.tell("/configure", version=1, routes=[QUEUE], services=[POOL, STANDBY])
    machines = [f"m{number}" for number in range(3)]
    workers = [start_worker(fleet, platform, machine) for machine in machines]
    _, callers = start_instance(fleet, platform)
    submit(callers, JOB, "work 50")
    platform.tell("/wave", wave=1, machines=machines[:2], durationS=20, maxCount=1)
    wait_for(
        lambda: call_json("GET", platform.control, "/wave/1")["state"] == "complete",
        "the wave completes",
        timeout_s=START_S,
    )
    ends = [[line["outcome"] for line in worker.lines("life ended")] for worker in workers]
    assert ends == [["left"], ["left"], []]
    wait_for(lambda: count_lives(workers) == [2, 2, 1], "both machines are back")
    wait_for(lambda: has_state(callers, JOB, "complete"), "the job completes", timeout_s=START_S)


def count_lives(workers: list[Worker]) -> list[int]:
    return [len(worker.lines("life began")) for worker in workers]
