"""Local events of this subject: changes of the lease and the peers of one process."""

from __future__ import annotations

from dataclasses import dataclass

from heatherkeel.core.models import Effect
from heatherkeel.core.node import LocalEvent

from .messages import Heartbeat


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseGranted(LocalEvent):
    """The fold accepted a join or renewal that was sent at `sent_ms` of the monotonic clock."""

    sent_ms: int
    lease_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRefused(LocalEvent):
    """The fold no longer knows this incarnation, so it has to join again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ClockGap(LocalEvent):
    """The process was paused and did not run for `gap_ms`."""

    gap_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatReceived(LocalEvent):
    """A heartbeat of a peer was received."""

    heartbeat: Heartbeat


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerLoad(LocalEvent):
    """A peer reported its own requests in progress by target."""

    instance: str
    zone: str
    loads: dict[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class JoiningInstanceStarted(LocalEvent):
    """A joining instance is given the state of this process, which sponsors it from now on."""

    instance: str
    incarnation: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StartedFromPeer(LocalEvent):
    """The state was fetched from a peer, because the platform doesn't answer."""

    sponsor: str
    sent_ms: int
    needed_offset: int


@dataclass(frozen=True, kw_only=True, slots=True)
class SponsorAnswered(LocalEvent):
    """The sponsor answered a heartbeat that was sent at `sent_ms`."""

    sponsor: str
    sent_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseWanted(Effect):
    """The lease has to be renewed now instead of at the next interval."""
