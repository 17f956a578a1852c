"""Local events of this subject: what happens to the lease and the peers of one process."""

from __future__ import annotations

from dataclasses import dataclass

from heatherkeel.core.models import Effect
from heatherkeel.core.node import LocalEvent

from .messages import Heartbeat


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseGranted(LocalEvent):
    """The fold took a join or renewal that was begun at `sent_ms` of the monotonic clock."""

    sent_ms: int
    lease_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRefused(LocalEvent):
    """The fold knows this incarnation no more: it has to join again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ClockGap(LocalEvent):
    """The process did not run for `gap_ms`: it was paused, and may not know it otherwise."""

    gap_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerHeard(LocalEvent):
    """A peer's heartbeat came."""

    heartbeat: Heartbeat


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerLoad(LocalEvent):
    """What a peer sends where: its own requests in progress by target."""

    instance: str
    zone: str
    loads: dict[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class NewcomerStarted(LocalEvent):
    """A newcomer got the state of this process, which sponsors it from now on."""

    instance: str
    incarnation: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StartedFromPeer(LocalEvent):
    """The state came from a peer, as the platform doesn't answer."""

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
    """The lease should be renewed now, not at its next time."""
