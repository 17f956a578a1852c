"""Starts the program's processes for a measurement, reads what they use, ends exactly those."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import httpcore

from .const import CALL_TIMEOUT_S, POLL_S, START_TIMEOUT_S, STOP_TIMEOUT_S

ValueT = TypeVar("ValueT")


class MeasurementError(Exception):
    """A measurement could not be taken; the message says at which step."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """What a process has used: processor seconds since its start, resident bytes now."""

    cpu_s: float
    resident_bytes: int


@dataclass(kw_only=True)
class Child:
    """One process that this measurement started, and the addresses that it logged."""

    name: str
    popen: subprocess.Popen[bytes]
    log: Path
    http: str = ""
    admin: str = ""

    def usage(self) -> Usage:
        """Read the process's usage from the kernel."""
        return read_usage(self.popen.pid)

    def close(self) -> None:
        """End it, politely first."""
        if self.popen.poll() is not None:
            return
        self.popen.terminate()
        with suppress(subprocess.TimeoutExpired):
            self.popen.wait(timeout=STOP_TIMEOUT_S)
        if self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()


def read_usage(pid: int) -> Usage:
    """Read what a process has used, from /proc/PID/stat and statm."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    resident_pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="utf-8").split()[1])
    return Usage(
        cpu_s=ticks / os.sysconf("SC_CLK_TCK"),
        resident_bytes=resident_pages * os.sysconf("SC_PAGE_SIZE"),
    )


def start_child(name: str, *, folder: Path, args: list[str], module: str = "heatherkeel") -> Child:
    """Start a module as a process and wait until it logs that it listens."""
    log = folder / f"{name}.log"
    with log.open("wb") as stream:
        popen = subprocess.Popen(
            [sys.executable, "-m", module, *args], stdout=stream, stderr=stream
        )
    child = Child(name=name, popen=popen, log=log)
    try:
        listening = wait_for(lambda: _find_listening(child), f"{name} listens")
    except MeasurementError:
        child.close()
        raise
    child.http = listening["http"]
    child.admin = listening.get("admin", "")
    return child


def _find_listening(child: Child) -> dict[str, Any] | None:
    text = child.log.read_text(encoding="utf-8")
    if child.popen.poll() is not None:
        raise MeasurementError(f"{child.name} ended: {text[-2000:]}")
    events = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    found: list[dict[str, Any]] = [e for e in events if e.get("event") == "listening"]
    return found[-1] if found else None


def wait_for(
    condition: Callable[[], ValueT | None], what: str, *, timeout_s: float = START_TIMEOUT_S
) -> ValueT:
    """Poll until the condition gives a true value; raises `MeasurementError` after the timeout."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise MeasurementError(f"never happened: {what}")


def call(
    method: str,
    address: str,
    path: str,
    *,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> httpcore.Response:
    """Make one HTTP call on a connection of its own."""
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
    with httpcore.ConnectionPool(retries=0) as pool:
        return pool.request(
            method,
            f"http://{address}{path}",
            headers=list((headers or {}).items()),
            content=body,
            extensions={"timeout": timeout},
        )
