"""A small real fleet on loopback: one platform stand-in, targets, entry instances."""

from __future__ import annotations

import json
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from heatherkeel.core.envelopes import encode, seal
from heatherkeel.core.models import RecordBody
from heatherkeel.fleetlog.models import AppendRequest

from .const import POOL, PRELOAD_BATCH, SERVICE, SERVICE_PATH, STREAM, TEAM, TOKEN
from .processes import Child, MeasurementError, call, start_child, wait_for

_SETTINGS = """
[instance]
id = "{name}"
zone = "{zone}"
zones = ["a", "b", "c"]
[platform]
address = "{platform}"
{platform_extra}
[teams.{team}]
token = "{token}"
"""


class MeasuredFleet:
    """Starts processes, publishes a catalogue, and ends what it started."""

    def __init__(self) -> None:
        self.temporary = tempfile.TemporaryDirectory(prefix="heatherkeel-measure-")
        self.folder = Path(self.temporary.name)
        self.children: list[Child] = []
        self.platform: Child | None = None

    def close(self) -> None:
        """End all processes of this fleet."""
        for child in reversed(self.children):
            child.close()
        self.temporary.cleanup()

    def start_platform(self) -> Child:
        """Start the platform stand-in."""
        self.platform = self.start("platform", ["standin", "platform"])
        return self.platform

    def start(self, name: str, args: list[str], *, module: str = "heatherkeel") -> Child:
        """Start one process of this fleet."""
        child = start_child(name, folder=self.folder, args=args, module=module)
        self.children.append(child)
        return child

    def start_target(self, name: str, *, zone: str, pool: str = POOL) -> Child:
        """Start a target stand-in and list it at the platform."""
        child = self.start(name, ["standin", "target", f"--instance={name}"])
        self.list_instance(name, zone=zone, address=child.http, pool=pool)
        return child

    def list_instance(self, name: str, *, zone: str, address: str, pool: str) -> None:
        """Write the platform's line about a worker."""
        line = {
            "id": name,
            "role": "worker",
            "zone": zone,
            "rack": f"{zone}-r1",
            "address": address,
            "state": "live",
            "boot_id": "1",
            "pool": pool,
        }
        call("PUT", self._platform().http, f"/instances/{name}", body=json.dumps(line).encode())

    def start_entry(self, name: str, *, zone: str, platform_extra: str = "") -> Child:
        """Start an entry process."""
        settings = self.folder / f"{name}.toml"
        text = _SETTINGS.format(
            name=name,
            zone=zone,
            platform=self._platform().http,
            platform_extra=platform_extra,
            team=TEAM,
            token=TOKEN,
        )
        settings.write_text(text, encoding="utf-8")
        return self.start(name, ["entry", f"--settings={settings}"])

    def preload(self, records: Iterable[RecordBody]) -> int:
        """Write records into the platform's log, in groups, and return how many."""
        now_ms = time.time_ns() // 1_000_000
        sealed = [encode(seal(body, author="bench", now_ms=now_ms)) for body in records]
        for start in range(0, len(sealed), PRELOAD_BATCH):
            batch = AppendRequest(records=sealed[start : start + PRELOAD_BATCH])
            response = call(
                "POST",
                self._platform().http,
                f"/streams/{STREAM}/records",
                body=msgspec.json.encode(batch),
            )
            if response.status != 200:
                raise MeasurementError(f"the platform refused records: {response.status}")
        return len(sealed)

    def platform_appends(self) -> int:
        """Return how many appends the platform stand-in has taken."""
        counts = call("GET", self._platform().http, "/standin/counts").content
        return int(json.loads(counts)["appends"])

    def put(self, entry: Child, name: str, value: dict[str, Any]) -> int:
        """Create a catalogue entry and return the offset of its record."""
        response = call(
            "PUT",
            entry.admin,
            f"/catalogue/{name}",
            body=json.dumps(value).encode(),
            headers={"authorization": f"Bearer {TOKEN}"},
        )
        if response.status not in (200, 201):
            raise MeasurementError(f"{name} was refused: {response.content!r}")
        return int(json.loads(response.content)["offset"])

    def publish_service(self, entry: Child, *, size: int) -> None:
        """Publish one pool with one service, and wait until the entry process serves it."""
        self.put(entry, POOL, {"kind": "pool", "owner": TEAM, "size": size})
        service = {
            "kind": "service",
            "owner": TEAM,
            "pool": POOL,
            "path_prefix": SERVICE_PATH,
            "budget": {"min_serving": 1},
        }
        self.put(entry, SERVICE, service)
        wait_for(
            lambda: call("GET", entry.http, f"{SERVICE_PATH}/0").status == 200,
            f"{entry.name} serves",
        )

    def _platform(self) -> Child:
        if self.platform is None:
            raise MeasurementError("the platform stand-in was not started")
        return self.platform
