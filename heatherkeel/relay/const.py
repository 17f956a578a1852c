"""Timeouts and limits of forwarded calls."""

from __future__ import annotations

from typing import Final

FORWARD_MARGIN_S: Final = 0.3
"""Added to the timeout of a forwarded call for the connection to the peer, in seconds."""
LONGEST_FORWARD_S: Final = 0.5
"""Longest timeout of a forwarded call beyond its wait for records, in seconds; short, because the
link to the peer may be dead."""
PROBE_INTERVAL_S: Final = 1.5
"""Interval of direct calls while the store rejects this process, in seconds."""
PROBE_TIMEOUT_S: Final = 0.3
"""Timeout of such a direct call, in seconds."""
FORWARD_PAUSE_S: Final = 1.0
"""Pause after a forwarded call that failed, in seconds; limits the additional load on a store that
is down for all processes."""
FAILURES_BEFORE_FORWARDING: Final = 2
"""Consecutive calls that fail directly and succeed through a peer before all go through peers;
a single one may be due to a reset connection."""
FAILURES_BEFORE_PAUSE: Final = 2
"""Consecutive failed forwarded calls after which a rejected process pauses forwarding."""
MAX_CALL_AGE_MS: Final = 1500
"""Maximum age of a forwarded call, in milliseconds; a renewal that a network partition delayed
could bring back a member that has left."""
MAX_CONCURRENT_CALLS: Final = 24
"""Maximum number of concurrent calls on behalf of peers."""
MAX_BODY_BYTES: Final = 512 * 1024
"""Largest body of a forwarded call or of its answer, in bytes; half of the largest message."""
SERVED_MAX_AGE_S: Final = 1.2
"""Age of the last direct answer from which a process may not reach the store, in seconds; longer
than a read waits for records."""
