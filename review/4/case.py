"""One repeated job whose start lies in the past hangs one process after the other."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from deployment_2 import ZONES, Deployment, Record, call, route, run_case  # noqa: E402

REPEATED = "5eed000000000001"
SCHEDULED = "5c4ed00000000002"
ORDINARY = {
    "spec": "stock 400",
    "steps": [{"count": 2, "cpu": 500, "memMb": 100, "estimatedMs": 400}],
}
TIMES = int(os.environ.get("TIMES", "20000"))
FINISH_S = 14.0
ANSWER_S = 3.0


def make_repeated(times: int) -> dict[str, Any]:
    """Return the repeated job; its `startAtMs` is 0 and so is omitted."""
    step = {"count": 1, "cpu": 500, "memMb": 100, "estimatedMs": 500}
    return {"spec": "sheet 500", "steps": [step], "repeatCount": times, "intervalMs": 60_000}


def make_scheduled() -> dict[str, Any]:
    """Return a job that runs twelve times, every four seconds from now on."""
    step = {"count": 1, "cpu": 500, "memMb": 100, "estimatedMs": 400}
    start_ms = round(time.time() * 1000) + 1000
    schedule = {"repeatCount": 12, "intervalMs": 4000, "startAtMs": start_ms}
    return {"spec": "stock 400", "steps": [step], **schedule}


def submit(edges: list[str], record: Record, path: str, body: Any) -> bool:
    """Hand a job in as a client does, with retries at other daemons; returns if it's accepted."""
    for address in [*edges, *edges]:
        began_s = time.time()
        status, _ = call(
            address,
            "POST",
            path,
            body,
            timeout_s=ANSWER_S,
            headers={"Heatherkeel-Deadline-Ms": "3000"},
        )
        record.add(f"POST {path}: {status} after {time.time() - began_s:.2f} s")
        if status == 200:
            return True
    return False


def ask(edges: list[str], record: Record, path: str) -> str | None:
    """Ask each daemon for a job's state; None if none answers with 200 in time."""
    found = None
    for address in edges:
        status, answer = call(
            address,
            "GET",
            path,
            timeout_s=ANSWER_S,
            headers={"Heatherkeel-Deadline-Ms": "3000"},
        )
        state = answer.get("state") if status == 200 and isinstance(answer, dict) else None
        record.add(f"GET {path}: {status} {state}")
        found = found or state
    return found


def case(d: Deployment, record: Record, trouble: bool) -> bool:
    """Return whether accepted jobs of another queue are lost beside the repeated job."""
    d.start_platform()
    d.configure(
        1,
        [route("/sheets/", "dispatch"), route("/stock/", "order-desk")],
        ["dispatch", "order-desk"],
    )
    for number in range(4):
        d.start_worker(f"m{number}", "dispatch", ZONES[number % 3])
    for number in range(4, 8):
        d.start_worker(f"m{number}", "order-desk", ZONES[number % 3])
    for number in range(3):
        d.start_edge(f"edge-{number}", ZONES[number])
    d.wait_served("/sheets/")
    d.wait_served("/stock/")
    time.sleep(4)
    edges = list(d.edges.values())
    if not submit(edges, record, "/stock/0000000000000001", ORDINARY):
        return False
    scheduled = make_scheduled()
    start_ms = scheduled["startAtMs"]
    if not submit(edges, record, f"/stock/{SCHEDULED}", scheduled):
        return False
    time.sleep(6)
    submit(edges, record, f"/sheets/{REPEATED}", make_repeated(TIMES if trouble else 20))
    time.sleep(8)
    accepted = []
    until_s = time.time() + 12
    number = 1
    while time.time() < until_s:
        number += 1
        job = f"{number:016x}"
        if submit(edges, record, f"/stock/{job}", ORDINARY):
            accepted.append(job)
        time.sleep(1)
    record.add(f"end of the traffic; accepted for /stock/ since: {len(accepted)}")
    time.sleep(FINISH_S)
    due = sum(start_ms / 1000 + 4 * k < time.time() - 4 for k in range(12))
    started = {line["task"].split(".")[0] for line in d.happenings() if line["what"] == "started"}
    runs = [x for x in d.happenings() if x["what"] == "started"]
    begun = sum(x["task"].startswith(REPEATED) for x in runs)
    record.add(f"tasks of the repeated job that have started: {begun}")
    times = sorted(x["at"] for x in runs if x["task"].startswith(SCHEDULED))
    for at_s in times:
        record.add("an occurrence of the scheduled job started", at_s=at_s)
    record.add(
        f"of the accepted scheduled job {due} occurrences were due 4 s ago, {len(times)} began"
    )
    unanswered = [
        job for job in [SCHEDULED, *accepted[:3]] if ask(edges, record, f"/stock/{job}") is None
    ]
    idle = [job for job in accepted if job not in started]
    record.add(f"accepted jobs about which no daemon answers in 3 s: {unanswered}")
    record.add(f"accepted jobs of which nothing has started beside idle workers: {idle}")
    return len(times) < due or bool(unanswered or idle)


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
