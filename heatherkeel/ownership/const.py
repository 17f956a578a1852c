"""Times and names of ownership."""

from __future__ import annotations

from typing import Final

GROUP: Final = "heatherkeel-owners"
WORK_TOPIC: Final = "keyed.work"
"""Progress and ends of jobs; only a partition's owner writes there, under its token."""
JOBS_TOPIC: Final = "keyed.jobs"
"""Jobs and cancels as callers sent them; every front writes there."""
PRODUCER: Final = "owner"

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
ISOLATED_AFTER_MS: Final = 2200
"""How long no other process must have been reached, in milliseconds, until partitions are given up:
three looks, so that a few lost packets or a restart of some peers don't count."""
