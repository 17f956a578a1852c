"""Maps jobs and machines of each service to partitions."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cache
from hashlib import sha256
from typing import Final
from zlib import crc32

import msgspec
from result import Err, Ok, Result

WORKERS_PER_SHARE: Final = 24
"""Number of machines for which a service gets one more partition.

Smaller shares fill unevenly: of six with a dozen machines each, one wanted seven times what it had
while the others idled. Larger ones need more processor than a small owner has, since a start takes
0.6 ms of a core for the call alone.
"""


def fleet_partition(partitions: int) -> int:
    """Return the partition whose owner manages the machines of the whole fleet."""
    return partitions - 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Layout:
    """Assignment of services and machines to partitions.

    It is stored once and only ever extended: if a service's partitions or a machine's place
    changed, jobs would be routed to owners that don't know them, and workers would have two owners.
    """

    shares: Mapping[str, tuple[int, ...]] = field(default_factory=dict)
    """The partitions of each service; each has its own jobs and workers."""
    places: Mapping[str, int] = field(default_factory=dict)
    """The number of each machine, used to distribute a pool's machines evenly."""
    homes: Mapping[str, int] = field(default_factory=dict)
    """Number of machines that each service had when it was laid out, before any was moved."""
    is_mixed: bool = False
    """Whether each service distributes the machines differently; missing in older layouts."""

    def partitions_of(self, service: str) -> tuple[int, ...]:
        """Return the partitions of a service; none if it isn't laid out yet."""
        return self.shares.get(service, ())

    def partition_of_job(self, service: str, job_id: str) -> int | None:
        """Return the partition of a job; None if its service isn't laid out yet."""
        return _pick_partition(self.partitions_of(service), crc32(job_id.encode()))

    def partition_of_machine(self, service: str, machine: str) -> int | None:
        """Return the partition of a machine while it is in a service's pool.

        Neighbouring machines belong to different partitions, in an order that differs from service
        to service. Otherwise, long-running tasks of one service could keep all machines from the
        same partition of another; one share got 8 machines at its demand peak and its siblings 32.
        Machines that joined after the layout was made are distributed by a hash of their names.
        """
        partitions = self.partitions_of(service)
        place = self.places.get(machine)
        if place is None:
            return _pick_partition(partitions, crc32(machine.encode()))
        if self.is_mixed and partitions:
            place += _rotation_offset(service, place // len(partitions))
        return _pick_partition(partitions, place)

    def all_partitions(self) -> list[int]:
        """Return every partition that at least one service uses."""
        return sorted({number for shares in self.shares.values() for number in shares})

    def encode(self) -> bytes:
        """Return the layout in the encoding in which it is stored."""
        return msgspec.json.encode(self)


def decode_layout(value: bytes) -> Result[Layout, str]:
    """Decode a stored layout; returns the error's text if it is malformed."""
    try:
        return Ok(msgspec.json.decode(value, type=Layout))
    except (ValueError, RecursionError) as err:
        return Err(str(err))


def extend_layout(
    layout: Layout, *, services: list[str], pools: Mapping[str, list[str]], partitions: int
) -> Layout:
    """Return the layout extended by these services.

    `pools` has all machines, in the order of racks. The number of a service's partitions depends
    on all machines instead of its own, since its pool grows at a demand peak. Machines are
    numbered once, so that neighbours in a rack belong to different partitions and the loss of a
    rack affects all of them alike.
    """
    missing = [service for service in sorted(services) if service not in layout.shares]
    if not missing:
        return layout
    owned = max(1, partitions - 1)
    machines = [machine for pool in sorted(pools) for machine in pools[pool]]
    size = len(machines) / len(services)
    count = min(owned, max(1, round(size / WORKERS_PER_SHARE)))
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
def _rotation_offset(service: str, group: int) -> int:
    """Return the offset by which a service rotates the partitions of a group of neighbours.

    Uses a cryptographic hash: the CRCs of two services' names would differ by the same bits for
    every group, so both services would distribute machines alike.
    """
    return sha256(f"{service}/{group}".encode()).digest()[0]


def _pick_partition(partitions: tuple[int, ...], number: int) -> int | None:
    return partitions[number % len(partitions)] if partitions else None
