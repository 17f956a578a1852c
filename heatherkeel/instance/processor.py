"""Reports how much processor time this process has used."""

from __future__ import annotations

import logging
import resource
from typing import Final

import trio
from prometheus_client import CollectorRegistry, Counter

_LOGGER = logging.getLogger(__name__)

REPORT_INTERVAL_S: Final = 5.0
"""Interval of the log lines, in seconds."""


def read_processor_ms() -> int:
    """Return the processor time that this process has used since its start, in milliseconds."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return round((used.ru_utime + used.ru_stime) * 1000)


class ProcessorWatch:
    """Logs and exports the processor time of this process, so that its costs can be located.

    A process that starts, restores partitions or repeats calls during an outage shows it here.
    """

    def __init__(self, *, registry: CollectorRegistry) -> None:
        self.reported_ms = 0
        self.used = Counter(
            "heatherkeel_processor_seconds",
            "Processor time that this process has used since its start.",
            registry=registry,
        )

    async def async_run(self) -> None:
        """Report at intervals until cancelled."""
        while True:
            self.report()
            await trio.sleep(REPORT_INTERVAL_S)

    def report(self) -> None:
        """Report the processor time used, in total and since the last report."""
        total_ms = read_processor_ms()
        used_ms = total_ms - self.reported_ms
        self.reported_ms = total_ms
        self.used.inc(used_ms / 1000)
        _LOGGER.info(
            "processor time used",
            extra={"event": "processor", "total_ms": total_ms, "used_ms": used_ms},
        )
