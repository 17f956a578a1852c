"""A small deployment for the scripts: stand-ins in this process, the program in separate ones.

The stand-ins are the project's own (`heatherkeel.standins.users_platform`). The instances are
started with the command of the deploy file, on loopback addresses and free ports.
"""

from __future__ import annotations

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
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import httpcore
import trio

from heatherkeel.helpers.asgi import Request
from heatherkeel.standins.fleet_worker import FleetWorker
from heatherkeel.standins.keyed_log import LENGTH_BYTES, Answer, KeyedLog
from heatherkeel.standins.users_platform import UsersPlatform
from heatherkeel.standins.worker_api import WorkerApi

ROOT = Path(__file__).resolve().parents[2]
HOST = "a.example"
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep"]


RECORD_BYTES = 262144
REQUEST_BYTES = 2097152
"""As in the settings that the pages show."""
MAX_REFUSALS_RECORDED = 20
"""Refused starts that are recorded one by one; all are counted."""


MAX_QUIET_EVENTS = 150
"""Events at workers that are recorded of a job with very many tasks."""


class CannotRunError(Exception):
    """The case couldn't run."""


def work_of(spec: str) -> float | None:
    """Return a task's duration from its spec: the last word is milliseconds or `lasts`."""
    duration = spec.rsplit(" ", 1)[-1]
    return None if duration == "lasts" else float(duration)


def _find_ports(count: int) -> list[int]:
    """Return free ports; all are held until they are found."""
    sockets = [socket.socket() for _ in range(count)]
    for found in sockets:
        found.bind(("127.0.0.1", 0))
    ports = [found.getsockname()[1] for found in sockets]
    for found in sockets:
        found.close()
    return ports


class BoundedLog(KeyedLog):
    """A log that refuses what is larger than the settings say (`recordBytes`, `requestBytes`)."""

    __slots__ = ("site",)

    def append(self, query: dict[str, str], body: bytes) -> Answer:
        """Append records, all or none."""
        place, largest = 0, 0
        while place < len(body):
            size = int.from_bytes(body[place : place + LENGTH_BYTES], "big")
            largest = max(largest, size)
            place += LENGTH_BYTES + size
        if largest > RECORD_BYTES or len(body) > REQUEST_BYTES:
            self.site.record_refused_append(query, largest=largest, total=len(body))
            return Answer(status=413, body={"reason": "too large"})
        return super().append(query, body)


class RecordingApi(WorkerApi):
    """Counts and records the starts that workers refuse."""

    __slots__ = ("refused", "site")

    async def async_handle(self, worker: FleetWorker, request: Request, body: bytes) -> Answer:
        """Answer one call to a worker."""
        answer = await super().async_handle(worker, request, body)
        if request.path.endswith("run-start") and answer.status != 200:
            self.refused += 1
            if self.refused <= MAX_REFUSALS_RECORDED:
                order = json.loads(body)
                self.site.record(
                    "worker: start refused",
                    worker=worker.id,
                    task=order["task"],
                    run=order["attempt"],
                    ticket=order.get("ticket", "none"),
                    status=answer.status,
                    answer=answer.body,
                )
        return answer


STARTED: list[subprocess.Popen[bytes]] = []
"""Every process that was started."""


def _end_all(number: int, frame: Any) -> None:
    """End what was started, when the case itself is told to stop."""
    for process in STARTED:
        if process.poll() is None:
            process.kill()
    os._exit(2)


