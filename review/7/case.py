"""A worker lists its ends 500 at a time; the runs behind them count as lost, and start again."""

from __future__ import annotations

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from deployment_2 import ZONES, Deployment, Link, Record, call, route, run_case  # noqa: E402

JOB = "00000000000000a1"
TASKS = 1500
WORK_MS = 12_000
CUT_S = 4.0
BODY = {
    "spec": f"sheet {WORK_MS}",
    "steps": [{"count": TASKS, "cpu": 5, "memMb": 10, "estimatedMs": WORK_MS}],
}


def count_started(d: Deployment) -> list[float]:
    """Return when the tasks started."""
    return [line["at"] for line in d.happenings() if line["what"] == "started"]


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
    status, answer = call(edges[0], "POST", f"/sheets/{JOB}", BODY)
    record.add(f"POST /sheets/{JOB} with {TASKS} tasks of {WORK_MS} ms: {status} {answer}")
    until_s = time.time() + 12
    started: list[float] = []
    while len(started) < TASKS and time.time() < until_s:
        time.sleep(0.1)
        started = count_started(d)
    record.add(f"{len(started)} tasks have started")
    if trouble and started:
        machine = max(links, key=lambda name: count_on(d, name))
        time.sleep(max(0.0, started[0] + WORK_MS / 1000 + 0.1 - time.time()))
        links[machine].is_cut = True
        record.add(f"the worker on {machine} is cut off from the daemons, and runs on")
        time.sleep(CUT_S)
        links[machine].is_cut = False
        record.add(f"{machine} can be reached again")
    until_s = time.time() + 25
    state = ""
    while state not in ("complete", "failed") and time.time() < until_s:
        time.sleep(0.25)
        status, answer = call(edges[0], "GET", f"/sheets/{JOB}")
        state = answer.get("state", "") if isinstance(answer, dict) else ""
    record.add(f"GET: {status} {state}")
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
