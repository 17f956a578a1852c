"""Which lines explain a job, and what counts as a gap."""

from __future__ import annotations

from typing import Final

GAP_MS: Final = 1000
"""Without a line for this long the timeline says so, in milliseconds: a turn's jobs are started
within some hundred milliseconds, so a second is time in which something was missing."""
PARTITION_EVENTS: Final = frozenset(
    {"fenced", "journal_lost", "journal_regained", "partition_owned", "sequence"}
)
"""What befell the partition that a job is in; these lines have `partition`."""
OWNERSHIP_EVENT: Final = "ownership"
"""Names partitions in two lists, `gained` and `lost`."""
PROCESS_EVENTS: Final = frozenset(
    {"isolated", "lines_left_out", "reachable", "reload", "reserve", "start", "stop", "stopped"}
    | {"store_lost", "store_regained"}
)
"""What befell a process; told of those that have a line of the job."""
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
"""What an owner came to believe of a worker; told of those on which the job lost something."""
HIDDEN_FIELDS: Final = frozenset(
    {"event", "instance", "level", "logger", "message", "taskName", "time", "zone"}
)
"""Fields that the timeline shows elsewhere, or that say where in the program a line was written."""
