"""Times and names of ownership."""

from __future__ import annotations

from typing import Final

GROUP: Final = "heatherkeel-owners"
WORK_TOPIC: Final = "keyed.work"
"""Progress and ends of jobs; only a partition's owner writes there, under its token."""
JOBS_TOPIC: Final = "keyed.jobs"
"""Jobs and cancels as callers sent them; every front writes there."""
PRODUCER: Final = "owner"
LAYOUT_KEY: Final = "layout"
"""Key of the layout in the fleet's partition of the topic of work."""
LAYOUT_RETRY_S: Final = 0.3
"""Time between two looks whether a service isn't laid out yet, in seconds."""

TTL_MS: Final = 1800
"""How long the platform keeps a member that it doesn't hear, in milliseconds.

The jobs of a lost owner wait for so long. Three renewals fit into it, so that one slow or lost
answer costs nothing.
"""
RENEW_INTERVAL_MS: Final = 450
"""Time between two renewals of a membership, in milliseconds."""
RETRY_INTERVAL_MS: Final = 250
"""Pause after a renewal that failed, in milliseconds."""
HOLDERS_MAX_AGE_MS: Final = 4000
"""How long a list of holders is believed without being read again, in milliseconds."""
HOLDERS_MIN_AGE_MS: Final = 250
"""A list is not read again sooner than this, however many ask, in milliseconds."""
HOLDERS_REFRESH_MS: Final = 2000
"""How recent a list of holders has to be to look for peers in it, in milliseconds."""
PEER_CHECK_INTERVAL_MS: Final = 700
"""Time between two looks whether other processes can be reached, in milliseconds."""
PEERS_ASKED: Final = 3
"""Other processes that are asked in one look, one after the other."""
ISOLATED_AFTER_MS: Final = TTL_MS + PEER_CHECK_INTERVAL_MS + 300
"""How long no other process must have been reached, in milliseconds, until partitions are given up.

Four looks, so that a few lost packets don't count; and longer than peers that have died are listed,
which may have been reached one look before their end.
"""

ENOUGH_ROOM: Final = 1000
"""Processor from which on a process always takes part in owning partitions, in thousandths of a
core. The busiest owner of two partitions took 0.24 to 0.32 of one as the mean of a day, and a
service's turn takes more: half a core is too little."""
FEWEST_OWNERS: Final = 3
"""With fewer processes that own partitions, smaller ones join: one or two may be lost at once."""
RESERVE_CHECK_MS: Final = 1800
"""Time between two looks of a small process at the list of owners, in milliseconds. Where most
processes are small these looks are most of what the store is asked, and an owner's membership takes
as long to run out."""
RESERVE_RECHECK_MS: Final = 500
"""Time until the next look while owners are missing, in milliseconds."""
STEP_IN_AFTER_MS: Final = 1000
"""How long owners must have been missing before a small process joins, in milliseconds: three
looks, so that neither a start nor a hand-over among the larger ones counts."""
STAND_BACK_AFTER_MS: Final = 10_000
"""How long the larger ones must have been enough before it leaves, in milliseconds: each change of
owners costs the jobs of its partitions about a second."""
