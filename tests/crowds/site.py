"""One real instance with low limits, its platform and a worker, and a watch on what it uses."""

from __future__ import annotations

import json
import logging
import resource
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, Final

import httpcore

from tests.processes.harness import Fleet, Process, call, wait_for
from tests.processes.standin_calls import (
    HOST,
    POOL,
    QUEUE,
    STANDBY,
    Platform,
    start_platform,
    start_worker,
)

MEMORY_MB: Final = 128
MAX_FDS: Final = 700
FILE_FDS: Final = 200
"""Descriptors that are kept for files, by the pages of the users."""
MB: Final = 1_000_000
SAMPLE_S: Final = 0.05
START_S: Final = 30.0
ANSWER_S: Final = 60.0
"""Longest wait for an ordinary job beside a crowd, in seconds; only a hang takes as long."""
STEP: Final = {"count": 1, "cpu": 100, "memMb": 10, "estimatedMs": 20}
JOB: Final = {"spec": "work 20", "steps": [STEP]}
_LOGGER = logging.getLogger(__name__)
_LISTENING: Final = "0A"
"""State of a listening socket in the kernel's table."""


@dataclass(kw_only=True)
class Door:
    """The addresses of an instance."""

    callers: str
    readiness: str
    peers: str


@dataclass(kw_only=True)
class Site:
    """An instance, beside what it needs to run jobs."""

    fleet: Fleet
    platform: Platform
    process: Process
    doors: Door
    job_count: int = 0

    def run_job(self) -> None:
        """Hand in one ordinary job, as a caller that retries, and wait until it is complete."""
        self.job_count += 1
        job = f"{self.job_count:016x}"
        wait_for(lambda: self.ask("POST", job, JOB) == 200, "accepted", timeout_s=ANSWER_S)
        wait_for(lambda: self.state(job) == "complete", "complete", timeout_s=ANSWER_S)

    def ask(self, method: str, job: str, body: Any = None) -> int:
        """Make one call; return its status, 0 without an answer."""
        return self._ask(method, job, body)[0]

    def state(self, job: str) -> str:
        """Return a job's state; empty if it isn't known."""
        return str(self._ask("GET", job, None)[1].get("state", ""))

    def _ask(self, method: str, job: str, body: Any) -> tuple[int, dict[str, Any]]:
        self.check_alive()
        content = b"" if body is None else json.dumps(body).encode()
        headers = {"host": HOST, "content-type": "application/json"}
        try:
            answer = call(method, self.doors.callers, f"/q/{job}", body=content, headers=headers)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return 0, {}
        found = json.loads(answer.content or b"{}")
        return answer.status, found

    def answers_probe(self) -> bool:
        """Return whether the readiness probe is answered."""
        try:
            call("GET", self.doors.readiness, "/heatherkeel/readyz")
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return False
        return True

    def metric(self, name: str) -> float:
        """Return the sum of a metric over its labels."""
        text = call("GET", self.doors.readiness, "/metrics").content.decode()
        lines = [line.rpartition(" ") for line in text.splitlines() if line.startswith(name)]
        return sum(float(value) for _, _, value in lines)

    def check_alive(self) -> None:
        """Fail if the process has ended."""
        assert self.process.popen.poll() is None, self.process.log.read_text()[-3000:]


def make_settings(
    platform: Platform, *, name: str = "edge-0", memory_mb: int = MEMORY_MB, more: str = ""
) -> str:
    """Return the settings file of an instance with low limits."""
    return f"""
        nodeName = "{name}"
        ip = "127.0.0.1"
        zone = "a"
        internalPortRange = [0, 0]
        heartbeatMs = 200
        placementAdvisor = "{platform.cloud}"
        [listenAddrs]
        frontend = "127.0.0.1:0"
        readiness = "127.0.0.1:0"
        [limits]
        memoryMb = {memory_mb}
        maxFds = {MAX_FDS}
        {more}
        [bounds]
        leaseMs = 300
        [platform]
        address = "{platform.store}"
        parts = 3
        [cloud]
        address = "{platform.cloud}"
        """


