"""Which partition a service belongs to."""

from __future__ import annotations

from zlib import crc32


def fleet_partition(partitions: int) -> int:
    """Return the partition whose owner moves and maintains machines."""
    return partitions - 1


def partition_of(service: str, partitions: int) -> int:
    """Return the partition of a service's jobs and workers.

    A hash of the name alone: with a place in a list, adding a service would send the jobs of
    others to owners that don't know them.
    """
    if partitions == 1:
        return 0
    return crc32(service.encode()) % (partitions - 1)
