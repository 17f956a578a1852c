"""What goes wrong on the stand-ins of the users' platform."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

Count = Annotated[int, Meta(ge=0)]
Seconds = Annotated[float, Meta(ge=0)]


@dataclass(kw_only=True, slots=True)
class Faults:
    """What goes wrong, as a test switches it on."""

    store_refuses: bool = False
    """Every call to the store gets 503."""
    store_silent: bool = False
    """No call to the store is carried out or answered."""
    store_delay_s: Seconds = 0.0
    """How much later each answer of the store is given, in seconds."""
    cut_answers: Count = 0
    """So many of the store's next answers break off after half of their body."""
    cut_at_bytes: Count = 0
    """Each answer of the store with a longer body breaks off there; 0 cuts none."""
    page_bytes: Count = 0
    """Reads return no more than this and at least one record; 0 is the protocol's limit."""
    side_refuses: bool = False
    """Every call to the store's second address gets 503."""
    side_silent: bool = False
    """No call to the store's second address is carried out or answered."""
    side_delay_s: Seconds = 0.0
    """How much later each answer at the store's second address is given, in seconds."""
    side_lose_appends: Count = 0
    """So many of the next appends at the second address are carried out and not answered."""
    side_cut_answers: Count = 0
    """So many of the next answers at the second address break off after half of their body."""
    side_cut_at_bytes: Count = 0
    """Each answer at the second address with a longer body breaks off there; 0 cuts none."""
    side_silent_topics: set[str] = field(default_factory=set)
    """Topics whose reads at the store's second address are never answered."""
    down_partitions: set[tuple[str, int]] = field(default_factory=set)
    """Topics and partitions to which every append gets 503."""
    lose_appends: Count = 0
    """So many of the next appends are carried out and not answered."""
    append_s: Seconds = 0.0
    """How long an append takes, in seconds."""
    lose_starts: Count = 0
    """So many of the next starts are not answered, and carried out late."""
    late_start_s: Seconds = 0.5
    entries_silent: bool = False
    """Workers can't write their entries."""
    keep_ids: bool = False
    """A worker that has crashed starts again under its id and at its address."""
    lose_listings: Count = 0
    """So many of the next listings that wait for an end are never answered."""
