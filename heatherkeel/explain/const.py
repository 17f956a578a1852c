"""Constants for the selection and rendering of log lines."""

from __future__ import annotations

from typing import Final

GAP_MS: Final = 1000
"""Shortest time without a line that the timeline reports as a gap, in milliseconds."""
PARTITION_EVENTS: Final = frozenset(
    {"fenced", "journal_lost", "journal_regained", "partition_owned", "sequence"}
)
"""Events of the partition that a job is in; these lines have `partition`."""
OWNERSHIP_EVENT: Final = "ownership"
"""Event that lists partitions in its fields `gained` and `lost`."""
PROCESS_EVENTS: Final = frozenset(
    {"isolated", "lines_left_out", "reachable", "reload", "reserve", "start", "stop", "stopped"}
    | {"store_lost", "store_regained"}
)
"""Events of a process, shown for the processes that logged a line of the job."""
WORKER_EVENTS: Final = frozenset(
    {
        "worker_aside",
        "worker_dropped",
        "worker_heard",
        "worker_left_out",
        "worker_restarted",
        "worker_silent",
    }
)
"""Changes of a worker's state as its owner sees it, shown for the workers in the job's lines."""
HIDDEN_FIELDS: Final = frozenset(
    {"event", "instance", "level", "logger", "message", "taskName", "time", "zone"}
)
"""Fields that the timeline shows elsewhere, or that only give the source of a line."""
