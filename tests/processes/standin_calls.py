"""The users' platform and its workers as separate processes, and calls to them."""

from __future__ import annotations

import json
from base64 import b64decode
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from heatherkeel.measure.const import CALL_TIMEOUT_S

from .harness import Fleet, Process, call, call_json, wait_for

POOL: Final = "portal"
STANDBY: Final = "spare"
HOST: Final = "a.example"
QUEUE: Final = {
    "name": "quotes",
    "host": HOST,
    "pathPrefix": "/q/",
    "service": POOL,
    "maxAttempts": 2,
    "slackFactor": 1.6,
    "targetLatencyMs": 600,
}


@dataclass(kw_only=True)
class Platform:
    """The process of the users' platform, and its addresses."""

    process: Process
    store: str
    side_store: str
    cloud: str
    control: str

    def tell(self, path: str, **body: Any) -> Any:
        """Make one call to the control address, which has to be answered with 200."""
        answer = call("POST", self.control, path, body=json.dumps(body).encode())
        assert answer.status == 200, answer.content
        return json.loads(answer.content)

    def refusal(self, path: str, content: bytes) -> tuple[int, str]:
        """Make one call that is refused; return the status and the fault."""
        answer = call("POST", self.control, path, body=content)
        return answer.status, json.loads(answer.content)["error"]

    def add_machine(self, name: str, **changes: Any) -> None:
        """Add or change a machine."""
        known = {"machine": name, "pool": POOL, "zone": "a", "rack": "r1", "state": "up"}
        self.tell("/machine", **known | changes)

    def machine(self, name: str) -> Any:
        """Return a row of the machines' list."""
        rows = call_json("GET", self.cloud, "/heatherkeel/machines")["machines"]
        return next(row for row in rows if row["machine"] == name)

    def newest(self, topic: str) -> dict[str, Any]:
        """Return the newest value of each key in a topic."""
        path = f"/heatherkeel/log-newest?topic={topic}&part=0"
        items = call_json("GET", self.store, path)["items"]
        return {item["key"]: json.loads(b64decode(item["value"])) for item in items}

    def entries(self) -> dict[str, Any]:
        """Return the entries of all workers."""
        return self.newest("keyed.servers")


def start_platform(fleet: Fleet, *flags: str) -> Platform:
    """Start the platform and wait until its ports are open."""
    process = fleet.spawn("users-platform", "standin", "users-platform", *flags)
    listening = wait_for(process.find_listening, "the platform listens")
    names = ("store", "side_store", "cloud", "control")
    return Platform(process=process, **{name: listening[name] for name in names})


@dataclass(kw_only=True)
class Worker:
    """The process of a worker, and the file of what it did."""

    process: Process
    address: str
    history: Path

    def lines(self, what: str = "") -> list[Any]:
        """Return what it did, of one kind or all."""
        lines = map(json.loads, self.history.read_text(encoding="utf-8").splitlines())
        return [line for line in lines if what in ("", line["what"])]

    def life(self) -> Any:
        """Return the life that began last."""
        return self.lines("life began")[-1]

    def order(self, path: str, *, timeout_s: float = CALL_TIMEOUT_S, **body: Any) -> Any:
        """Make one call to its present life and return the answer."""
        answer = call(
            "POST",
            self.address,
            f"/heatherkeel/{path}",
            body=json.dumps(body).encode(),
            headers={"heatherkeel-target-instance": self.life()["worker"]},
            timeout_s=timeout_s,
        )
        assert answer.status == 200, (answer.status, answer.content)
        return json.loads(answer.content)

    def start_task(
        self,
        task: str,
        spec: str,
        *,
        lease_ms: int = 60_000,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Any:
        """Start a task under a lease."""
        clock_ms = self.order("hold")["clockMs"]
        return self.order(
            "run-start",
            task=task,
            attempt=1,
            spec=spec,
            deadlineMs=clock_ms + lease_ms,
            timeout_s=timeout_s,
        )

    def outcomes(self) -> dict[str, str]:
        """Return how each task ended."""
        return {line["task"]: line["outcome"] for line in self.lines("ended")}


def start_worker(
    fleet: Fleet, platform: Platform, machine: str, *flags: str, pool: str = POOL
) -> Worker:
    """Start a worker and wait until its port is its own."""
    history = fleet.folder / f"{machine}.jsonl"
    process = fleet.spawn(
        machine,
        "standin",
        "worker",
        f"--control={platform.control}",
        f"--machine={machine}",
        f"--pool={pool}",
        f"--history={history}",
        *flags,
    )
    listening = wait_for(process.find_listening, f"{machine} listens")
    return Worker(process=process, address=listening["http"], history=history)
