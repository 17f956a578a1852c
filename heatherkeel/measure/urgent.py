"""How soon urgent jobs start while all workers are full of night work that can be checkpointed.

From the submission's first byte until the platform's stand-in really runs the task, through
three entry processes. The stand-in's checkpoints take as long as the flag says.
"""

from __future__ import annotations

import json
import signal
import sys
import time
from typing import Any, Final

import msgspec
from absl import flags

from heatherkeel.catalogue.models import EntryPut, PoolEntry, TeamEntry
from heatherkeel.core.models import RecordBody
from heatherkeel.jobs.placers import PlacerOrder
from heatherkeel.pools.models import InstanceAdmit

from .const import POOL, TEAM, TOKEN
from .fleet import MeasuredFleet
from .processes import Child, call, wait_for
from .registry import measurement

WORKERS: Final = 12
MEMORY_MIB: Final = 4_000
BUDGET_S: Final = 3.8
"""Within this time urgent work has to start (letter 1)."""
ENTRIES: Final = ("entrya", "entryb", "entryc")
PLACER: Final = PlacerOrder(alive=frozenset(ENTRIES)).placers_of(POOL)[0]
_LISTENING: Final = "127.0.0.1:9"


class UrgentStarts(msgspec.Struct, frozen=True, kw_only=True):
    """Seconds from submission to running, of single urgent jobs one after the other."""

    checkpoint_ms: int
    starts: int
    placer_frozen: bool
    median_s: float
    worst_s: float
    within_budget: int


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_list("checkpoint_ms", ["100", "1000"], "Checkpoint times.", flag_values=values)
    flags.DEFINE_integer("starts", 10, "Urgent jobs for each time.", flag_values=values)
    flags.DEFINE_bool(
        "freeze_placer", False, "Freeze the pool's placer before each.", flag_values=values
    )


@measurement("urgent", help="Time until an urgent job runs on full workers.", define=_define)
def run_urgent(values: flags.FlagValues) -> int:
    """Measure each checkpoint time, one line of JSON for each."""
    for checkpoint_ms in values.checkpoint_ms:
        result = measure_urgent(
            checkpoint_ms=int(checkpoint_ms),
            starts=values.starts,
            freeze_placer=values.freeze_placer,
        )
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
    return 0


def measure_urgent(*, checkpoint_ms: int, starts: int, freeze_placer: bool) -> UrgentStarts:
    """Fill all workers, then submit urgent jobs one after the other."""
    fleet = MeasuredFleet()
    try:
        entries = _start(fleet, checkpoint_ms)
        for number in range(WORKERS):
            _submit(entries[0], f"night{number}", run_ms=3_600_000, checkpointable=True)
        others = [entry for entry in entries if entry.name != PLACER]
        placer = next(entry for entry in entries if entry.name == PLACER)
        times = []
        for number in range(starts):
            wait_for(lambda: _running(others[0]) == WORKERS, "all workers are full")
            if freeze_placer:
                placer.popen.send_signal(signal.SIGSTOP)
            times.append(_measure_one(fleet, others[number % len(others)], number))
            placer.popen.send_signal(signal.SIGCONT)
    finally:
        fleet.close()
    return UrgentStarts(
        checkpoint_ms=checkpoint_ms,
        starts=starts,
        placer_frozen=freeze_placer,
        median_s=round(sorted(times)[len(times) // 2], 3),
        worst_s=round(max(times), 3),
        within_budget=sum(elapsed <= BUDGET_S for elapsed in times),
    )


def _start(fleet: MeasuredFleet, checkpoint_ms: int) -> list[Child]:
    platform = fleet.start_platform()
    fleet.preload(_catalogue())
    faults = json.dumps({"checkpoint_ms": checkpoint_ms}).encode()
    call("PUT", platform.http, "/standin/tasks/faults", body=faults)
    return [fleet.start_entry(name, zone=name[-1]) for name in ENTRIES]


def _catalogue() -> list[RecordBody]:
    quota = TeamEntry(owner=TEAM, cpu_quota=10_000, memory_quota_mib=1_000_000)
    records: list[RecordBody] = [
        EntryPut(name=TEAM, expected_version=0, team=TEAM, entry=quota),
        EntryPut(
            name=POOL, expected_version=0, team=TEAM, entry=PoolEntry(owner=TEAM, size=WORKERS)
        ),
    ]
    for number in range(WORKERS):
        admit = InstanceAdmit(
            instance=f"w{number}",
            boot_id="1",
            zone="abc"[number % 3],
            rack=f"r{number // 4}",
            address=_LISTENING,
            cpus=16,
            memory_mib=MEMORY_MIB,
            pool=POOL,
        )
        records.append(admit)
    return records


def _measure_one(fleet: MeasuredFleet, entry: Child, number: int) -> float:
    """Time one urgent job."""
    name = f"urgent{number}"
    began = time.monotonic()
    _submit(entry, name, run_ms=100, service_class="urgent")
    platform = fleet.platform
    assert platform is not None
    wait_for(lambda: _has_run(platform, name), f"{name} runs")
    return time.monotonic() - began


def _submit(entry: Child, name: str, *, run_ms: int, **more: Any) -> None:
    spec = {
        "pool": POOL,
        "program": json.dumps({"run_ms": run_ms, "peak_memory_mib": 100}),
        "family": "urgent" if more.get("service_class") else "night",
        "size": {"cpu_millicores": 1_000, "memory_mib": MEMORY_MIB},
        **more,
    }
    headers = {"authorization": f"Bearer {TOKEN}"}
    call("PUT", entry.admin, f"/jobs/{name}", body=json.dumps(spec).encode(), headers=headers)


def _running(entry: Child) -> int:
    listed = json.loads(call("GET", entry.admin, "/jobs?status=running").content)
    return len(listed["jobs"])


def _has_run(platform: Child, name: str) -> bool:
    counts = json.loads(call("GET", platform.http, "/standin/tasks/counts").content)
    return f"{TEAM}:{name}" in counts["fresh_runs"]
