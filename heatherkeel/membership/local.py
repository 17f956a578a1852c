"""What one entry instance knows of its peers and of its own lease; never shared or kept."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(kw_only=True)
class PeersState:
    """Peers by entry instance id."""


@dataclass(kw_only=True)
class LeaseState:
    """The routing lease of one process; times in milliseconds of its monotonic clock."""

    valid_until_ms: int = 0
    """Until when requests may be sent to targets of other availability zones."""
    gap_seen_ms: int = 0
    """When the last pause of this process was noticed."""
    gaps: int = 0
    """Pauses of this process that were noticed."""
