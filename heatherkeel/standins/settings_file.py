"""Writes a process's settings file as the users' platform does."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsFile:
    """What differs between the settings of two processes; addresses are `host:port`."""

    name: str
    zone: str
    store: str
    cloud: str
    internal_port: int = 0
    partitions: int = 3
    longest_lease_ms: int = 6000
    machine_lease_ms: int = 300
    heartbeat_ms: int = 1500
    status_s: int = 120

    def write(self, file: Path) -> None:
        """Write the file in one step, so that nobody reads half of it."""
        port = self.internal_port
        lines = [
            f"nodeName = {json.dumps(self.name)}",
            'ip = "127.0.0.1"',
            f"zone = {json.dumps(self.zone)}",
            f"internalPortRange = [{port}, {port}]",
            f"heartbeatMs = {self.heartbeat_ms}",
            f"placementAdvisor = {json.dumps(self.cloud)}",
            "[listenAddrs]",
            'frontend = "127.0.0.1:0"',
            'readiness = "127.0.0.1:0"',
            "[bounds]",
            f"holdMaxMs = {self.longest_lease_ms}",
            f"leaseMs = {self.machine_lease_ms}",
            f"status_s = {self.status_s}",
            "[platform]",
            f"address = {json.dumps(self.store)}",
            f"parts = {self.partitions}",
            "[cloud]",
            f"address = {json.dumps(self.cloud)}",
        ]
        written = file.with_suffix(".new")
        written.write_text("\n".join(lines) + "\n", encoding="utf-8")
        written.replace(file)
