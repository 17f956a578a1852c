"""A job whose progress is larger than a record of the store may be."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_3 import Rig, has_trouble, route, run_case

LARGE, SMALL = "00000000000000a1", "00000000000000b{}"
STEP = {"cpu": 1, "memMb": 1, "estimatedMs": 100}
WATCH_S = 30.0


def play(rig: Rig) -> bool:
    rig.start_platform()
    rig.configure(1, [route("/q/", "pool")], ["pool"])
    machines = [f"m-{number}" for number in range(6)]
    for number, machine in enumerate(machines):
        rig.start_worker(machine, "pool", zone="abc"[number % 3])
    for number in range(3):
        rig.start_instance(f"edge-{number}", number, zone="abc"[number], wait=False)
    rig.wait_serving("/q/")

    def submit(instance: str, job: str, count: int) -> None:
        body = {"spec": "work 50", "steps": [STEP | {"count": count}]}
        for _ in range(5):
            status, answer = rig.client(instance, "POST", f"/q/{job}", body)
            rig.note(f"POST {job}, {count} tasks, at {instance}: {status} {answer}")
            accepted[job] = status == 200
            if status not in (0, 502, 504):
                return
            # No answer, so the same job is sent again.
            time.sleep(0.5)

    def starts() -> dict[str, int]:
        found = dict.fromkeys(accepted, 0)
        for machine in machines:
            for line in rig.history(machine, "started"):
                job = line["task"].split(".")[0]
                found[job] = found.get(job, 0) + 1
        return found

    accepted: dict[str, bool] = {}
    # A new owner refuses nothing and takes no large job for 3 s.
    time.sleep(4)
    submit("edge-0", SMALL.format(0), 4)
    time.sleep(2)
    submit("edge-1", LARGE, 6000 if has_trouble() else 300)
    time.sleep(2)
    for number in range(1, 6):
        submit(f"edge-{number % 3}", SMALL.format(number), 4)
    until = time.monotonic() + WATCH_S
    states: dict[str, object] = {}
    while time.monotonic() < until:
        states = {
            job: rig.client("edge-0", "GET", f"/q/{job}")[1].get("state")
            for job, is_accepted in accepted.items()
            if is_accepted
        }
        if all(state == "complete" for state in states.values()):
            break
        time.sleep(1)
    started = starts()
    for job, state in states.items():
        rig.note(f"GET {job}: {state}; {started[job]} starts at workers")
    for name in rig.instances:
        for line in rig.children[name].lines():
            if line.get("event") in ("journal_lost", "journal_regained", "partition_owned"):
                rig.note(f"{name} logs {line['event']}: {line.get('detail', '')}")
    # LOST: the workers are idle, and the tasks of an accepted job don't run.
    return any(state != "complete" for state in states.values())


run_case(__file__, play)
