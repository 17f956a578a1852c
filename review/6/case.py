"""A job is shown as complete before that is stored, and runs once more after an outage."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from deployment_2 import ZONES, Deployment, Record, call, route, run_case  # noqa: E402

JOB = "00000000000000f1"
WORK_MS = 2100
BODY = {
    "spec": f"sheet {WORK_MS}",
    "steps": [{"count": 1, "cpu": 7700, "memMb": 100, "estimatedMs": WORK_MS}],
}
OUTAGE_S = 4.5
DARK_S = 7.1
STABLE_S = 3.0


class Course:
    """What happens in a run, and when."""

    def __init__(self, d: Deployment, record: Record, trouble: bool) -> None:
        self.d, self.record, self.trouble = d, record, trouble
        self.first: dict = {}
        self.shown_s = self.down_s = self.back_s = self.dark_s = self.again_s = 0.0
        self.is_noticed = False

    def look(self) -> None:
        """Look at what the workers have started."""
        for line in self.d.happenings():
            if line["what"] != "started" or not line["task"].startswith(JOB):
                continue
            if not self.first:
                self.first = line
                self.record.add(
                    f"{line['machine']} starts {line['task']}, attempt 1", at_s=line["at"]
                )
            elif line["attempt"] > 1 and not self.again_s:
                self.again_s = line["at"]
                self.record.add(
                    f"{line['machine']} starts {line['task']}, attempt {line['attempt']}",
                    at_s=line["at"],
                )

    def disturb(self) -> None:
        """Take the store down half a second before the task ends; its worker crashes meanwhile."""
        now_s = time.time()
        machine = self.first.get("machine", "")
        if machine and not self.down_s and now_s > self.first["at"] + WORK_MS / 1000 - 0.5:
            self.down_s = now_s
            self.d.tell("/faults", {"store_silent": True})
            self.record.add("the store is down: it answers nothing and does nothing")
        if self.shown_s and not self.dark_s and now_s > self.shown_s + 1.0:
            self.dark_s = now_s
            self.d.children[machine].send_signal(signal.SIGSTOP)
            self.record.add(f"the worker on {machine} crashes: it is silent from now on")
        if self.down_s and not self.back_s and now_s > self.down_s + OUTAGE_S:
            self.back_s = now_s
            self.d.tell("/faults", {"store_silent": False})
            self.record.add("the store is back")
        if self.dark_s and not self.is_noticed and now_s > self.dark_s + DARK_S:
            self.is_noticed = True
            self.d.kill(machine)
            zone = ZONES[int(machine[1:]) % 3]
            row = {"machine": machine, "pool": "dispatch", "zone": zone, "rack": f"r-{machine}"}
            self.d.tell("/machine", row | {"state": "down"})
            self.d.start_worker(machine, "dispatch", zone)
            self.record.add(f"{machine} is back, with another worker")


def case(d: Deployment, record: Record, trouble: bool) -> bool:
    """Return whether a task starts long after its job was shown as complete."""
    d.start_platform()
    d.configure(1, [route("/sheets/", "dispatch")], ["dispatch"])
    for number in range(7):
        d.start_worker(f"m{number}", "dispatch", ZONES[number % 3])
    for number in range(3):
        d.start_edge(f"edge-{number}", ZONES[number])
    d.wait_served("/sheets/")
    time.sleep(4)
    edges = list(d.edges.items())
    status, answer = call(edges[0][1], "POST", f"/sheets/{JOB}", BODY)
    record.add(f"POST /sheets/{JOB}: {status} {answer}")
    course = Course(d, record, trouble)
    said = None
    turn = 0
    until_s = time.time() + 25
    while time.time() < until_s and not (course.again_s and time.time() > course.again_s + 4):
        course.look()
        if trouble:
            course.disturb()
        turn += 1
        name, address = edges[turn % 3]
        status, answer = call(
            address,
            "GET",
            f"/sheets/{JOB}",
            timeout_s=1.0,
            headers={"Heatherkeel-Deadline-Ms": "900"},
        )
        state = answer.get("state") if status == 200 and isinstance(answer, dict) else None
        if (status, state) != said:
            said = (status, state)
            record.add(f"GET at {name}: {status} {state}")
        if state == "complete" and not course.shown_s:
            course.shown_s = time.time()
        time.sleep(0.02)
    for line in d.happenings():
        if line["task"]:
            text = f"{line['machine']} {line['what']} {line['task']} {line['attempt']}"
            record.add(f"{text} {line['outcome']}", at_s=line["at"])
    if not course.shown_s or not course.again_s:
        return False
    after_s = course.again_s - course.shown_s
    calm_s = course.again_s - course.back_s
    record.add(f"started again {after_s:.2f} s after it was shown as complete")
    record.add(f"that is {calm_s:.2f} s after the store was back; stableWindowMs is {STABLE_S} s")
    return after_s > 1.0 and calm_s > STABLE_S


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
