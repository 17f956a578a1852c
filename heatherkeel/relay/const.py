"""Times and bounds of calls that go through another process."""

from __future__ import annotations

from typing import Final

FORWARD_MARGIN_S: Final = 0.3
"""How long an answer through another process may take beyond what the call itself may, in seconds:
the way there and back takes a few milliseconds, a new connection between processes some tens."""
LONGEST_FORWARD_S: Final = 0.5
"""Longest wait for a forwarded call beyond what it waits for records, in seconds; the process
asked reaches the store in some milliseconds or not at all. A link between processes may go silent
for good: a reading that met one for its own 3.7 s missed a change of the configuration."""
PROBE_INTERVAL_S: Final = 1.5
"""How often a call is tried directly while the store turns this process away, in seconds. Each
costs the longest wait below where the store doesn't answer at all."""
PROBE_TIMEOUT_S: Final = 0.3
"""Longest wait for such a try, in seconds."""
REST_S: Final = 1.0
"""Pause after a forwarded call that failed, in seconds. While the store is down for everybody each
process forwards one call in this time, so the store's load hardly grows."""
FAILURES_TO_TURN: Final = 2
"""Calls in a row that the store must refuse or not answer directly, and do through a peer, before
all go through peers. One may have met a connection that was reset."""
FAILURES_TO_REST: Final = 2
"""Forwarded calls in a row that must fail before a process that is turned away rests."""
OLDEST_MS: Final = 1500
"""A call that left its process longer ago is not made, in milliseconds. A partition can hold a
message up for seconds, and a renewal that comes so late would bring a member back that has left."""
MOST_AT_ONCE: Final = 24
"""Calls of others that a process makes at the same time; an owner that is turned away needs about
eight, most of which wait for records."""
LARGEST_BODY: Final = 512 * 1024
"""Largest body of a forwarded call or of its answer, in bytes: half of the largest message."""
