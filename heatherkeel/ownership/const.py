"""Intervals, limits and names used by partition ownership."""

from __future__ import annotations

from typing import Final

GROUP: Final = "heatherkeel-owners"
WORK_TOPIC: Final = "keyed.work"
"""Progress and ends of jobs; only a partition's owner writes there, with its fencing token."""
JOBS_TOPIC: Final = "keyed.jobs"
"""Jobs and cancellations as submitted by callers; every entry instance writes there."""
PRODUCER: Final = "owner"
LAYOUT_KEY: Final = "layout"
"""Key of the layout record in the fleet's partition of the work topic."""
QUEUE_HOMES_KEY: Final = "queues"
"""Key of the first page of the queues' homes, beside the layout."""
QUEUE_HOMES_PREFIX: Final = "queues/"
"""Prefix of the keys of further pages, before their numbers."""
KEEP_REMOVED_MS: Final = 600_000
"""Time for which the home of a removed queue is kept at least, in milliseconds. A process that
misses changes may accept jobs for it meanwhile."""
LAYOUT_RETRY_S: Final = 0.3
"""Interval between reads of the layout while it lacks a configured service, or the homes lack a
queue, in seconds."""
QUICK_READS: Final = 10
"""Number of reads for a new queue's home at that interval."""
HOMES_RETRY_S: Final = 2.0
"""Interval between further reads, and between reads while no homes are stored at all, in seconds.
The fleet's owner may be of an earlier release, which stores none."""

TTL_MS: Final = 1800
"""Time without a renewal after which the platform drops a member, in milliseconds.

The jobs of a lost owner wait for so long. Three renewals fit into it, so one slow or lost answer
doesn't cost the membership.
"""
RENEW_INTERVAL_MS: Final = 450
"""Interval between renewals of a membership, in milliseconds."""
RETRY_INTERVAL_MS: Final = 250
"""Pause after a failed renewal, in milliseconds."""
HOLDERS_MAX_AGE_MS: Final = 4000
"""Age after which the cached list of holders is read again, in milliseconds."""
HOLDERS_MIN_AGE_MS: Final = 250
"""Shortest interval between reads of the list, however many lookups fail, in milliseconds."""
HOLDERS_REFRESH_MS: Final = 2000
"""Greatest age of the list of holders when peers are looked up in it, in milliseconds."""
PEER_CHECK_INTERVAL_MS: Final = 700
"""Interval between checks whether other processes can be reached, in milliseconds."""
MAX_PEERS_PER_CHECK: Final = 3
"""Number of processes that one check tries, one after the other."""
ISOLATED_AFTER_MS: Final = TTL_MS + PEER_CHECK_INTERVAL_MS + 300
"""Time without contact to another process until all partitions are given up, in milliseconds.

Longer than a dead peer stays listed, and long enough for four checks, so that a few lost packets
don't count.
"""

MIN_OWNER_CAPACITY: Final = 1000
"""Processor from which on a process always takes part in ownership, in thousandths of a core. The
busiest owner of two partitions takes 240 to 320 on average, and more at a demand peak, so 500 is
too little."""
MIN_OWNERS: Final = 3
"""Number of owners below which small processes join, so that one or two can be lost at once."""
RESERVE_CHECK_MS: Final = 1800
"""Interval at which a small process checks the list of owners, in milliseconds.

An owner's membership takes as long to expire, and shorter intervals would load the store.
"""
RESERVE_RECHECK_MS: Final = 500
"""Interval between checks while a change is pending, in milliseconds."""
JOIN_AFTER_MS: Final = 1000
"""Time that owners must have been missing before a small process joins, in milliseconds.

Covers three checks, so that a start or a handover among larger processes doesn't count.
"""
LEAVE_AFTER_MS: Final = 10_000
"""Time that larger owners must have sufficed before a small one leaves, in milliseconds.

Each change of owners delays the jobs of its partitions by about a second.
"""
