"""Resident memory and start-up time of a real entry process by the size of its state."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from dataclasses import dataclass
from typing import Final

import msgspec
from absl import flags

from . import design_size as size
from .fit import Slope, fit, format_slopes
from .fleet import MeasuredFleet
from .registry import measurement

LIBRARIES: Final = (
    "trio",
    "zmq",
    "prometheus_client",
    "hypercorn.trio",
    "httpcore",
    "msgspec",
    "result",
    "absl.flags",
    "pythonjsonlogger.json",
)
"""What an entry process imports that isn't ours."""

SETTLE_S: Final = 2.0
"""Time after start-up in which freed buffers go back, before memory is read."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Started:
    """One entry process that has folded its log."""

    records: int
    start_s: float
    resident_mib: float
    cpu_s: float


def _define(values: flags.FlagValues) -> None:
    sizes = ["0", *(str(count) for count in _quarters())]
    flags.DEFINE_list("workers", sizes, "Workers in the state, by run.", flag_values=values)
    flags.DEFINE_bool("json", False, "Print one JSON object.", flag_values=values)


def _quarters() -> list[int]:
    return [size.WORKERS * quarter // 4 for quarter in (1, 2, 3, 4)]


@measurement("resident", help="Memory and start-up of an entry process by state.", define=_define)
def run_resident(values: flags.FlagValues) -> int:
    """Start one entry process for each size, one after the other."""
    sizes = [int(text) for text in values.workers]
    started = [_start(count) for count in sizes]
    slopes: list[Slope] = [
        fit(
            "resident memory",
            unit="MiB",
            per="worker",
            sizes=sizes,
            values=[item.resident_mib for item in started],
        ),
        fit(
            "start from the log",
            unit="s",
            per="record",
            sizes=[item.records for item in started],
            values=[item.start_s for item in started],
        ),
        fit(
            "processor time of the start",
            unit="s",
            per="record",
            sizes=[item.records for item in started],
            values=[item.cpu_s for item in started],
        ),
    ]
    libraries_mib = measure_libraries()
    if values.json:
        answer = {"slopes": slopes, "libraries_mib": libraries_mib}
        sys.stdout.write(msgspec.json.encode(answer).decode() + "\n")
        return 0
    sys.stdout.write(format_slopes(slopes) + "\n")
    sys.stdout.write(f"interpreter and libraries alone: {libraries_mib:.1f} MiB\n")
    return 0


def measure_libraries() -> float:
    """Return the resident MiB of a process that only imports the libraries of an entry process."""
    code = f"import {', '.join(LIBRARIES)}; print(open('/proc/self/statm').read().split()[1])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    return int(done.stdout) * os.sysconf("SC_PAGE_SIZE") / 2**20


def _start(workers: int) -> Started:
    fleet = MeasuredFleet()
    try:
        fleet.start_platform()
        records = fleet.preload(size.fleet_records(workers=workers, entries=0)) if workers else 0
        start_s = time.monotonic()
        entry = fleet.start_entry("entry", zone="a")
        took_s = time.monotonic() - start_s
        time.sleep(SETTLE_S)
        usage = entry.usage()
    finally:
        fleet.close()
    return Started(
        records=records,
        start_s=took_s,
        resident_mib=usage.resident_bytes / 2**20,
        cpu_s=usage.cpu_s,
    )
