"""Starts a small deployment for the cases of this review, and ends exactly what it has started.

The project's own stand-ins play the platform and the workers; the instances are started with the
command of the deploy file. All addresses are loopback addresses. Standard library only.
"""

from __future__ import annotations

import http.client
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
RUN = shlex.split(
    tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))["roles"]["instance"][
        "run"
    ]
)
HELD, BROKEN, NOT_RUN = 0, 1, 2
CONTRACTS = (
    *("base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep"),
    "sharing",
)


class CannotRun(Exception):
    """The case can't be run."""


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(ip: str = "127.0.0.1") -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


def call(
    method: str,
    address: str,
    path: str,
    body: Any = None,
    *,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> tuple[int, Any]:
    """Make one call; the status is 0 if no whole answer came."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        content = None if body is None else json.dumps(body)
        named = {"Content-Type": "application/json", **(headers or {})}
        connection.request(method, path, body=content, headers=named)
        response = connection.getresponse()
        data = response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()
    try:
        return response.status, json.loads(data or b"{}")
    except ValueError:
        return response.status, {}


def route(prefix: str, service: str, *, name: str = "", **more: Any) -> dict[str, Any]:
    return {
        "name": name or prefix.strip("/"),
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": 600,
        "priority": 0,
        "service": service,
        "maxAttempts": 3,
        "slackFactor": 1.6,
        **more,
    }


class Child:
    def __init__(self, name: str, popen: subprocess.Popen[bytes], log: Path) -> None:
        self.name, self.popen, self.log = name, popen, log

    def lines(self) -> list[dict[str, Any]]:
        found = []
        for line in self.log.read_bytes().splitlines():
            if line.startswith(b"{"):
                try:
                    found.append(json.loads(line))
                except ValueError:
                    continue
        return found

    def wait_event(self, event: str, timeout: float = 20.0) -> dict[str, Any]:
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            for line in self.lines():
                if line.get("event") == event:
                    return line
            if self.popen.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.popen.returncode}")
            time.sleep(0.02)
        raise CannotRun(f"{self.name} did not log {event}")

    def kill(self) -> None:
        self.popen.send_signal(signal.SIGKILL)
        self.popen.wait()

    def freeze(self) -> None:
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        self.popen.send_signal(signal.SIGCONT)


class Rig:
    """The processes of one run, and the record of what was sent, answered and run."""

    def __init__(self, case: Path, *, partitions: int = 12, bounds: dict[str, Any] | None = None):
        self.case = case
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = (case / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()
        self.partitions = partitions
        self.children: dict[str, Child] = {}
        self.instances: dict[str, str] = {}
        """Addresses for callers."""
        self.seeds: list[str] = []
        self.ports: dict[str, int] = {}
        self.platform: dict[str, Any] = {}
        self.bounds = {
            "stableWindowMs": 3000,
            "ackMs": 4000,
            "drainMs": 2000,
            "graceS": 6,
            "configApplyMs": 2000,
            "holdMaxMs": 10000,
            "stopTimeoutMs": 400,
            "gangTimeoutMs": 3000,
            "cancel_ms": 3000,
            "visible_ms": 3000,
            "finish_s": 14,
            "status_s": 120,
            "leaseMs": 3000,
            **(bounds or {}),
        }

    def note(self, text: str) -> None:
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.record.write(line + "\n")
        self.record.flush()
        print(line, flush=True)

    def spawn(self, name: str, command: list[str], **env: str) -> Child:
        log = self.folder / f"{name}.log"
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with log.open("wb") as stream:
            popen = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=stream,
                stderr=stream,
                env={**kept, "PYTHONPATH": str(ROOT / "target/deps"), **env},
            )
        child = self.children[name] = Child(name, popen, log)
        return child

    def standin(self, name: str, *args: str) -> Child:
        return self.spawn(name, [RUN[0], "-m", "heatherkeel", "standin", *args])

    def start_platform(self) -> None:
        child = self.standin(
            "platform",
            "users-platform",
            f"--partitions={self.partitions}",
            "--entry-ttl-ms=4500",
            "--away-ms=1500",
        )
        self.platform = child.wait_event("listening")

    def control(self, path: str, **body: Any) -> None:
        status, answer = call("POST", self.platform["control"], path, body)
        if status != 200:
            raise CannotRun(f"control {path}: {status} {answer}")

    def configure(
        self,
        version: int,
        routes: list[dict[str, Any]],
        services: list[str],
        *,
        tenants: list[dict[str, Any]] | None = None,
    ) -> None:
        self.note(f"operator: configuration {version}")
        self.control(
            "/configure",
            version=version,
            routes=routes,
            services=[*services, {"name": "spare", "standby": True}],
            workspaces=tenants or [],
        )

    def start_worker(
        self,
        machine: str,
        pool: str,
        *,
        zone: str = "a",
        announce: str = "",
        bind: str = "",
        kind: str = "a",
        drain_s: float = 1.0,
    ) -> Child:
        row = {"machine": machine, "pool": pool, "zone": zone, "rack": f"r1-{zone}", "kind": kind}
        self.control("/machine", state="up", **row)
        args = [
            f"--control={self.platform['control']}",
            f"--machine={machine}",
            f"--pool={pool}",
            f"--history={self.folder / machine}.history",
            f"--drain-s={drain_s}",
        ]
        if announce:
            args.append(f"--announce={announce}")
        if bind:
            args.append(f"--bind={bind}")
        return self.standin(machine, "worker", *args)

    def history(self, machine: str, what: str = "") -> list[dict[str, Any]]:
        file = self.folder / f"{machine}.history"
        if not file.exists():
            return []
        lines = [json.loads(line) for line in file.read_bytes().splitlines() if line]
        return [line for line in lines if what in ("", line["what"])]

    def start_instance(
        self,
        name: str,
        number: int,
        *,
        zone: str = "a",
        store: str = "",
        cloud: str = "",
        advisor: str = "",
        wait: bool = True,
        contracts: tuple[str, ...] = CONTRACTS,
        more: str = "",
    ) -> Child:
        ip = f"127.0.1.{number + 10}"
        if not self.ports:
            self.ports = {key: free_port(ip) for key in ("front", "ready", "control", "inner")}
        file = self.folder / f"{name}.toml"
        if len(self.seeds) < 3 and f"{ip}:{self.ports['control']}" not in self.seeds:
            self.seeds.append(f"{ip}:{self.ports['control']}")
        text = [
            f'nodeName = "{name}"',
            'role = "instance"',
            'machineClass = "edge"',
            'serves = ["edge","control_plane"]',
            f'ip = "{ip}"',
            f'zone = "{zone}"',
            'region = "r"',
            f"internalPortRange = [{self.ports['inner']}, {self.ports['inner']}]",
            f"seeds = {json.dumps(self.seeds)}",
            "bootstrap = true",
            'discovery = "platform"',
            'entry = "virtual_ip"',
            "heartbeatMs = 1500",
            f"contracts = {json.dumps(contracts)}",
            'controlMode = "push"',
            f'placementAdvisor = "{advisor or self.platform["cloud"]}"',
            "[zones]",
            'a = "r"',
            'b = "r"',
            'c = "r"',
            "[listenAddrs]",
            f'frontend = "{ip}:{self.ports["front"]}"',
            f'readiness = "{ip}:{self.ports["ready"]}"',
            f'control = "{ip}:{self.ports["control"]}"',
            "[limits]",
            "cpuShare = 0.537",
            "cores = 2",
            "memoryMb = 300",
            "maxFds = 4100",
            "linkMbps = 1000.0",
            "diskMb = 0",
            "[bounds]",
            *(f"{key} = {json.dumps(value)}" for key, value in self.bounds.items()),
            "[platform]",
            f'address = "{store or self.platform["store"]}"',
            'form = "log"',
            "writesPerS = 600",
            "readsPerS = 2000",
            f"parts = {self.partitions}",
            "recordBytes = 262144",
            "requestBytes = 2097152",
            "keep_s = 300",
            "ttlMinMs = 1000",
            "[cloud]",
            f'address = "{cloud or self.platform["cloud"]}"',
            "ratePerS = 64.0",
            "dutyPerS = 64.0",
            more,
        ]
        file.write_text("\n".join(text) + "\n", encoding="utf-8")
        child = self.spawn(name, RUN, HEATHERKEEL_NODE_FILE=str(file))
        self.instances[name] = f"{ip}:{self.ports['front']}"
        if wait:
            child.wait_event("start")
        return child

    def client(
        self,
        instance: str,
        method: str,
        path: str,
        body: Any = None,
        *,
        timeout: float = 3.0,
        key: str = "",
    ) -> tuple[int, Any]:
        headers = {"Host": HOST, "Heatherkeel-Deadline-Ms": str(round(1000 * timeout))}
        if key:
            headers["Heatherkeel-Key"] = key
        return call(
            method, self.instances[instance], path, body, headers=headers, timeout=timeout + 0.5
        )

    def wait_serving(self, path: str, timeout: float = 30.0) -> None:
        """Wait until each instance answers for a queue."""
        until = time.monotonic() + timeout
        for name in self.instances:
            while self.client(name, "GET", path)[0] != 200:
                if time.monotonic() > until:
                    raise CannotRun(f"{name} doesn't serve {path}")
                time.sleep(0.1)

    def owners(self, partitions: set[int] | None = None) -> dict[int, str]:
        """Return which instance holds which partition, by the store's word."""
        _, answer = call(
            "GET", self.platform["store"], "/heatherkeel/log-owners?group=heatherkeel-owners"
        )
        by_ip = {address.split(":")[0]: name for name, address in self.instances.items()}
        return {
            row[1]: by_ip.get(row[2].split(":")[0], row[2])
            for row in answer.get("parts", [])
            if row[0] == "keyed.work"
        }

    def close(self) -> None:
        for child in self.children.values():
            if child.popen.poll() is None:
                child.thaw()
                child.popen.kill()
        for child in self.children.values():
            child.popen.wait()
        self.record.close()


def run_case(case: str, play: Any) -> None:
    """Run `play(rig)`, which returns whether the rule was broken, and exit accordingly."""
    rig = Rig(Path(case).resolve().parent)
    result = NOT_RUN
    try:
        result = BROKEN if play(rig) else HELD
    except CannotRun as err:
        rig.note(f"the case could not run: {err}")
    except Exception as err:  # A fault of the case itself must not count as a broken rule.
        rig.note(f"the case failed: {err!r}")
    finally:
        rig.note({HELD: "HELD", BROKEN: "BROKEN", NOT_RUN: "NOT RUN"}[result])
        rig.close()
    sys.exit(result)
