"""Which partitions run a service's jobs, and which of them each worker belongs to."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cache
from hashlib import sha256
from typing import Final
from zlib import crc32

import msgspec
from result import Err, Ok, Result

WORKERS_A_SHARE: Final = 24
"""Machines for which a service gets one more partition.

Each share has jobs and machines of its own. Of six with a dozen each, one wanted seven times what
it had while the others idled, and a pool in its turn used 0.64 of its processor. Of three with 24,
it used 0.8, and 0.86 of a day's jobs were in time instead of 0.73. A start takes an owner 0.6 ms of
a core for the call alone: the busiest owner of such a share took 0.25 of a core as the mean of a
day, and 0.40 where tasks are shorter. Twice the size would ask for more than a small process has.
"""


def fleet_partition(partitions: int) -> int:
    """Return the partition whose owner moves and maintains machines."""
    return partitions - 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Layout:
    """How services are shared out among partitions.

    It is stored once and only ever grows: if a service's partitions or a machine's place changed,
    jobs would be sent to owners that don't know them, and a worker would have two.
    """

    shares: Mapping[str, tuple[int, ...]] = field(default_factory=dict)
    """The partitions of each service; each has its own jobs and workers."""
    places: Mapping[str, int] = field(default_factory=dict)
    """The number of each machine, by which the machines of a pool are dealt out evenly."""
    homes: Mapping[str, int] = field(default_factory=dict)
    """How many machines each service had when it was laid out, before any was moved."""
    is_mixed: bool = False
    """Each service deals the machines out in another way; layouts stored earlier don't say so."""

    def partitions_of(self, service: str) -> tuple[int, ...]:
        """Return the partitions of a service; none if it isn't laid out yet."""
        return self.shares.get(service, ())

    def partition_of_job(self, service: str, job_id: str) -> int | None:
        """Return the partition of a job; None if its service isn't laid out yet."""
        return _pick(self.partitions_of(service), crc32(job_id.encode()))

    def partition_of_machine(self, service: str, machine: str) -> int | None:
        """Return the partition of a machine while it is in a service's pool.

        Machines that came after the layout was made are dealt out by a hash of their names.

        Neighbours go to different shares, and which of them to which differs from service to
        service. Were it the same for all, the machines that could come to a share would be those
        of one share of each other service; where two of these have lasting tasks, which can't be
        sent away, a share got 8 machines in its turn and its three siblings 32 each.
        """
        partitions = self.partitions_of(service)
        place = self.places.get(machine)
        if place is None:
            return _pick(partitions, crc32(machine.encode()))
        if self.is_mixed and partitions:
            place += _rotation(service, place // len(partitions))
        return _pick(partitions, place)

    def all_partitions(self) -> list[int]:
        """Return every partition that has a share of a service."""
        return sorted({number for shares in self.shares.values() for number in shares})

    def encode(self) -> bytes:
        """Return the bytes under which it is stored."""
        return msgspec.json.encode(self)


def decode_layout(value: bytes) -> Result[Layout, str]:
    """Read a stored layout."""
    try:
        return Ok(msgspec.json.decode(value, type=Layout))
    except (ValueError, RecursionError) as err:
        return Err(str(err))


def extend_layout(
    layout: Layout, *, services: list[str], pools: Mapping[str, list[str]], partitions: int
) -> Layout:
    """Return a layout with these services too; `pools` has all machines, in the order of racks.

    A pool in its turn holds more machines than at first, so all machines count for its shares,
    and not its own ones. Machines are numbered once, so that the neighbours in a rack belong to
    different shares and the loss of a rack hits all of them alike.
    """
    missing = [service for service in sorted(services) if service not in layout.shares]
    if not missing:
        return layout
    owned = max(1, partitions - 1)
    machines = [machine for pool in sorted(pools) for machine in pools[pool]]
    size = len(machines) / len(services)
    count = min(owned, max(1, round(size / WORKERS_A_SHARE)))
    first = sum(len(shares) for shares in layout.shares.values())
    shares = dict(layout.shares)
    for number, service in enumerate(missing):
        start = first + number * count
        shares[service] = tuple((start + further) % owned for further in range(count))
    places = layout.places or {machine: number for number, machine in enumerate(machines)}
    homes = {service: len(pools.get(service, [])) for service in missing}
    return Layout(
        shares=shares,
        places=places,
        homes=dict(layout.homes) | homes,
        is_mixed=layout.is_mixed or not layout.places,
    )


@cache
def _rotation(service: str, group: int) -> int:
    """Return by how much the shares of a group of neighbours are turned for a service.

    By a cryptographic hash: cyclic checks of two names differ by the same bits whatever follows
    them, and two services would deal alike.
    """
    return sha256(f"{service}/{group}".encode()).digest()[0]


def _pick(partitions: tuple[int, ...], number: int) -> int | None:
    return partitions[number % len(partitions)] if partitions else None
