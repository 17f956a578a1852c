"""Sums up from logs what the time of machines in pools was spent on."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from .models import LogLine

POOLS_EVENT = "pools"
SECONDS_FIELD = "machine_s"


def sum_machine_seconds(lines: list[LogLine]) -> Counter[str]:
    """Return the seconds by cause over all lines about pools."""
    total: Counter[str] = Counter()
    for line in lines:
        seconds = line.fields.get(SECONDS_FIELD)
        if line.event == POOLS_EVENT and isinstance(seconds, dict):
            total.update({str(cause): float(value) for cause, value in seconds.items()})
    return total


def render_machine_seconds(seconds: Counter[str]) -> Iterator[str]:
    """Yield a table, the largest cause first."""
    total = sum(seconds.values())
    yield f"{'cause':<14}{'seconds':>10}{'share':>8}"
    for cause, value in seconds.most_common():
        yield f"{cause:<14}{value:>10.0f}{value / total if total else 0:>8.1%}"
    yield f"{'total':<14}{total:>10.0f}"
