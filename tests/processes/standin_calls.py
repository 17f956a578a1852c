"""The users' platform and its workers as separate processes, and calls to them."""

from __future__ import annotations

import json
from base64 import b64decode
from dataclasses import dataclass
from typing import Any, Final

from .harness import Fleet, Process, call, call_json, wait_for

POOL: Final = "portal"
STANDBY: Final = "spare"
QUEUE: Final = {
    "name": "quotes",
    "host": "a.example",
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
