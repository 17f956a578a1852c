"""Resident memory and start-up time of a real entry process by the size of its state."""

from __future__ import annotations

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
    text = msgspec.json.encode(slopes).decode() if values.json else format_slopes(slopes)
    sys.stdout.write(text + "\n")
    return 0


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
