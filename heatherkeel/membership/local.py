"""Local state of one entry instance: its peers and its lease; neither sent nor stored."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class PeerView:
    """The last heartbeat of a peer; times in milliseconds of the local monotonic clock."""

    incarnation: str
    zone: str
    address: str
    last_heartbeat_ms: int
    offset_in_force: int
    log_age_ms: int


@dataclass(kw_only=True)
class SponsoredInstance:
    """A joining instance that the fold doesn't know, for which this process delays drains."""

    instance: str
    acked_ms: int
    """When its last heartbeat was answered, which allows it to route for some time."""
    quiesced_drains: tuple[str, ...] = ()
    member_since_ms: int = 0


@dataclass(kw_only=True)
class Sponsorship:
    """The permission of an instance that started from a peer to route before it has joined."""

    sponsor: str
    """Incarnation of the peer that provided the state."""
    until_ms: int
    needed_offset: int
    """Offset that has to be folded first, as the sponsor may have acknowledged earlier drains."""


@dataclass(kw_only=True)
class PeersState:
    """Peers by entry instance id, sponsored instances by incarnation."""

    peers: dict[str, PeerView] = field(default_factory=dict)
    sponsored: dict[str, SponsoredInstance] = field(default_factory=dict)
    sponsorship: Sponsorship | None = None
    undecodable: int = 0
    """Messages that were dropped because they don't decode."""
    replaced: int = 0
    """Connections that were replaced because the peer was unresponsive."""
    relayed: int = 0
    """Records that were received from a peer."""


@dataclass(kw_only=True)
class LeaseState:
    """The routing lease of this process; times in milliseconds of its monotonic clock."""

    valid_until_ms: int = 0
    """End of the time in which requests may be sent to targets of other availability zones."""
    gap_detected_ms: int = 0
    """When the last pause of this process was detected."""
    gaps: int = 0
    """Number of detected pauses of this process."""