class Instance:
    """One process of the program."""

    def __init__(self, *, name: str, folder: Path, site: Site) -> None:
        self.name = name
        self.site = site
        self.file = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        callers, readiness, control, link = _find_ports(4)
        self.callers = f"127.0.0.1:{callers}"
        self.readiness = f"127.0.0.1:{readiness}"
        self.file.write_text(f"""nodeName = "{name}"
role = "instance"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "127.0.0.1"
zone = "a"
region = "r"
internalPortRange = [{link}, {link}]
seeds = []
bootstrap = true
heartbeatMs = 1500
contracts = {json.dumps(site.contracts)}
controlMode = "push"
placementAdvisor = "{site.platform.cloud.address}"
[listenAddrs]
frontend = "{self.callers}"
readiness = "{self.readiness}"
control = "127.0.0.1:{control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
[bounds]
stableWindowMs = 3000
configApplyMs = 2000
holdMaxMs = 6000
leaseMs = 3000
status_s = 120
[platform]
address = "{site.platform.store.address}"
form = "log"
parts = {site.partitions}
recordBytes = {RECORD_BYTES}
requestBytes = {REQUEST_BYTES}
[cloud]
address = "{site.platform.cloud.address}"
ratePerS = 64.0
dutyPerS = 64.0
""")
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        with (ROOT / "deploy/system.toml").open("rb") as file:
            command = shlex.split(tomllib.load(file)["roles"]["instance"]["run"])
        command[0] = sys.executable if command[0] == "python3" else command[0]
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"HEATHERKEEL_NODE_FILE": str(self.file), "PYTHONPATH": str(ROOT / "target/deps")}
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT
            )
        STARTED.append(self.process)
        self.site.record("instance started", instance=self.name)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)
        self.site.record("signal sent", instance=self.name, signal=number.name)

    async def async_end(self, number: signal.Signals, *, grace_s: float = 6.0) -> None:
        """Send a signal, and SIGKILL after the grace time, as the platform does."""
        assert self.process is not None
        self.send_signal(number)
        until_s = time.monotonic() + grace_s
        while self.process.poll() is None and time.monotonic() < until_s:
            await trio.sleep(0.02)
        if self.process.poll() is None:
            self.send_signal(signal.SIGKILL)
        while self.process.poll() is None:
            await trio.sleep(0.02)
        self.site.record("instance ended", instance=self.name, status=self.process.returncode)

    def kill(self) -> None:
        """End the process, whatever it does."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def read_events(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of one kind of event."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            if f'"event": "{event}"' in line or f'"event":"{event}"' in line:
                found.append(json.loads(line))
        return found


class Site:
    """Stand-ins, instances and a caller, and the record of what was sent, answered and run."""

    def __init__(
        self, *, nursery: trio.Nursery, folder: Path, record: Path, partitions: int = 12
    ) -> None:
        self.nursery = nursery
        self.folder = folder
        self.partitions = partitions
        self.contracts = CONTRACTS
        self.began_s = time.monotonic()
        self.lines: list[str] = []
        self.record_file = record
        log = BoundedLog()
        log.site = self
        self.refused_appends = 0
        self.platform = UsersPlatform(work_of=work_of, log=log)
        self.workers = RecordingApi(faults=self.platform.faults)
        self.workers.refused, self.workers.site = 0, self
        self.platform.worker_api = self.workers
        self.instances: list[Instance] = []
        self.http = httpcore.AsyncConnectionPool(retries=0)
        self.told = 0
        self.quiet_job = ""
        """A job with very many tasks, of which only the first events are recorded one by one."""
        self.quiet_events = 0

    def record(self, what: str, **fields: Any) -> None:
        """Add a line to the record."""
        self._record_history()
        self._add(time.monotonic(), what, fields)

    def _add(self, at_s: float, what: str, fields: dict[str, Any]) -> None:
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{at_s - self.began_s:9.3f} s  {what}  {words}".rstrip())

    def _record_history(self) -> None:
        for event in self.platform.history[self.told :]:
            if self.quiet_job and event.task.startswith(self.quiet_job):
                self.quiet_events += 1
                if self.quiet_events > MAX_QUIET_EVENTS:
                    continue
            fields: dict[str, Any] = {"worker": event.life[0]}
            if event.task:
                fields |= {"task": event.task, "run": event.attempt}
            if event.outcome:
                fields["how"] = event.outcome
            self._add(event.at_s, f"worker: {event.what.value}", fields)
        self.told = len(self.platform.history)

    def record_refused_append(self, query: dict[str, str], *, largest: int, total: int) -> None:
        """Count an append that is larger than the store takes, and record the first few."""
        self.refused_appends += 1
        if self.refused_appends <= MAX_REFUSALS_RECORDED:
            self.record(
                "store: append refused",
                topic=query["topic"],
                part=query["part"],
                producer=query.get("producer", "none"),
                largest_record=largest,
                total=total,
                status=413,
            )

    def write_record(self) -> None:
        """Write the record, in order of time."""
        self._record_history()
        self.record_file.write_text("\n".join(sorted(self.lines)) + "\n")

    async def start(
        self, *, machines: int, spares: int, instances: int, others: Sequence[str] = ()
    ) -> None:
        """Start the stand-ins' ports, the machines and the instances' processes.

        Each of the `others` is a service besides the portal, with as many machines.
        """
        await self.platform.start(self.nursery)
        for service in others:
            for number in range(machines):
                await self.platform.async_add_machine(f"{service}-{number}", service)
        for number in range(machines):
            await self.platform.async_add_machine(f"m{number}", "portal")
        for number in range(spares):
            await self.platform.async_add_machine(f"s{number}", "spare")
        for number in range(instances):
            instance = Instance(name=f"edge-{number}", folder=self.folder, site=self)
            self.instances.append(instance)
            instance.start()

    async def async_wait_ready(self, instance: Instance, *, within_s: float = 25.0) -> None:
        """Wait until an instance's readiness is 200."""

        async def async_check() -> bool:
            return await self._async_get_readiness(instance) == 200

        await self.async_wait(async_check, within_s=within_s, what=f"{instance.name} is ready")

    async def _async_get_readiness(self, instance: Instance) -> int:
        with trio.move_on_after(1.0):
            try:
                url = f"http://{instance.readiness}/heatherkeel/readyz"
                return (await self.http.request("GET", url)).status
            except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
                return 0
        return 0

    async def async_wait(self, check: Any, *, within_s: float, what: str) -> None:
        """Wait until a condition holds; the case couldn't run if it doesn't."""
        until_s = time.monotonic() + within_s
        while not await check():
            if time.monotonic() > until_s:
                raise CannotRunError(f"not seen within {within_s} s: {what}")
            await trio.sleep(0.05)

    async def async_call(
        self, instance: Instance, method: str, path: str, body: Any = None
    ) -> tuple[int, dict[str, Any]]:
        """Call an instance as a client does; status 0 without an answer within 3 s."""
        status, answer = 0, {}
        with trio.move_on_after(3.0):
            try:
                response = await self.http.request(
                    method,
                    f"http://{instance.callers}{path}",
                    headers=[
                        ("host", HOST),
                        ("content-type", "application/json"),
                        ("heatherkeel-deadline-ms", "3000"),
                    ],
                    content=json.dumps(body).encode() if body is not None else None,
                )
                status, answer = response.status, json.loads(response.content or b"{}")
            except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
                status = 0
        self.record(
            "client: " + method, path=path, instance=instance.name, status=status, answer=answer
        )
        return status, answer


def run_case(folder: Path, async_case: Any, *, partitions: int = 12) -> int:
    """Run a case; returns 1 if the rule was broken, 0 if it held and 2 if it couldn't run."""
    status = 2

    async def async_main() -> None:
        nonlocal status
        with tempfile.TemporaryDirectory() as temporary:
            async with trio.open_nursery() as nursery:
                site = Site(
                    nursery=nursery,
                    folder=Path(temporary),
                    record=folder / "record.txt",
                    partitions=partitions,
                )
                try:
                    with trio.fail_after(110.0):
                        status = 1 if await async_case(site) else 0
                except (CannotRunError, trio.TooSlowError) as err:
                    site.record("couldn't run", why=repr(err))
                finally:
                    for instance in site.instances:
                        instance.kill()
                    site.record("ended", status=status)
                    site.write_record()
                    nursery.cancel_scope.cancel()

    signal.signal(signal.SIGTERM, _end_all)
    trio.run(async_main)
    return status
