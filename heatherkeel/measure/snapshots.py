"""What a snapshot costs at four sizes of the fleet, through a platform stand-in of its own."""

from __future__ import annotations

import statistics
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import msgspec
import trio
from absl import flags

from heatherkeel.core.state import FleetState, canonical_bytes
from heatherkeel.fleetlog.client import PlatformClient
from heatherkeel.snapshots import codec
from heatherkeel.snapshots.const import APPEND_PAUSE_S, FORMAT
from heatherkeel.snapshots.models import (
    ManifestRecord,
    SnapshotComplete,
    SnapshotMark,
    SnapshotMarked,
)
from heatherkeel.snapshots.store import SnapshotStore

from . import design_size as size
from .fit import Slope, fit, format_slopes
from .log import MeasuredLog
from .processes import MeasurementError, start_child
from .registry import measurement
from .state_slopes import build, quarters_of

AUTHOR: Final = "entry-0000"
OTHER_STREAM: Final = "others"
OTHER_PAUSE_S: Final = 0.01
OTHER_RECORD: Final = b"x" * 300


@dataclass(frozen=True, kw_only=True, slots=True)
class Cost:
    """One snapshot: sizes in bytes, times in milliseconds.

    `mark_ms` is what every reader's loop stands still for; `pack_ms` the author's. `write_ms`
    holds the pauses between chunks; `load_ms` is from an empty process to the state in force.
    `other_ms` is the median append of another user of the log while the snapshot is written.
    """

    state_bytes: int
    packed_bytes: int
    chunks: int
    mark_ms: float
    pack_ms: float
    write_ms: float
    load_ms: float
    other_ms: float


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_bool("json", False, "Print one JSON object.", flag_values=values)


@measurement("snapshots", help="Cost of a snapshot by the fleet's size.", define=_define)
def run_snapshots(values: flags.FlagValues) -> int:
    """Measure and print what snapshots cost."""
    slopes = trio.run(_async_measure)
    if values.json:
        sys.stdout.write(msgspec.json.encode(slopes).decode() + "\n")
    else:
        sys.stdout.write(format_slopes(slopes) + "\n")
    return 0


async def _async_measure() -> list[Slope]:
    sizes = quarters_of(size.WORKERS)
    with tempfile.TemporaryDirectory() as folder:
        platform = start_child("platform", folder=Path(folder), args=["standin", "platform"])
        try:
            quiet_ms = await _async_other_alone(platform.http)
            costs = [await _async_cost(platform.http, workers) for workers in sizes]
        finally:
            platform.close()
    names = [field for field in Cost.__slots__ if field != "other_ms"]
    slopes = [
        fit(
            name,
            unit="ms" if name.endswith("_ms") else "",
            per="worker",
            sizes=sizes,
            values=[getattr(cost, name) for cost in costs],
        )
        for name in names
    ]
    others = [cost.other_ms / quiet_ms for cost in costs]
    slopes.append(fit("other append / alone", unit="", per="worker", sizes=sizes, values=others))
    return slopes


def _client(address: str) -> PlatformClient:
    return PlatformClient(address=address, instance=AUTHOR, zone="zone-00", timeout_ms=10_000)


async def _async_cost(address: str, workers: int) -> Cost:
    log = build(size.fleet_records(workers=workers))
    marked, mark_ms = _mark(log)
    start = time.perf_counter()
    packed = codec.pack(marked.state)
    pack_ms = _ms_since(start)
    client = _client(address)
    store = SnapshotStore(client=client, stream=f"fleet-{workers}")
    others: list[float] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_async_append_on, address, others)
        start = time.perf_counter()
        await _async_write(store, marked, packed)
        write_ms = _ms_since(start)
        nursery.cancel_scope.cancel()
    start = time.perf_counter()
    loaded = await store.async_load_newest(above=0)
    load_ms = _ms_since(start)
    await client.close()
    _check(loaded.ok(), log.state)
    return Cost(
        state_bytes=len(marked.state),
        packed_bytes=len(packed),
        chunks=len(codec.split_into_chunks(packed, offset=0)),
        mark_ms=mark_ms,
        pack_ms=pack_ms,
        write_ms=write_ms,
        load_ms=load_ms,
        other_ms=statistics.median(others),
    )


def _mark(log: MeasuredLog) -> tuple[SnapshotMarked, float]:
    body = SnapshotMark(instance=AUTHOR, incarnation="1", previous_offset=-1)
    _, effects = log.say(body)
    for effect in effects:
        if isinstance(effect, SnapshotMarked):
            return effect, log.fold_us / 1000
    raise MeasurementError("the mark was refused")


async def _async_write(store: SnapshotStore, marked: SnapshotMarked, packed: bytes) -> None:
    """Write as the production writer does, its pauses included."""
    offsets: list[int] = []
    for chunk in codec.split_into_chunks(packed, offset=marked.mark.offset):
        offsets.append((await store.async_append(chunk)).unwrap())
        await trio.sleep(APPEND_PAUSE_S)
    claim = SnapshotComplete(
        instance=AUTHOR,
        incarnation="1",
        offset=marked.mark.offset,
        digest=marked.mark.digest,
        state_bytes=len(marked.state),
        chunk_offsets=offsets,
    )
    manifest = ManifestRecord(
        format=FORMAT, claim=claim, at_ms=marked.mark.at_ms, endorser="entry-0001"
    )
    (await store.async_append(manifest)).unwrap()


async def _async_other_alone(address: str) -> float:
    times: list[float] = []
    with trio.move_on_after(2):
        await _async_append_on(address, times)
    return statistics.median(times)


async def _async_append_on(address: str, times: list[float]) -> None:
    """Append small records as another user of the log, and note what each append took."""
    client = _client(address)
    while True:
        start = time.perf_counter()
        await client.async_append(OTHER_STREAM, [OTHER_RECORD])
        times.append(_ms_since(start))
        await trio.sleep(OTHER_PAUSE_S)


def _check(loaded: FleetState | None, state: FleetState) -> None:
    if loaded is None or canonical_bytes(loaded) != canonical_bytes(state):
        raise MeasurementError("the loaded state is not the one that was written")


def _ms_since(start: float) -> float:
    return (time.perf_counter() - start) * 1000
