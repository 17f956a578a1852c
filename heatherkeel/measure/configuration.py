"""What a configuration costs one process, by its number of queues.

Bytes are those of a version from the store, of its parts from another process, and of the homes of
its queues; times are processor time of one version or one request.
"""

from __future__ import annotations

import resource
import sys
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec
from absl import flags

from heatherkeel.directory.const import COMPRESSION_LEVEL, PART_BYTES
from heatherkeel.gateway.routing import QueueTable
from heatherkeel.ownership.partitions import Layout
from heatherkeel.ownership.queue_homes import HomePages
from heatherkeel.platform.operator import decode_configuration
from heatherkeel.standins.configurations import SERVICES, make_configuration

from .registry import measurement

REPEATS: Final = 20
LOOKUPS: Final = 2000


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationCost:
    """Cost of one version with a number of queues."""

    queues: int
    version_bytes: int
    parts_bytes: int
    """Of its compressed parts."""
    homes_bytes: int
    pages: int
    """Number of records that hold the homes."""
    decode_ms: float
    compress_ms: float
    index_ms: float
    lookup_us: float
    resident_mib: float
    """Highest resident memory of the process so far."""


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_list(
        "queues", ["50", "500", "2800", "10000"], "Numbers of queues.", flag_values=values
    )
    flags.DEFINE_bool("json", False, "Print one JSON object.", flag_values=values)


@measurement("configuration", help="Cost of a version by its queues.", define=_define)
def run_configuration(values: flags.FlagValues) -> int:
    """Measure each number of queues."""
    costs = [measure_configuration(queues=int(queues)) for queues in values.queues]
    if values.json:
        sys.stdout.write(msgspec.json.encode(costs).decode() + "\n")
        return 0
    for cost in costs:
        sys.stdout.write(
            f"{cost.queues:6} queues: {cost.version_bytes:8} B, in parts {cost.parts_bytes:7} B, "
            f"homes {cost.homes_bytes:7} B in {cost.pages:3} records; decode {cost.decode_ms:.2f} "
            f"ms, compress {cost.compress_ms:.2f} ms, index {cost.index_ms:.2f} ms, "
            f"lookup {cost.lookup_us:.2f} us; at most {cost.resident_mib:.1f} MiB\n"
        )
    return 0


def measure_configuration(*, queues: int) -> ConfigurationCost:
    """Measure one version."""
    value = make_configuration(queues)
    parts = [value[start : start + PART_BYTES] for start in range(0, len(value), PART_BYTES)]
    packed = [zlib.compress(part, COMPRESSION_LEVEL) for part in parts]
    config = decode_configuration(value).unwrap()
    pages = HomePages()
    pages.extend(config.queues, Layout(shares=dict.fromkeys(SERVICES, (0,))))
    paths = [(queue.host, f"{queue.path_prefix}0123456789abcdef") for queue in config.queues]
    table = QueueTable()

    def look_up() -> None:
        for number in range(LOOKUPS):
            host, path = paths[number % len(paths)]
            table.find(config, host=host, path=path)

    look_up()
    return ConfigurationCost(
        queues=queues,
        version_bytes=len(value),
        parts_bytes=sum(map(len, packed)),
        homes_bytes=sum(len(page.encode()) for page in pages.pages.values()),
        pages=len(pages.pages),
        decode_ms=1000 * _time(lambda: decode_configuration(value)),
        compress_ms=1000
        * _time(lambda: [zlib.compress(part, COMPRESSION_LEVEL) for part in parts]),
        index_ms=1000 * _time(lambda: QueueTable().find(config, host="", path="")),
        lookup_us=1e6 * _time(look_up) / LOOKUPS,
        resident_mib=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    )


def _time(action: Callable[[], object]) -> float:
    """Return the shortest processor time of an action, in seconds."""
    times = []
    for _ in range(REPEATS):
        began_s = time.process_time()
        action()
        times.append(time.process_time() - began_s)
    return min(times)
