"""What control costs one entry process while nobody asks anything of it.

Idle means: the lease is held, the log is followed, the platform's list is read, peers are heard;
no caller, no edit, no wave. By the number of entry instances, or by the workers listed.
"""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass
from typing import Final

import msgspec
from absl import flags

from . import design_size as size
from .const import LOCAL_ZONES
from .fit import MIN_SIZES, Slope, fit, format_slopes
from .fleet import MeasuredFleet
from .processes import Child
from .registry import measurement
from .sockets import SocketBytes

SETTLE_S: Final = 5.0
SAMPLE_S: Final = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class IdleCost:
    """Means over the entry processes of one run; a core is 100 percent."""

    entries: int
    workers: int
    cpu_percent: float
    bytes_per_s: float
    resident_mib: float
    platform_appends_per_s: float
    platform_cpu_percent: float


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_list("entries", ["1", "2", "4", "8"], "Entry instances.", flag_values=values)
    flags.DEFINE_list("workers", ["0"], "Workers listed and admitted.", flag_values=values)
    flags.DEFINE_float("seconds", 15.0, "Length of each measurement.", flag_values=values)
    flags.DEFINE_bool("json", False, "Print one JSON object.", flag_values=values)


@measurement("idle", help="Control cost of idle entry processes.", define=_define)
def run_idle(values: flags.FlagValues) -> int:
    """Measure each number of entry instances with each number of workers."""
    costs = [
        measure_idle(entries=int(entries), workers=int(workers), seconds=values.seconds)
        for workers in values.workers
        for entries in values.entries
    ]
    slopes = _fit_all(costs)
    if values.json:
        answer = {"runs": costs, "slopes": slopes}
        sys.stdout.write(msgspec.json.encode(answer).decode() + "\n")
        return 0
    sys.stdout.write(_format_costs(costs) + "\n")
    if slopes:
        sys.stdout.write(format_slopes(slopes) + "\n")
    return 0


def measure_idle(*, entries: int, workers: int, seconds: float) -> IdleCost:
    """Start a fleet, leave it alone, and read what its processes used meanwhile."""
    fleet = MeasuredFleet()
    try:
        platform = fleet.start_platform()
        if workers:
            _list_workers(fleet, workers)
        started = [
            fleet.start_entry(f"e{index}", zone=LOCAL_ZONES[index % 3]) for index in range(entries)
        ]
        time.sleep(SETTLE_S)
        return _measure(fleet, platform, started, workers=workers, seconds=seconds)
    finally:
        fleet.close()


def _list_workers(fleet: MeasuredFleet, workers: int) -> None:
    for index in range(workers):
        body = size.worker_record(index)
        fleet.list_instance(body.instance, zone=body.zone, address=body.address, pool=body.pool)
    fleet.preload(size.fleet_records(workers=workers, entries=0))


def _measure(
    fleet: MeasuredFleet, platform: Child, entries: list[Child], *, workers: int, seconds: float
) -> IdleCost:
    counter = SocketBytes(pids=[entry.popen.pid for entry in entries])
    counter.sample()
    before_bytes = sum(counter.totals().values())
    before_cpu = sum(entry.usage().cpu_s for entry in entries)
    before_platform = platform.usage().cpu_s
    before_appends = fleet.platform_appends()
    start_s = time.monotonic()
    while time.monotonic() - start_s < seconds:
        time.sleep(SAMPLE_S)
        counter.sample()
    elapsed_s = time.monotonic() - start_s
    carried = sum(counter.totals().values()) - before_bytes
    cpu_s = sum(entry.usage().cpu_s for entry in entries) - before_cpu
    resident = sum(entry.usage().resident_bytes for entry in entries)
    count = len(entries)
    return IdleCost(
        entries=count,
        workers=workers,
        cpu_percent=round(100 * cpu_s / elapsed_s / count, 2),
        bytes_per_s=round(carried / elapsed_s / count, 1),
        resident_mib=round(resident / 2**20 / count, 2),
        platform_appends_per_s=round((fleet.platform_appends() - before_appends) / elapsed_s, 2),
        platform_cpu_percent=round(100 * (platform.usage().cpu_s - before_platform) / elapsed_s, 2),
    )


def _fit_all(costs: list[IdleCost]) -> list[Slope]:
    by_entries = [cost.entries for cost in costs]
    by_workers = [cost.workers for cost in costs]
    if len(set(by_entries)) >= MIN_SIZES and len(set(by_workers)) == 1:
        return _fit(costs, by_entries, "entry instance")
    if len(set(by_workers)) >= MIN_SIZES and len(set(by_entries)) == 1:
        return _fit(costs, by_workers, "worker")
    return []


def _fit(costs: list[IdleCost], sizes: list[int], per: str) -> list[Slope]:
    values = {
        ("idle processor time", "%"): [cost.cpu_percent for cost in costs],
        ("idle bytes a second", "B/s"): [cost.bytes_per_s for cost in costs],
        ("resident memory", "MiB"): [cost.resident_mib for cost in costs],
        ("platform appends a second", "1/s"): [cost.platform_appends_per_s for cost in costs],
    }
    return [
        fit(name, unit=unit, per=per, sizes=sizes, values=column)
        for (name, unit), column in values.items()
    ]


def _format_costs(costs: list[IdleCost]) -> str:
    header = (
        f"{'entries':>8} {'workers':>8} {'cpu %':>8} {'B/s':>12} {'MiB':>8} "
        f"{'appends/s':>10} {'platform cpu %':>15}"
    )
    rows = [
        f"{cost.entries:>8} {cost.workers:>8} {cost.cpu_percent:>8} {cost.bytes_per_s:>12} "
        f"{cost.resident_mib:>8} {cost.platform_appends_per_s:>10} {cost.platform_cpu_percent:>15}"
        for cost in costs
    ]
    return "\n".join([header, *rows])
