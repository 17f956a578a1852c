"""One of two workers with a label is lost for good; the other one stays idle."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_3 import CannotRun, Rig, has_trouble, route, run_case

MACHINES = 36
GONE, STAYS = "m-34", "m-35"
"""The two machines of kind b; they stand side by side in one rack."""
JOBS = 12
WATCH_S = 30.0
STEP = {"count": 1, "cpu": 1000, "memMb": 100, "estimatedMs": 500, "requirements": "b"}


def play(rig: Rig) -> bool:
    rig.start_platform()
    rig.configure(1, [route("/q/", "pool")], ["pool"])
    machines = [f"m-{number:02d}" for number in range(MACHINES)]
    for number, machine in enumerate(machines):
        kind = "b" if machine in (GONE, STAYS) else "a"
        rig.start_worker(machine, "pool", zone="abc"[number // 12], kind=kind)
    time.sleep(3)
    for number in range(3):
        rig.start_instance(f"edge-{number}", number, zone="abc"[number], wait=False)
    rig.wait_serving("/q/")
    time.sleep(5)
    rig.note(f"{MACHINES} workers of one service; of kind b: {GONE} and {STAYS}")
    if has_trouble():
        rig.children[GONE].kill()
        row = {"machine": GONE, "pool": "pool", "zone": "c", "rack": "r1-c", "kind": "b"}
        rig.control("/machine", **row, state="down")
        rig.note(f"{GONE} is lost for good")
        # Until all is calm again: `stableWindowMs`, and 4 s more.
        time.sleep(8)
    jobs = [f"{number * 7919:016x}" for number in range(1, JOBS + 1)]
    accepted = []
    for number, job in enumerate(jobs):
        body = {"spec": "work 500", "steps": [STEP]}
        status, answer = rig.client(f"edge-{number % 3}", "POST", f"/q/{job}", body)
        rig.note(f"POST {job}, one task that requires b: {status} {answer.get('state', '')}")
        if status == 200:
            accepted.append(job)
    if not accepted:
        raise CannotRun("no job is accepted")
    last, states = time.monotonic(), {}
    while time.monotonic() < last + WATCH_S:
        states = {job: rig.client("edge-0", "GET", f"/q/{job}")[1].get("state") for job in accepted}
        if all(state == "complete" for state in states.values()):
            break
        time.sleep(1)
    began = {}
    for machine in machines:
        for line in rig.history(machine, "started"):
            began.setdefault(line["task"].split(".")[0], machine)
    for job, state in states.items():
        rig.note(f"GET {job}: {state}; started at {began.get(job, 'no worker')}")
    waited = time.monotonic() - last
    idle = [job for job in accepted if job not in began]
    rig.note(f"after {waited:.0f} s, {len(idle)} of {len(accepted)} jobs have not been started")
    # LOST: nothing of them runs, while a worker with the label and room for eight tasks is idle.
    return bool(idle)


run_case(__file__, play)
