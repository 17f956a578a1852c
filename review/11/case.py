"""One job with a number of 401 digits, and the instances that own it one after the other."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_3 import CannotRun, Rig, has_trouble, route, run_case  # noqa: E402

WATCH_S = 30.0
RESTART_S = 0.5
"""How long after its end a process is started again."""
BEFORE, OTHER, POISON, AFTER = (f"00000000000000{name}" for name in ("b1", "c1", "a1", "b2"))
TASK = {"count": 2, "cpu": 500, "memMb": 100, "estimatedMs": 2000}
NAMES = [f"edge-{number}" for number in range(3)]


def play(rig: Rig) -> bool:
    """Return whether accepted jobs of the same queue are lost."""
    rig.start_platform()
    rig.configure(1, [route("/desk/", "desk"), route("/portal/", "portal")], ["desk", "portal"])
    machines = [f"m-{number}" for number in range(6)]
    for number, machine in enumerate(machines):
        rig.start_worker(machine, ("desk", "portal")[number % 2], zone="abc"[number % 3])
    for number, name in enumerate(NAMES):
        rig.start_instance(name, number, zone="abc"[number], wait=False)
    rig.wait_serving("/portal/")
    time.sleep(5)

    def submit(path: str, steps: list[dict[str, object]]) -> bool:
        for number in range(10):
            name = NAMES[number % len(NAMES)]
            status, answer = rig.client(name, "POST", path, {"spec": "work 2000", "steps": steps})
            rig.note(f"POST {path} at {name}: {status} {answer.get('state', '')}")
            if status not in (0, 502, 503, 504):
                return status == 200
            time.sleep(0.5)
        return False

    # Three steps of two seconds, so that two of them are still to come.
    chain = [TASK, TASK | {"dependsOn": [0]}, TASK | {"dependsOn": [1]}]
    paths = [f"/desk/{BEFORE}", f"/portal/{OTHER}"]
    if not all(submit(path, chain) for path in paths):
        raise CannotRun("the first jobs aren't accepted")
    estimate = 10**400 if has_trouble() else 2000
    rig.note(f"one job of queue desk has an estimatedMs of {len(str(estimate))} digits")
    submit(f"/desk/{POISON}", [TASK | {"estimatedMs": estimate}])
    ends = dict.fromkeys(NAMES, 0)
    down_s: dict[str, float] = {}
    began = time.monotonic()
    states: dict[str, object] = {}
    is_later_sent = False
    while time.monotonic() < began + WATCH_S:
        for number, name in enumerate(NAMES):
            code = rig.children[name].popen.poll()
            if code is not None and name not in down_s:
                ends[name] += 1
                down_s[name] = time.monotonic()
                rig.note(f"{name} has ended by itself with {code}, for the {ends[name]}. time")
            if name in down_s and time.monotonic() - down_s[name] >= RESTART_S:
                del down_s[name]
                rig.start_instance(name, number, zone="abc"[number], wait=False)
        if not is_later_sent and time.monotonic() > began + 5:
            is_later_sent = True
            if submit(f"/desk/{AFTER}", [TASK]):
                paths.append(f"/desk/{AFTER}")
        for path in paths:
            answers = [rig.client(name, "GET", path, timeout=1.0)[1] for name in NAMES]
            state = next((answer["state"] for answer in answers if "state" in answer), None)
            if state is not None and state != states.get(path):
                rig.note(f"GET {path}: {state}")
                states[path] = state
        if is_later_sent and not any(ends.values()):
            if all(states.get(path) == "complete" for path in paths):
                break
        time.sleep(0.1)
    started = {line["task"] for machine in machines for line in rig.history(machine, "started")}
    for path in paths:
        job = path.rsplit("/", 1)[-1]
        count = sum(1 for task in started if task.startswith(job))
        rig.note(f"{path}: last seen as {states.get(path)}; {count} tasks started")
    rig.note(f"ends of processes by themselves: {ends}")
    return any(states.get(path) != "complete" for path in paths)


run_case(__file__, play)
