"""What goes wrong on the stand-ins of the users' platform."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(kw_only=True, slots=True)
class Faults:
    """What goes wrong, as a test switches it on."""

    store_refuses: bool = False
    """Every call to the store gets 503."""
    store_silent: bool = False
    """No call to the store is carried out or answered."""
    side_refuses: bool = False
    """Every call to the store's second address gets 503."""
    side_silent: bool = False
    """No call to the store's second address is carried out or answered."""
    side_silent_topics: set[str] = field(default_factory=set)
    """Topics whose reads at the store's second address are never answered."""
    down_partitions: set[tuple[str, int]] = field(default_factory=set)
    """Topics and partitions to which every append gets 503."""
    lose_appends: int = 0
    """So many of the next appends are carried out and not answered."""
    append_s: float = 0.0
    """How long an append takes, in seconds."""
    lose_starts: int = 0
    """So many of the next starts are not answered, and carried out late."""
    late_start_s: float = 0.5
    entries_silent: bool = False
    """Workers can't write their entries."""
    keep_ids: bool = False
    """A worker that has crashed starts again under its id and at its address."""
    lose_listings: int = 0
    """So many of the next listings that wait for an end are never answered."""
