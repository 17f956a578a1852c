"""A fleet of real processes whose pool is maintained, and callers that keep it busy."""

from __future__ import annotations

import threading
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Final

import httpcore

from .harness import Fleet, Process, call, call_json, wait_for

ZONES: Final = ("a", "b", "c")
POOL: Final = "desk"
LEASE_MS: Final = 1500
WELL_AFTER_MS: Final = 1000
"""Time in which a stop that were let through would have been issued and seen."""


def maintenance(*, request: int = 1, **fields: Any) -> dict[str, Any]:
    """Return a maintenance entry that asks for a wave now."""
    entry = {"kind": "maintenance", "owner": "sheetal", "pool": POOL, "wave_request": request}
    return {**entry, "return_timeout_s": 10, "max_concurrent": 2, **fields}


@dataclass(kw_only=True)
class Maintained:
    """The processes of one test; targets and entry instances by name."""

    fleet: Fleet
    targets: dict[str, Process] = field(default_factory=dict)
    entries: dict[str, Process] = field(default_factory=dict)
    lease_ms: int = LEASE_MS
    min_serving: int = 1
    deadline_ms: int = 2000

    def start(
        self,
        *,
        targets_per_zone: int,
        work_ms: int = 20,
        lease_ms: int = LEASE_MS,
        min_serving: int = 1,
        deadline_ms: int = 2000,
        **platform_faults: Any,
    ) -> None:
        """Start everything and wait until every entry instance serves the pool."""
        self.lease_ms = lease_ms
        self.min_serving = min_serving
        self.deadline_ms = deadline_ms
        self.fleet.start_platform()
        self.fleet.set_faults("platform", reboot_ms=100, **platform_faults)
        for zone in ZONES:
            for number in range(1, targets_per_zone + 1):
                name = f"t-{zone}{number}"
                self.targets[name] = self.fleet.start_target(
                    name, zone=zone, rack=f"r{number}", pool=POOL
                )
                self.fleet.set_faults(name, work_ms=work_ms)
        for zone in ZONES:
            self._start_entry(zone, zone=zone)
        self._publish(len(self.targets))

    def _start_entry(self, key: str, *, zone: str) -> None:
        routing = f"[routing]\nlease_ms = {self.lease_ms}\nrenew_interval_ms = 300\n"
        self.entries[key] = self.fleet.start_entry(f"e-{key}", zone=zone, extra=routing)

    def add_entry(self, key: str, *, zone: str) -> None:
        """Start one more entry instance in an availability zone, and wait until it serves."""
        self._start_entry(key, zone=zone)
        wait_for(partial(answers, self.entries[key]), f"e-{key} serves")

    def list_entry(self, key: str, *, state: str) -> None:
        """Write the platform's line about an entry instance."""
        entry = self.entries[key]
        line = {
            "id": entry.name,
            "role": "entry",
            "zone": key[0],
            "rack": "",
            "address": entry.http,
            "state": state,
            "boot_id": "1",
        }
        platform = self.fleet.processes["platform"].http
        call_json("PUT", platform, f"/instances/{entry.name}", line)

    def service(self) -> dict[str, Any]:
        """Return the service that callers ask."""
        return {
            "kind": "service",
            "owner": "sheetal",
            "pool": POOL,
            "path_prefix": "/stock",
            "budget": {"min_serving": self.min_serving, "reserve": "none"},
            "limits": {"deadline_ms": self.deadline_ms},
        }

    def _publish(self, size: int) -> None:
        self.put(POOL, {"kind": "pool", "owner": "sheetal", "size": size})
        self.put("stock", self.service())
        for entry in self.entries.values():
            wait_for(partial(answers, entry), f"{entry.name} serves")

    def put(self, name: str, value: dict[str, Any], *, version: int = 0) -> None:
        """Publish an edit through any entry instance that is left."""
        for entry in self.entries.values():
            response = self.fleet.put_entry(entry, name, value, version=version)
            assert response.status in (200, 201), response.content
            return

    def status(self, zone: str) -> Any:
        """Return what one entry instance says of waves and drains."""
        return call_json("GET", self.entries[zone].admin, "/maintenance")

    def wave(self, zone: str) -> Any:
        """Return what one entry instance says of the pool's wave, or None."""
        return self.status(zone)["waves"].get(POOL)

    def returned(self, zone: str) -> int:
        """Return how many targets the wave has taken back."""
        return int((self.wave(zone) or {"returned": 0})["returned"])

    def wait_for_wave(self, zone: str) -> Any:
        """Wait until the wave has ended, and return it."""

        def ended() -> Any:
            wave = self.wave(zone)
            return wave if wave is not None and wave["finished_ms"] else None

        return wait_for(ended, f"the wave ends ({self.status(zone)})")

    def find_coordinator(self) -> str | None:
        """Return whose drain or step was accepted last, by what the entry instances logged."""
        for key, entry in self.entries.items():
            if any(event.get("event") == "step_accepted" for event in entry.events()):
                return key
        return None

    def find_stopped(self) -> str | None:
        """Return a target whose stop the log has admitted."""
        drains = self.status(next(iter(self.entries)))["drains"]
        stopped = [name for name, drain in drains.items() if drain["status"] == "stopped"]
        return stopped[0] if stopped else None

    def lease_lapsed(self, zone: str, name: str) -> bool:
        """Say whether an entry instance's lease is over, as another one sees it."""
        status = call_json("GET", self.entries[zone].admin, "/status")
        return bool(status["entry_instances"][name]["lease_lapsed"])

    def find_held(self, zone: str, name: str) -> Any:
        """Return a drain when whom it waits for is silent for longer than a far wait lasts."""
        drains = self.status(zone)["drains"]
        assert name in drains, f"its stop was let through: {self.reboots()}"
        drain = drains[name]
        longest_ms = self.deadline_ms + WELL_AFTER_MS
        return drain if any(wait["silent_ms"] > longest_ms for wait in drain["waiting"]) else None

    def reboots(self) -> dict[str, int]:
        """Return how often the platform rebooted each target."""
        return dict(self.fleet.counts("platform")["operations"])

    def cut(self) -> int:
        """Return how many requests in progress were cut by a stop."""
        return sum(self.fleet.counts(name)["cut"] for name in self.targets)


def answers(entry: Process) -> bool:
    """Say whether an entry instance serves the pool."""
    return call("GET", entry.http, "/stock/1").status == 200


@dataclass(kw_only=True)
class Callers:
    """Threads that ask the entry instances in turn until the block ends."""

    entries: list[Process]
    count: int = 6
    outcomes: Counter[str] = field(default_factory=Counter)
    stopping: threading.Event = field(default_factory=threading.Event)
    threads: list[threading.Thread] = field(default_factory=list)

    def __enter__(self) -> Callers:
        """Begin to ask."""
        for number in range(self.count):
            entry = self.entries[number % len(self.entries)]
            thread = threading.Thread(target=self._ask, args=(entry, number), daemon=True)
            self.threads.append(thread)
            thread.start()
        return self

    def __exit__(self, *exc: object) -> None:
        """Ask no more, and wait for the last answers."""
        self.stopping.set()
        for thread in self.threads:
            thread.join(timeout=20)

    def _ask(self, entry: Process, number: int) -> None:
        while not self.stopping.is_set():
            try:
                response = call("GET", entry.http, f"/stock/{number}", timeout_s=15)
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                self.outcomes["no_answer"] += 1
                continue
            headers = dict(response.headers)
            self.outcomes[headers[b"heatherkeel-outcome"].decode()] += 1
