"""A worker lists its ends 500 at a time; the runs behind them count as lost, and start again."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from deployment_2 import ZONES, Deployment, Link, Record, call, route, run_case  # noqa: E402

LASTING = {
    "spec": "ledger lasts",
    "steps": [
        {
            "count": 3,
            "cpu": 100,
            "memMb": 10,
            "estimatedMs": 1000,
            "longRunning": True,
            "antiAffinity": 1,
        }
    ],
}
"""Keeps each of the three workers in its pool."""
RACK = f"r-{ZONES[2]}"
"""Where the data of the jobs is; one worker is there."""
JOBS = 14
TASKS = 100
"""Tasks of each job."""
SPREAD_S = 16.0
"""From the first job on, until the tasks of all of them end."""
CUT_S = 4.0


def make_body(work_ms: int) -> dict[str, Any]:
    """Return a job whose tasks take so long."""
    step = {"count": TASKS, "cpu": 5, "memMb": 10, "estimatedMs": work_ms, "dataRack": RACK}
    return {"spec": f"sheet {work_ms}", "steps": [step]}


def count_started(d: Deployment) -> int:
    """Return how many tasks have started."""
    return sum(line["what"] == "started" for line in d.happenings())


def count_on(d: Deployment, machine: str) -> int:
    """Return how many tasks a worker has started."""
    return sum(x["machine"] == machine and x["what"] == "started" for x in d.happenings())


def case(d: Deployment, record: Record, trouble: bool) -> bool:
    """Return whether a task starts after an end `done` of it that is taken note of."""
    d.start_platform()
    d.configure(1, [route("/sheets/", "dispatch")], ["dispatch"])
    links: dict[str, Link] = {}
    for number in range(3):
        machine = f"m{number}"
        link = links[machine] = Link()
        d.start_worker(machine, "dispatch", ZONES[number], announce=link.address)
        link.target = d.workers[machine]
    for number in range(3):
        d.start_edge(f"edge-{number}", ZONES[number])
    d.wait_served("/sheets/")
    time.sleep(4)
    edges = list(d.edges.values())
    status, _ = call(edges[1], "POST", "/sheets/00000000000000ff", LASTING)
    record.add(f"POST of a job of three lasting tasks, one on each worker: {status}")
    time.sleep(1)
    ends_s = time.time() + SPREAD_S
    jobs: list[str] = []
    while len(jobs) < JOBS and time.time() < ends_s - 3:
        job = f"{len(jobs) + 1:016x}"
        body = make_body(round(1000 * (ends_s - time.time())))
        status, _ = call(edges[0], "POST", f"/sheets/{job}", body)
        record.add(f"POST /sheets/{job}, {TASKS} tasks, {body['spec']}: {status}")
        if status != 200:
            continue
        jobs.append(job)
        while count_started(d) < TASKS * len(jobs) + 3 and time.time() < ends_s - 3:
            time.sleep(0.05)
    record.add(f"{count_started(d)} tasks have started")
    time.sleep(max(0.0, ends_s - 0.3 - time.time()))
    if trouble:
        machine = max(links, key=lambda name: count_on(d, name))
        links[machine].is_cut = True
        record.add(f"the worker on {machine} is cut off from the daemons, and runs on")
        time.sleep(CUT_S)
        links[machine].is_cut = False
        record.add(f"{machine} can be reached again")
    until_s = time.time() + 25
    left = list(jobs)
    while left and time.time() < until_s:
        _, answer = call(edges[0], "GET", f"/sheets/{left[0]}")
        if isinstance(answer, dict) and answer.get("state") in ("complete", "failed"):
            left.pop(0)
            continue
        time.sleep(0.25)
    record.add(f"jobs that haven't ended: {len(left)}")
    time.sleep(3)
    return judge(d, record)


def judge(d: Deployment, record: Record) -> bool:
    """Return whether a task was started after an end `done` that was taken note of."""
    lines = d.happenings()
    noted = {
        (line["task"], line["attempt"])
        for line in lines
        if line["what"] == "acknowledged" and line["outcome"] == "done"
    }
    done: dict[str, tuple[int, float]] = {}
    twice = 0
    for line in lines:
        task = line["task"]
        if line["what"] == "ended" and line["outcome"] == "done":
            done.setdefault(task, (line["attempt"], line["at"]))
        if line["what"] != "started" or task not in done:
            continue
        attempt, at_s = done[task]
        if (task, attempt) not in noted:
            continue
        twice += 1
        record.add(
            f"{line['machine']} starts {task}, attempt {line['attempt']}, "
            f"{line['at'] - at_s:.2f} s after attempt {attempt} had ended as done",
            at_s=line["at"],
        )
    for what in ("started", "ended", "acknowledged"):
        record.add(f"{what}: {sum(line['what'] == what for line in lines)}")
    record.add(f"starts after an end done that was taken note of (ackSeq): {twice}")
    return twice > 0


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
