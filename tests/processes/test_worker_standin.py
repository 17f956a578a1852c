"""A worker as a process: its lives, what its tasks do to it, and what its history tells."""

from __future__ import annotations

import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import httpcore
import pytest

from .harness import Fleet, call, call_json, wait_for
from .standin_calls import POOL, STANDBY, Platform, Worker, start_platform, start_worker

JOB = "00000000000000a1"
TASK = f"{JOB}.0.0.0"
OTHER_TASK = f"{JOB}.0.0.1"
START_S = 15.0
"""Longest wait for a process that ends by itself, in seconds."""
SILENCE_S = 1.0
"""How long a call waits for an answer that never comes, in seconds."""


def move(platform: Platform, machine: str, pool: str) -> int:
    body = json.dumps({"machine": machine, "pool": pool}).encode()
    return call("POST", platform.cloud, "/heatherkeel/machine-move", body=body).status


def is_gone(worker: Worker) -> bool:
    return worker.process.popen.poll() is not None


def is_stopped(worker: Worker) -> bool:
    stat = Path(f"/proc/{worker.process.popen.pid}/stat").read_text(encoding="utf-8")
    return stat.rpartition(")")[2].split()[0] == "T"


def test_a_worker_runs_tasks_and_writes_its_history(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    worker = start_worker(fleet, platform, "m0", "--announce=127.0.0.1:9", "--id-prefix=x-")
    wait_for(platform.entries, "the entry is written")
    life = worker.life()
    entry = platform.entries()[life["worker"]]
    assert life["worker"].startswith("x-") and entry["born"] == life["born"]
    assert (entry["address"], entry["service"]) == ("127.0.0.1:9", POOL)
    began_s = time.time()
    assert worker.start_task(TASK, "work 20")["clockMs"] >= 500_000
    worker.start_task(OTHER_TASK, "fails 20")
    wait_for(lambda: len(worker.outcomes()) == 2, "both end")
    assert worker.outcomes() == {TASK: "done", OTHER_TASK: "failed"}
    ends = worker.order("hold")["finished"]
    worker.order("hold", ackSeq=ends[-1][0])
    assert len(worker.lines("acknowledged")) == 2
    (line,) = (line for line in worker.lines("started") if line["task"] == TASK)
    assert line | {"at": 0} == {
        "at": 0,
        "what": "started",
        "worker": life["worker"],
        "born": life["born"],
        "task": TASK,
        "attempt": 1,
        "outcome": "",
    }
    assert began_s <= line["at"] <= time.time()


def test_a_task_without_a_lease_ends_when_the_lease_did(fleet: Fleet) -> None:
    """Guards against a stopped worker that seems to run a task beside its next run."""
    platform = start_platform(fleet)
    worker = start_worker(fleet, platform, "m0")
    worker.start_task(TASK, "lasts", lease_ms=300)
    started_s = worker.lines("started")[0]["at"]
    worker.process.freeze()
    wait_for(lambda: time.time() > started_s + 1.0, "the lease is long over")
    worker.process.thaw()
    wait_for(worker.outcomes, "the task ends")
    assert worker.outcomes() == {TASK: "lapsed"}
    assert worker.lines("ended")[0]["at"] < started_s + 0.5


def test_a_move_begins_another_life_in_the_other_pool(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    worker = start_worker(fleet, platform, "m0")
    wait_for(lambda: platform.machine("m0")["id"], "the worker is listed")
    worker.start_task(TASK, "lasts")
    earlier = worker.life()
    assert move(platform, "m0", "billing") == 200
    assert [line["outcome"] for line in worker.lines("life ended")] == ["left"]
    wait_for(lambda: len(worker.lines("life began")) == 2, "another life begins")
    later = worker.life()
    wait_for(lambda: platform.machine("m0")["id"] == later["worker"], "it is listed")
    assert later["worker"] != earlier["worker"] and later["born"] > earlier["born"]
    assert platform.machine("m0")["pool"] == "billing"
    assert list(platform.entries()) == [later["worker"]]
    assert worker.order("hold")["running"] == []


def test_a_worker_in_the_standby_pool_begins_when_it_is_moved(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    worker = start_worker(fleet, platform, "s0", pool=STANDBY)
    assert worker.lines() == []
    assert move(platform, "s0", POOL) == 200
    wait_for(lambda: worker.lines("life began"), "its first life begins")
    wait_for(lambda: platform.machine("s0")["id"], "the worker is listed")


def test_a_task_crashes_its_worker_before_the_start_is_answered(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    worker = start_worker(fleet, platform, "m0")
    with pytest.raises((httpcore.NetworkError, httpcore.RemoteProtocolError)):
        worker.start_task(TASK, "crashes 0 100")
    wait_for(lambda: is_gone(worker), "the process is gone")
    assert worker.process.popen.returncode == -signal.SIGKILL
    assert [line["what"] for line in worker.lines()] == ["life began", "started"]


def test_a_task_crashes_its_worker_after_its_start_was_answered(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    worker = start_worker(fleet, platform, "m0")
    worker.start_task(OTHER_TASK, "crashes-after 0 0 lasts")
    worker.start_task(TASK, "crashes-after 200 0 lasts")
    wait_for(lambda: is_gone(worker), "the process is gone")
    assert worker.process.popen.returncode == -signal.SIGKILL
    assert len(worker.lines("started")) == 2 and worker.outcomes() == {}


def test_a_task_stops_its_worker_without_a_word(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    worker = start_worker(fleet, platform, "m0")
    with ThreadPoolExecutor() as callers:
        answer = callers.submit(
            worker.start_task, TASK, "crashes-dark 0 lasts", timeout_s=SILENCE_S
        )
        wait_for(lambda: is_stopped(worker), "the process has stopped")
        assert isinstance(answer.exception(), httpcore.ReadTimeout)
    assert [line["what"] for line in worker.lines()] == ["life began", "started", "dark"]
    wait_for(lambda: platform.entries() == {}, "the entry expires")
    assert platform.machine("m0")["id"] == worker.life()["worker"]


def test_a_worker_drains_before_it_leaves(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    worker = start_worker(fleet, platform, "m0", "--drain-s=1.5")
    worker.process.popen.terminate()
    entry = wait_for(lambda: find_draining(platform), "it reports that it drains")
    assert 0 < entry["remainingMs"] <= 1500
    worker.start_task(TASK, "work 1")
    wait_for(lambda: is_gone(worker), "it leaves")
    assert worker.process.popen.returncode == 0
    last = worker.lines()[-1]
    assert (last["what"], last["outcome"]) == ("life ended", "left")
    assert platform.entries() == {} and platform.machine("m0")["state"] == "down"


def find_draining(platform: Platform) -> Any:
    entries = platform.entries().values()
    return next((entry for entry in entries if entry["state"] == "draining"), None)


def test_a_restarted_worker_keeps_its_id_and_its_address(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    earlier = start_worker(fleet, platform, "m0", "--keep-id=i-kept")
    earlier.process.kill()
    platform.add_machine("m0", state="down")
    flags = ("--keep-id=i-kept", f"--bind={earlier.address}")
    later = start_worker(fleet, platform, "m0", *flags)
    first, second = later.lines("life began")
    assert first["worker"] == second["worker"] == "i-kept" and first["born"] < second["born"]
    assert later.address == earlier.address
    assert later.order("hold")["clockMs"] < 500_000
    wait_for(lambda: platform.machine("m0")["id"] == "i-kept", "it is listed again")


def test_a_slow_worker_takes_longer(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    worker = start_worker(fleet, platform, "m0")
    refused = call("POST", worker.address, "/control/slow", body=b'{"factor":0}')
    assert refused.status == 400 and b"factor" in refused.content
    call_json("POST", worker.address, "/control/slow", {"factor": 10})
    worker.start_task(TASK, "work 60")
    wait_for(worker.outcomes, "the task ends")
    started, ended = worker.lines("started")[0], worker.lines("ended")[0]
    assert 0.55 < ended["at"] - started["at"] < 0.65


def test_a_worker_that_does_not_answer_a_start_carries_it_out_late(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    worker = start_worker(fleet, platform, "m0")
    refused = call("POST", worker.address, "/control/faults", body=b'{"store_silent":true}')
    assert refused.status == 400 and b"store_silent" in refused.content
    faults = {"lose_starts": 1, "late_start_s": 0.2}
    call_json("POST", worker.address, "/control/faults", faults)
    with pytest.raises(httpcore.ReadTimeout):
        worker.start_task(TASK, "lasts", timeout_s=SILENCE_S)
    (line,) = worker.lines("started")
    assert line["task"] == TASK


def test_a_worker_that_can_not_be_started_says_why_in_one_line(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    worker = start_worker(fleet, platform, "m0")
    for name, changed, fault in (
        ("busy", f"--bind={worker.address}", "address already in use"),
        ("unwritable", f"--history={fleet.folder / 'none' / 'h'}", "No such file"),
    ):
        flags = (f"--control={platform.control}", "--machine=m1", f"--pool={POOL}")
        history = f"--history={fleet.folder / name}.jsonl"
        process = fleet.spawn(name, "standin", "worker", *flags, history, changed)
        assert process.popen.wait(timeout=START_S) == 1
        (line,) = process.events()
        assert line["event"] == "system_error" and fault.lower() in line["message"].lower()


def test_a_worker_waits_for_its_platform_and_logs_once_that_it_is_unheard(fleet: Fleet) -> None:
    """Guards against logs that fill up while a worker is cut off."""
    platform = start_platform(fleet)
    worker = start_worker(fleet, platform, "m0")
    platform.process.freeze()
    wait_for(lambda: worker.process.has_logged("control_unheard"), "the platform is unheard")
    platform.process.thaw()
    wait_for(lambda: worker.process.has_logged("control_heard"), "the platform is heard again")
    assert [line["event"] for line in worker.process.events()].count("control_unheard") == 1


def test_a_spec_without_a_duration_is_refused(fleet: Fleet) -> None:
    platform = start_platform(fleet)
    worker = start_worker(fleet, platform, "m0")
    with pytest.raises(AssertionError, match="400"):
        worker.start_task(TASK, "work soon")
    assert worker.order("hold")["running"] == []
