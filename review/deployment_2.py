"""A small deployment of real processes on loopback addresses, for the scripts of this review.

Only the standard library is used. The program is started with the command of the deploy file; the
platform and the workers are the project's own stand-ins, as processes of their own.
"""

from __future__ import annotations

import asyncio
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HOST = "review.example"
ZONES = ("hall-a", "hall-b", "hall-c")
PARTITIONS = 12
LEASE_MAX_MS = 10_000
MACHINE_LEASE_MS = 3000


class CannotRunError(Exception):
    """The case can't run here; that is no verdict."""


def free_port() -> int:
    """Return a free port of 127.0.0.1."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    *,
    timeout_s: float = 3.0,
    headers: dict[str, str] | None = None,
) -> tuple[int | None, Any]:
    """Make one call on a connection of its own; the status is None if no whole answer came."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    content = None if body is None else json.dumps(body).encode()
    fields = {"Host": HOST, "Content-Type": "application/json", **(headers or {})}
    try:
        connection.request(method, path, content, fields)
        answer = connection.getresponse()
        content = answer.read()
    except (OSError, http.client.HTTPException):
        return None, None
    finally:
        connection.close()
    try:
        return answer.status, json.loads(content or b"{}")
    except ValueError:
        return answer.status, None


class Link:
    """A TCP proxy on loopback that can be cut, and carries what it has held back once it heals."""

    def __init__(self) -> None:
        self.target = ""
        self.address = ""
        self.is_cut = False
        self.loop = asyncio.new_event_loop()
        ready = threading.Event()
        threading.Thread(target=self._run, args=(ready,), daemon=True).start()
        if not ready.wait(5):
            raise CannotRunError("the proxy doesn't listen")

    def _run(self, ready: threading.Event) -> None:
        asyncio.set_event_loop(self.loop)
        server = self.loop.run_until_complete(asyncio.start_server(self._carry, "127.0.0.1", 0))
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        ready.set()
        self.loop.run_forever()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(":")
        ends = [writer]
        try:
            there = await asyncio.open_connection(host, int(port))
            ends.append(there[1])
            pumps = [
                asyncio.ensure_future(self._pump(reader, there[1])),
                asyncio.ensure_future(self._pump(there[0], writer)),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
        except OSError:
            pass
        for end in ends:
            end.transport.abort()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while piece := await reader.read(65536):
                while self.is_cut:
                    await asyncio.sleep(0.01)
                writer.write(piece)
                await writer.drain()
        except OSError:
            return


def deploy_command() -> list[str]:
    """Return the command of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
    return deploy["roles"]["instance"]["run"].split()


class Record:
    """What was sent, answered and run, by the seconds since the start."""

    def __init__(self, file: Path) -> None:
        self.file = file
        self.began_s = time.time()
        self.lock = threading.Lock()
        file.write_text("", encoding="utf-8")

    def add(self, text: str, *, at_s: float | None = None) -> None:
        """Append a line; `at_s` is in seconds since 1970."""
        after_s = (time.time() if at_s is None else at_s) - self.began_s
        with self.lock, self.file.open("a", encoding="utf-8") as stream:
            stream.write(f"{after_s:8.3f} {text}\n")


class Deployment:
    """Starts the processes, and ends exactly those, by their ids."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.children: dict[str, subprocess.Popen[bytes]] = {}
        self.edges: dict[str, str] = {}
        self.workers: dict[str, str] = {}
        self.control = self.store = self.cloud = ""

    def _spawn(self, name: str, command: list[str], env: dict[str, str] | None = None) -> None:
        path = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        path |= {"PYTHONPATH": str(ROOT / "target" / "deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.children[name] = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=path | (env or {}),
                start_new_session=True,
            )

    def lines(self, name: str) -> list[dict[str, Any]]:
        """Return what a process has logged as JSON."""
        found = []
        for line in (self.folder / f"{name}.log").read_bytes().split(b"\n")[:-1]:
            if line.startswith(b"{"):
                found.append(json.loads(line))
        return found

    def wait_event(self, name: str, event: str, *, within_s: float = 30.0) -> dict[str, Any]:
        """Wait until a process has logged an event, and return the line."""
        until_s = time.monotonic() + within_s
        while time.monotonic() < until_s:
            for line in self.lines(name):
                if line.get("event") == event:
                    return line
            if self.children[name].poll() is not None:
                raise CannotRunError(f"{name} ended with status {self.children[name].returncode}")
            time.sleep(0.02)
        raise CannotRunError(f"{name} did not log {event!r} in time")

    def start_platform(self) -> None:
        """Start the stand-in of the store, and of the list of machines."""
        if not (ROOT / "target" / "deps" / "trio").is_dir():
            raise CannotRunError("target/deps is missing: run the build of the deploy file first")
        command = [sys.executable, "-m", "heatherkeel", "standin", "users-platform"]
        flags = ["--bind", "127.0.0.1:0", "--partitions", str(PARTITIONS), "--entry-ttl-ms", "4500"]
        self._spawn("platform", [*command, *flags])
        listening = self.wait_event("platform", "listening")
        self.control, self.store = listening["control"], listening["store"]
        self.cloud = listening["cloud"]

    def tell(self, path: str, body: Any) -> Any:
        """Tell the platform's stand-in something."""
        status, answer = call(self.control, "POST", path, body)
        if status != 200:
            raise CannotRunError(f"the platform's stand-in answered {status} {answer} to {path}")
        return answer

    def configure(self, version: int, routes: list[dict[str, Any]], services: list[str]) -> None:
        """Write a configuration as the operator does."""
        config = {"version": version, "routes": routes, "services": [*services, "spare"]}
        self.tell("/configure", config)
        self.record.add(f"operator: version {version}, routes {[r['pathPrefix'] for r in routes]}")

    def start_worker(self, machine: str, pool: str, zone: str, *, announce: str = "") -> None:
        """Start a worker on a machine; `announce` is the address that it reports."""
        row = {"machine": machine, "pool": pool, "zone": zone, "rack": f"r-{zone}", "state": "up"}
        self.tell("/machine", row)
        command = [sys.executable, "-m", "heatherkeel", "standin", "worker"]
        flags = ["--control", self.control, "--machine", machine, "--pool", pool]
        flags += ["--history", str(self.history(machine)), "--bind", "127.0.0.1:0"]
        flags += ["--announce", announce] if announce else []
        self._spawn(machine, [*command, *flags])
        self.workers[machine] = self.wait_event(machine, "listening")["http"]

    def history(self, machine: str) -> Path:
        """Return the file in which a worker writes what it really did."""
        return self.folder / f"{machine}.history"

    def start_edge(self, name: str, zone: str, *, store: str = "", contracts: str = "") -> None:
        """Start an instance of the program with the command of the deploy file."""
        front, ready, inner = free_port(), free_port(), free_port()
        settings = f"""
nodeName = "{name}"
role = "instance"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "127.0.0.1"
zone = "{zone}"
region = "region"
internalPortRange = [{inner}, {inner}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "upkeep"{contracts}]
controlMode = "push"
placementAdvisor = "{self.cloud}"
[listenAddrs]
frontend = "127.0.0.1:{front}"
readiness = "127.0.0.1:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
stableWindowMs = 3000
configApplyMs = 2000
holdMaxMs = {LEASE_MAX_MS}
leaseMs = {MACHINE_LEASE_MS}
status_s = 120
[platform]
address = "{store or self.store}"
form = "log"
parts = {PARTITIONS}
recordBytes = 262144
requestBytes = 2097152
[cloud]
address = "{self.cloud}"
"""
        file = self.folder / f"{name}.toml"
        file.write_text(settings, encoding="utf-8")
        self._spawn(name, deploy_command(), {"HEATHERKEEL_NODE_FILE": str(file)})
        self.edges[name] = f"127.0.0.1:{front}"

    def wait_served(self, prefix: str, *, within_s: float = 30.0) -> None:
        """Wait until each instance answers callers."""
        until_s = time.monotonic() + within_s
        for name, address in self.edges.items():
            while call(address, "GET", prefix)[0] != 200:
                if self.children[name].poll() is not None:
                    raise CannotRunError(
                        f"{name} ended with status {self.children[name].returncode}"
                    )
                if time.monotonic() > until_s:
                    raise CannotRunError(f"{name} doesn't serve in time")
                time.sleep(0.1)

    def find_owner(self, job_id: str, *, within_s: float = 5.0) -> str:
        """Return the instance that owns a job's partition, by its log."""
        until_s = time.monotonic() + within_s
        while time.monotonic() < until_s:
            for name in self.edges:
                lines = self.lines(name)
                if any(x.get("event") == "job_taken" and x.get("job") == job_id for x in lines):
                    return name
            time.sleep(0.05)
        raise CannotRunError(f"no instance has taken job {job_id}")

    def kill(self, name: str) -> None:
        """Kill a process that this deployment started."""
        self.children[name].kill()
        self.children[name].wait()
        self.record.add(f"killed {name}")

    def happenings(self) -> list[dict[str, Any]]:
        """Return what all workers did, in order."""
        found = []
        for machine in self.workers:
            for line in self.history(machine).read_bytes().split(b"\n")[:-1]:
                found.append(json.loads(line) | {"machine": machine})
        return sorted(found, key=lambda line: line["at"])

    def close(self) -> None:
        """End all processes that were started here."""
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children.values():
            child.wait()
        if os.environ.get("KEEP_LOGS"):
            sys.stderr.write(f"{self.folder}\n")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(prefix: str, service: str) -> dict[str, Any]:
    """Return a queue as the operator writes it."""
    return {
        "name": f"queue-{prefix.strip('/')}",
        "host": HOST,
        "pathPrefix": prefix,
        "service": service,
        "maxAttempts": 3,
        "slackFactor": 1.6,
        "targetLatencyMs": 600,
    }


def run_case(folder: Path, case: Any) -> int:
    """Run `case(deployment, record, trouble)` and return the script's exit status.

    `case` returns whether the rule was broken.
    """

    def end(number: int, frame: Any) -> None:
        """Raise an error, so that all processes are ended before the script is."""
        raise CannotRunError(f"signal {number}")

    signal.signal(signal.SIGTERM, end)
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("with the disruption" if trouble else "without the disruption (TROUBLE=0)")
    deployment = Deployment(record)
    try:
        is_broken = case(deployment, record, trouble)
    except CannotRunError as error:
        record.add(f"the case couldn't run: {error}")
        return 2
    finally:
        deployment.close()
    record.add("the rule was BROKEN" if is_broken else "the rule held")
    return 1 if is_broken else 0
