"""What owners of partitions tell each other about durations, through the fleet's owner."""

from __future__ import annotations

import msgspec


class QueueRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What is known of a queue."""

    queue: str
    sums: list[float]


class ContentRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What is known of a content that was repeated."""

    key: int
    tasks: float
    mean_log: float


class DurationsReport(msgspec.Struct, frozen=True, kw_only=True):
    """What one owner has learned itself, as far as it has changed since a revision."""

    owner: int
    """The owner's fencing token."""
    revision: int
    queues: list[QueueRow] = []
    contents: list[ContentRow] = []


class DurationsOffer(msgspec.Struct, frozen=True, kw_only=True):
    """What others have learned, for one partition's owner.

    Rows hold whole sums, so a lost, late or repeated offer does no harm.
    """

    relay: int
    """Fencing token of the fleet's owner, which passes it on."""
    owner: int
    """Fencing token of the owner whose report the relay knows; 0 if none."""
    since: int
    """Revision of that report."""
    age_ms: int = 0
    """Time since the newest of it was reported."""
    queues: list[QueueRow] = []
    contents: list[ContentRow] = []
