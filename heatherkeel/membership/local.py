"""What one entry instance knows of its peers and of its own lease; never shared or kept."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class PeerView:
    """What the last heartbeat of a peer said; times in monotonic milliseconds of this process."""

    incarnation: str
    zone: str
    address: str
    heard_ms: int
    offset_in_force: int
    log_age_ms: int


@dataclass(kw_only=True)
class SponsoredNewcomer:
    """A newcomer that the fold doesn't know, for which this process holds drains back."""

    instance: str
    acked_ms: int
    """When its last heartbeat was answered: so long it may have gone on routing."""
    quiet_drains: tuple[str, ...] = ()
    member_since_ms: int = 0


@dataclass(kw_only=True)
class Sponsorship:
    """What a newcomer that started from a peer may do before it has joined."""

    sponsor: str
    """Incarnation of the peer that gave the state."""
    until_ms: int
    needed_offset: int
    """What has to be folded first: the sponsor may have acknowledged drains up to there."""


@dataclass(kw_only=True)
class PeersState:
    """Peers by entry instance id, newcomers by incarnation."""

    peers: dict[str, PeerView] = field(default_factory=dict)
    sponsored: dict[str, SponsoredNewcomer] = field(default_factory=dict)
    sponsorship: Sponsorship | None = None
    undecodable: int = 0
    """Messages that were dropped because they don't decode."""
    replaced: int = 0
    """Connections that were silent for too long and were opened anew."""
    relayed: int = 0
    """Records that came from a peer."""


@dataclass(kw_only=True)
class LeaseState:
    """The routing lease of one process; times in milliseconds of its monotonic clock."""

    valid_until_ms: int = 0
    """Until when requests may be sent to targets of other availability zones."""
    gap_seen_ms: int = 0
    """When the last pause of this process was noticed."""
    gaps: int = 0
    """Pauses of this process that were noticed."""
