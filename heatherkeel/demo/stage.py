"""Starts and ends the demo's processes: a platform, targets in racks, entry instances in zones."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec
import trio

from heatherkeel.load.run import async_read_runs
from heatherkeel.measure.const import POOL, SERVICE, TOKEN
from heatherkeel.measure.fleet import MeasuredFleet
from heatherkeel.measure.processes import Child, call

from .const import (
    DEADLINE_MS,
    ENTRY_SETTINGS,
    FIRST_BOOT,
    POOL_ENTRY,
    RACKS,
    WORK_MS,
    ZONES,
    service_entry,
)
from .models import TargetTotals


class Stage:
    """All processes of the demo."""

    def __init__(self) -> None:
        self.fleet = MeasuredFleet()
        self.entries: dict[str, Child] = {}
        self.targets: list[Child] = []

    def start(self) -> None:
        """Start everything and publish the first catalogue entries."""
        platform = self.fleet.start_platform()
        racks = [(zone, f"{zone}-{rack}") for zone in ZONES for rack in RACKS]
        with ThreadPoolExecutor() as starters:
            targets = starters.map(lambda place: self._start_target(platform, *place), racks)
            entries = starters.map(self._start_entry, ZONES)
            self.targets = list(targets)
            self.entries = dict(zip(ZONES, entries, strict=True))
        first = self.entries[ZONES[0]]
        self.fleet.put(first, POOL, POOL_ENTRY)
        self.fleet.put(first, SERVICE, service_entry(deadline_ms=DEADLINE_MS))

    def close(self) -> None:
        """End exactly the processes that were started here."""
        self.fleet.close()

    def _start_entry(self, zone: str) -> Child:
        return self.fleet.start_entry(f"entry-{zone}", zone=zone, platform_extra=ENTRY_SETTINGS)

    def _start_target(self, platform: Child, zone: str, rack: str) -> Child:
        name = f"target-{rack}"
        child = self.fleet.start(name, ["standin", "target", f"--instance={name}"])
        faults = {"work_ms": WORK_MS}
        call("PUT", child.http, "/standin/faults", body=json.dumps(faults).encode())
        line = {
            "id": name,
            "role": "worker",
            "zone": zone,
            "rack": rack,
            "address": child.http,
            "state": "live",
            "boot_id": FIRST_BOOT,
            "pool": POOL,
        }
        call("PUT", platform.http, f"/instances/{name}", body=json.dumps(line).encode())
        return child

    async def async_put(self, name: str, value: dict[str, Any], *, version: int = 0) -> int:
        """Publish one edit through the first entry instance, and return its record's offset."""
        headers = {"authorization": f"Bearer {TOKEN}"}
        if version:
            headers["if-match"] = f'"{version}"'
        answer = await async_call(
            "PUT", self.entries[ZONES[0]].admin, f"/catalogue/{name}", value, headers=headers
        )
        return int(answer["offset"])

    async def async_get(self, zone: str, path: str) -> Any:
        """Read from the administration API of one entry instance."""
        return await async_call("GET", self.entries[zone].admin, path)

    async def async_totals(self) -> TargetTotals:
        """Add up what the targets counted."""
        totals = TargetTotals()
        for target in self.targets:
            counts = await async_call("GET", target.http, "/standin/counts")
            totals.rebooted += counts["boot_id"] != FIRST_BOOT
            totals.cut += counts["cut"]
        return totals

    async def async_runs(self) -> dict[str, int]:
        """Return how often the targets ran each request id, all together."""
        runs: dict[str, int] = {}
        for target in self.targets:
            for request_id, count in (await async_read_runs(target.http) or {}).items():
                runs[request_id] = runs.get(request_id, 0) + count
        return runs


async def async_call(
    method: str,
    address: str,
    path: str,
    value: Any = None,
    headers: dict[str, str] | None = None,
) -> Any:
    """Make one call beside the load, and return its decoded answer."""
    body = b"" if value is None else json.dumps(value).encode()

    def make_call() -> bytes:
        return call(method, address, path, body=body, headers=headers).content

    return msgspec.json.decode(await trio.to_thread.run_sync(make_call))
