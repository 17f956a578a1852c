"""What owners of partitions tell each other about durations, through the fleet's owner."""

from __future__ import annotations

import msgspec

from heatherkeel.platform.ranges import Figure, Int64


class QueueRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What is known of a queue."""

    queue: str
    sums: list[Figure]


class ContentRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What is known of a content that was repeated."""

    key: Int64
    tasks: Figure
    mean_log: Figure


class DurationsReport(msgspec.Struct, frozen=True, kw_only=True):
    """What one owner has learned itself, as far as it has changed since a revision."""

    owner: Int64
    """The owner's fencing token."""
    revision: Int64
    queues: list[QueueRow] = []
    contents: list[ContentRow] = []


class DurationsOffer(msgspec.Struct, frozen=True, kw_only=True):
    """What others have learned, for one partition's owner.

    Rows hold whole sums, so a lost, late or repeated offer does no harm.
    """

    relay: Int64
    """Fencing token of the fleet's owner, which passes it on."""
    owner: Int64
    """Fencing token of the owner whose report the relay knows; 0 if none."""
    since: Int64
    """Revision of that report."""
    age_ms: Int64 = 0
    """Time since the newest of it was reported."""
    queues: list[QueueRow] = []
    contents: list[ContentRow] = []
