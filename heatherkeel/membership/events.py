"""Local events of this subject: what happens to the lease and the peers of one process."""

from __future__ import annotations

from dataclasses import dataclass

from heatherkeel.core.models import Effect
from heatherkeel.core.node import LocalEvent


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
class LeaseWanted(Effect):
    """The lease should be renewed now, not at its next time."""
