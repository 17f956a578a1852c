"""One worker of a full pool goes down and up by turns while a job waits for room."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_3 import CannotRun, Child, Rig, free_port, has_trouble, route, run_case

FLAP_S = 6.5
PERIOD_S = 1.4
JOB = "00000000000000b1"
STEP = {"cpu": 1000, "memMb": 100}
ROW = {"zone": "a", "rack": "r1-a", "kind": "b"}


def play(rig: Rig) -> bool:
    rig.start_platform()
    rig.configure(1, [route("/q/", "pool", maxAttempts=4)], ["pool"])
    machines = [f"m-{number}" for number in range(10)]
    bind = f"127.0.0.1:{free_port()}"
    rows = {
        machine: {
            "zone": "abc"[number % 3],
            "kind": "b" if number == 9 else "a",
            "bind": bind if number == 9 else "",
        }
        for number, machine in enumerate(machines)
    }
    for machine, row in rows.items():
        rig.start_worker(machine, "pool", **row)
    for number in range(3):
        rig.start_instance(f"edge-{number}", number, zone="abc"[number], wait=False)
    rig.wait_serving("/q/")

    def submit(job: str, spec: str, count: int, **more: object) -> bool:
        body = {"spec": spec, "steps": [STEP | {"count": count, "estimatedMs": 2000} | more]}
        status, answer = rig.client("edge-0", "POST", f"/q/{job}", body)
        rig.note(f"POST {job}, {count} tasks, {spec!r}: {status} {answer}")
        return status == 200

    def starts() -> list[dict[str, object]]:
        return [line for machine in machines for line in rig.history(machine, "started")]

    def state() -> object:
        return rig.client("edge-1", "GET", f"/q/{JOB}")[1].get("state")

    submit("00000000000000f0", "work 60000", 72, requirements="a")
    submit("00000000000000f1", "work 2000", 8, requirements="b")
    while len(starts()) < 80:
        if time.monotonic() - rig.began > 40:
            raise CannotRun("the machines don't fill")
        time.sleep(0.05)
    rig.note("all ten machines are full; eight tasks on m-9 end soon")
    if not submit(JOB, "work 2000", 1):
        raise CannotRun("the job isn't accepted")
    worker: Child = rig.children["m-9"]

    def went_up() -> float:
        return max((line["at"] for line in rig.history("m-9", "life began")), default=0.0)

    def has_started() -> bool:
        return any(str(line["task"]).startswith(JOB) for line in starts())

    if has_trouble():
        while not has_started():
            time.sleep(0.02)
        began = time.monotonic()
        time.sleep(PERIOD_S / 4)
        while time.monotonic() < began + FLAP_S:
            worker.kill()
            rig.control("/machine", machine="m-9", pool="pool", **ROW, state="down")
            rig.note("m-9 goes down")
            down_s, down = time.monotonic(), time.time()
            # Its process takes a part of this time to come up.
            time.sleep(0.4)
            worker = rig.start_worker("m-9", "pool", **rows["m-9"])
            while went_up() < down:
                time.sleep(0.01)
            rig.note("m-9 is up again")
            time.sleep(max(0.0, down_s + PERIOD_S - time.monotonic()))
        rig.note("m-9 stays up from now on")
    seen = []
    until = time.monotonic() + 25
    while time.monotonic() < until:
        now = state()
        if not seen or seen[-1] != now:
            seen.append(now)
            rig.note(f"GET {JOB}: {now}")
        if now in ("complete", "failed"):
            break
        time.sleep(0.2)
    for line in rig.history("m-9"):
        if str(line.get("task", "")).startswith(JOB) or line["what"].startswith("life"):
            rig.note(
                f"m-9: {line['what']} {line.get('task', '')} {line.get('attempt', '')}"
                f" {line.get('outcome', '')} at {line['at'] % 1000:.3f}"
            )
    failed = [
        line
        for machine in machines
        for line in rig.history(machine, "ended")
        if line["outcome"] == "failed"
    ]
    rig.note(f"ends that are failed, at all workers: {len(failed)}")
    # LOST: shown as failed without cause; only ends `failed` count as attempts.
    return "failed" in seen and not failed


run_case(__file__, play)