def start_instance(
    fleet: Fleet, platform: Platform, *, name: str = "edge-0", memory_mb: int = MEMORY_MB
) -> tuple[Process, Door]:
    """Start an instance that may open no more descriptors than its settings say."""
    settings = fleet.folder / f"{name}.toml"
    content = make_settings(platform, name=name, memory_mb=memory_mb)
    settings.write_text(content, encoding="utf-8")
    process = fleet.spawn(name, "instance", f"--settings={settings}")
    limit_descriptors(process)
    started = wait_for(lambda: find_start(process), f"{name} has started")
    known = (started["callers"], started["links"])
    # The readiness address stands in the log from the commit on that bounds the doors.
    readiness = started.get("readiness") or find_other_port(process, known)
    return process, Door(callers=started["callers"], readiness=readiness, peers=started["links"])


def limit_descriptors(process: Process) -> None:
    """Let a process open no more descriptors than its settings say."""
    resource.prlimit(process.popen.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))


def find_other_port(process: Process, known: tuple[str, ...]) -> str:
    """Return the listening address of a process that isn't known."""
    inodes = set(read_descriptors(process.popen.pid))
    for row in read_sockets():
        port = int(row[1].rpartition(":")[2], 16)
        address = f"127.0.0.1:{port}"
        if row[3] == _LISTENING and f"socket:[{row[9]}]" in inodes and address not in known:
            return address
    raise AssertionError("no other port is open")


def find_start(process: Process) -> Any:
    """Return the event that names the addresses."""
    return next((line for line in process.events() if line.get("event") == "start"), None)


def read_sockets() -> list[list[str]]:
    """Return the kernel's table of TCP sockets."""
    return [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]


def read_descriptors(pid: int) -> list[str]:
    """Return what the open descriptors of a process are."""
    found = []
    for path in Path(f"/proc/{pid}/fd").iterdir():
        with suppress(OSError):
            # One that was closed meanwhile is left out.
            found.append(str(path.readlink()))
    return found


def start_site(fleet: Fleet, *, memory_mb: int = MEMORY_MB) -> Site:
    """Start all and run one job, so that the instance owns its partitions."""
    platform = start_platform(fleet, "--partitions=3")
    platform.tell("/configure", version=1, routes=[QUEUE], services=[POOL, STANDBY])
    platform.add_machine("m0")
    start_worker(fleet, platform, "m0")
    process, doors = start_instance(fleet, platform, memory_mb=memory_mb)
    site = Site(fleet=fleet, platform=platform, process=process, doors=doors)
    site.run_job()
    return site


@dataclass(kw_only=True)
class Watch:
    """Samples what a process uses while a crowd is there."""

    process: Process
    peak_queued: int = 0
    """Most bytes that were received and not yet read, or not yet sent, at once."""
    peak_fds: int = 0
    stopping: threading.Event = field(default_factory=threading.Event)

    def __enter__(self) -> Watch:
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        err: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stopping.set()
        self.thread.join()
        _LOGGER.info("peak: %.1f MB, %d descriptors", self.peak_bytes() / MB, self.peak_fds)

    def peak_bytes(self) -> int:
        """Return the most memory that the process has had, with the kernel's buffers."""
        with suppress(OSError):
            lines = Path(f"/proc/{self.process.popen.pid}/status").read_text().splitlines()
            for line in lines:
                if line.startswith("VmHWM"):
                    return int(line.split()[1]) * 1024 + self.peak_queued
        return self.peak_queued

    def check(self) -> None:
        """Fail if the process has ended, or was over its memory or descriptors."""
        assert self.process.popen.poll() is None, self.process.log.read_text()[-3000:]
        assert self.peak_bytes() <= MEMORY_MB * MB
        assert self.peak_fds <= MAX_FDS - FILE_FDS

    def _run(self) -> None:
        pid = self.process.popen.pid
        while not self.stopping.wait(SAMPLE_S):
            with suppress(OSError):
                self._sample(pid)

    def _sample(self, pid: int) -> None:
        descriptors = read_descriptors(pid)
        self.peak_fds = max(self.peak_fds, len(descriptors))
        inodes = set(descriptors)
        queued = 0
        for row in read_sockets():
            if row[3] != _LISTENING and f"socket:[{row[9]}]" in inodes:
                sent, _, received = row[4].partition(":")
                queued += int(sent, 16) + int(received, 16)
        self.peak_queued = max(self.peak_queued, queued)


def wait_until(condition: Callable[[], bool], *, at_most_s: float) -> None:
    """Wait for a condition, but go on without it after some time."""
    deadline = time.monotonic() + at_most_s
    while not condition() and time.monotonic() < deadline:
        time.sleep(SAMPLE_S)
