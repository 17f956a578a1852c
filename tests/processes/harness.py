"""Starts the real program as separate processes on loopback, and ends exactly those."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, Final

import httpcore

from heatherkeel.measure.processes import call as call
from heatherkeel.measure.processes import wait_for as wait_for

TOKEN: Final = "sheetal-token"


def call_json(method: str, address: str, path: str, value: Any = None, **options: Any) -> Any:
    """Make one call with a JSON body and return the decoded answer."""
    body = b"" if value is None else json.dumps(value).encode()
    return json.loads(call(method, address, path, body=body, **options).content)


@dataclass(kw_only=True)
class Process:
    """One running process, and the addresses that it logged."""

    name: str
    popen: subprocess.Popen[bytes]
    log: Path
    log_start: int = 0
    """Bytes that an earlier process of this name had logged."""
    http: str = ""
    admin: str = ""
    peers: str = ""

    def kill(self) -> None:
        """Kill it at once, as a lost machine would."""
        self.popen.send_signal(signal.SIGKILL)
        self.popen.wait()

    def freeze(self) -> None:
        """Stop it without its knowing, as a paused machine would be."""
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let it go on."""
        self.popen.send_signal(signal.SIGCONT)

    def close(self) -> None:
        """End it, politely first."""
        if self.popen.poll() is not None:
            return
        self.thaw()
        self.popen.terminate()
        with suppress(subprocess.TimeoutExpired):
            self.popen.wait(timeout=15)
        if self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def events(self) -> list[dict[str, Any]]:
        """Return the JSON lines that it has logged so far."""
        lines = self.log.read_bytes()[self.log_start :].decode().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def has_logged(self, event: str) -> bool:
        """Say whether it has logged an event of this name."""
        return any(line.get("event") == event for line in self.events())

    def find_listening(self) -> dict[str, Any] | None:
        """Return the event that names the open ports."""
        if self.popen.poll() is not None:
            raise AssertionError(f"{self.name} ended:\n{self.log.read_text(encoding='utf-8')}")
        found = [event for event in self.events() if event.get("event") == "listening"]
        return found[-1] if found else None


def in_force(entry: Process, offset: int) -> bool:
    """Say whether an entry process has folded the offset."""
    return bool(call_json("GET", entry.admin, "/status")["offset_in_force"] >= offset)


@dataclass(kw_only=True)
class Fleet:
    """All processes of one test."""

    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="heatherkeel-")))
    processes: dict[str, Process] = field(default_factory=dict)

    def start(self, name: str, *args: str) -> Process:
        """Start the program and wait until it listens."""
        process = self.spawn(name, *args)
        listening = wait_for(process.find_listening, f"{name} listens")
        process.http = listening["http"]
        process.admin = listening.get("admin", "")
        process.peers = listening.get("peers", "")
        return process

    def spawn(self, name: str, *args: str) -> Process:
        """Start the program and return at once."""
        log = self.folder / f"{name}.log"
        log_start = log.stat().st_size if log.exists() else 0
        with log.open("ab") as stream:
            popen = subprocess.Popen(
                [sys.executable, "-m", "heatherkeel", *args], stdout=stream, stderr=stream
            )
        process = Process(name=name, popen=popen, log=log, log_start=log_start)
        self.processes[name] = process
        return process

    def start_platform(self) -> Process:
        """Start the platform stand-in."""
        return self.start("platform", "standin", "platform")

    def start_target(self, name: str, *, zone: str, rack: str = "r1", pool: str = "") -> Process:
        """Start a target stand-in and list it at the platform."""
        process = self.start(name, "standin", "target", f"--instance={name}")
        self.list_target(process, zone=zone, rack=rack, pool=pool)
        return process

    def list_target(
        self, process: Process, *, zone: str, rack: str = "r1", pool: str = "", state: str = "live"
    ) -> None:
        """Write the platform's line about a target."""
        line = {
            "id": process.name,
            "role": "worker",
            "zone": zone,
            "rack": f"{zone}-{rack}",
            "address": process.http,
            "state": state,
            "boot_id": "1",
            "pool": pool,
        }
        call_json("PUT", self.processes["platform"].http, f"/instances/{process.name}", line)

    def start_entry(self, name: str, *, zone: str, extra: str = "", platform: str = "") -> Process:
        """Start an entry process, which stops without a wait unless `extra` has a section on it.

        `platform` holds more lines of the section on the platform.
        """
        if "[stop]" not in extra:
            extra += "\n[stop]\nreadiness_wait_ms = 0\n"
        settings = self.folder / f"{name}.toml"
        text = self.entry_settings(name, zone=zone, platform=platform) + extra
        settings.write_text(text, encoding="utf-8")
        return self.start(name, "entry", f"--settings={settings}")

    def entry_settings(self, name: str, *, zone: str, platform: str = "") -> str:
        """Return the settings of an entry process."""
        return f"""
            [instance]
            id = "{name}"
            zone = "{zone}"
            zones = ["a", "b", "c"]
            [platform]
            address = "{self.processes["platform"].http}"
            instances_interval_ms = 100
            {platform}
            [teams.sheetal]
            token = "{TOKEN}"
        """

    def set_faults(self, name: str, **faults: Any) -> None:
        """Set what is wrong with a stand-in; what isn't named is well again."""
        call_json("PUT", self.processes[name].http, "/standin/faults", faults)

    def counts(self, name: str) -> Any:
        """Return a stand-in's counts."""
        return call_json("GET", self.processes[name].http, "/standin/counts")

    def put_entry(
        self, entry: Process, name: str, value: dict[str, Any], *, version: int = 0
    ) -> httpcore.Response:
        """Publish a catalogue edit through one entry process."""
        headers = {"authorization": f"Bearer {TOKEN}", "if-match": f'"{version}"'}
        if version == 0:
            headers.pop("if-match")
        return call(
            "PUT",
            entry.admin,
            f"/catalogue/{name}",
            body=json.dumps(value).encode(),
            headers=headers,
        )

    def wait_in_force(self, entries: list[Process], offset: int) -> None:
        """Wait until every one of the entry processes has folded the offset."""
        for entry in entries:
            wait_for(partial(in_force, entry, offset), f"offset {offset} at {entry.name}")

    def close(self) -> None:
        """End all processes that this test started."""
        for process in reversed(self.processes.values()):
            process.close()
