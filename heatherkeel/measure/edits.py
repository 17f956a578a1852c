"""How long an edit takes until it is accepted, and until it is in force at every entry instance.

Each entry process is asked for its offset in force without a pause, on one connection; an edit is
in force there when an answer shows its offset. So a time is too long by up to one such call.
"""

from __future__ import annotations

import math
import sys
import time
from dataclasses import dataclass, field

import httpcore
import msgspec
import trio
from absl import flags

from .const import TEAM, TOKEN
from .fleet import MeasuredFleet
from .processes import Child, MeasurementError
from .registry import measurement

NAME = "measured"
QUANTILES = (0.5, 0.95, 0.99, 1.0)


class AcceptedEdit(msgspec.Struct, frozen=True, kw_only=True):
    """What is read of the answer to an edit."""

    offset: int
    version: int


class OffsetInForce(msgspec.Struct, frozen=True, kw_only=True):
    """What is read of the status."""

    offset_in_force: int


@dataclass(kw_only=True)
class Watched:
    """One entry process, what it has in force, and how often it was asked."""

    entry: Child
    offset: int = -1
    calls: int = 0
    moved: trio.Event = field(default_factory=trio.Event)


@dataclass(frozen=True, kw_only=True, slots=True)
class EditTimes:
    """Seconds from sending an edit to its acceptance, and until it is in force everywhere."""

    accepted_s: float
    everywhere_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class EditRun:
    """All edits of one run; `watch_s` is the mean time between two looks at one process."""

    times: list[EditTimes]
    watch_s: float


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_integer("edits", 200, "Edits, one after the other.", flag_values=values)
    flags.DEFINE_integer("entries", 3, "Entry processes.", flag_values=values)
    flags.DEFINE_integer("pause-ms", 20, "Pause between two edits.", flag_values=values)


@measurement("edits", help="Time of an edit until it is in force everywhere.", define=_define)
def run_edits(values: flags.FlagValues) -> int:
    """Measure edits through all entry processes in turn, and print their distribution."""
    fleet = MeasuredFleet()
    try:
        fleet.start_platform()
        entries = [
            fleet.start_entry(f"e{index}", zone="abc"[index % 3]) for index in range(values.entries)
        ]
        pause_s = float(values["pause-ms"].value or 0) / 1000
        run = trio.run(async_measure, entries, values.edits, pause_s)
    finally:
        fleet.close()
    sys.stdout.write(format_run(run, entries=values.entries) + "\n")
    return 0


async def async_measure(entries: list[Child], edits: int, pause_s: float) -> EditRun:
    """Send the edits one after the other while every entry process is watched."""
    watched = [Watched(entry=entry) for entry in entries]
    times: list[EditTimes] = []
    async with httpcore.AsyncConnectionPool(retries=0) as pool, trio.open_nursery() as nursery:
        for item in watched:
            nursery.start_soon(_async_watch, pool, item)
        started_s = time.monotonic()
        for number in range(edits):
            times.append(await _async_edit(pool, watched, number))
            await trio.sleep(pause_s)
        watch_s = (time.monotonic() - started_s) / (sum(item.calls for item in watched) or 1)
        nursery.cancel_scope.cancel()
    return EditRun(times=times, watch_s=watch_s * len(watched))


async def _async_watch(pool: httpcore.AsyncConnectionPool, item: Watched) -> None:
    while True:
        response = await pool.request("GET", f"http://{item.entry.admin}/status")
        item.calls += 1
        status = msgspec.json.decode(response.content, type=OffsetInForce)
        if status.offset_in_force > item.offset:
            item.offset = status.offset_in_force
            item.moved.set()
            item.moved = trio.Event()


async def _async_edit(
    pool: httpcore.AsyncConnectionPool, watched: list[Watched], number: int
) -> EditTimes:
    entry = watched[number % len(watched)].entry
    body = msgspec.json.encode({"kind": "pool", "owner": TEAM, "size": number})
    headers = [("authorization", f"Bearer {TOKEN}"), ("content-type", "application/json")]
    headers.append(("if-match", f'"{number}"') if number else ("if-none-match", "*"))
    started_s = time.monotonic()
    response = await pool.request(
        "PUT", f"http://{entry.admin}/catalogue/{NAME}", headers=headers, content=body
    )
    accepted_s = time.monotonic() - started_s
    if response.status != 200:
        raise MeasurementError(f"edit {number} was answered {response.status}")
    offset = msgspec.json.decode(response.content, type=AcceptedEdit).offset
    for item in watched:
        while item.offset < offset:
            await item.moved.wait()
    return EditTimes(accepted_s=accepted_s, everywhere_s=time.monotonic() - started_s)


def quantile(values: list[float], share: float) -> float:
    """Return the smallest value that at least this share of the values doesn't exceed."""
    ordered = sorted(values)
    return ordered[max(1, math.ceil(share * len(ordered))) - 1]


def format_run(run: EditRun, *, entries: int) -> str:
    """Write a run as a table in milliseconds."""
    rows = [("accepted", [item.accepted_s for item in run.times])]
    rows.append(("in force everywhere", [item.everywhere_s for item in run.times]))
    lines = [
        f"{len(run.times)} edits, {entries} entry processes, each looked at every "
        f"{run.watch_s * 1000:.1f} ms",
        f"{'ms':22}{'p50':>8}{'p95':>8}{'p99':>8}{'max':>8}",
    ]
    for name, values in rows:
        cells = "".join(f"{quantile(values, share) * 1000:8.1f}" for share in QUANTILES)
        lines.append(f"{name:22}{cells}")
    return "\n".join(lines)
