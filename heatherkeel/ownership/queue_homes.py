"""Assigns each queue, once, to the service whose partitions accept its jobs."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import Final

import msgspec
from result import Err, Ok, Result

from heatherkeel.platform.operator import Queue

from .partitions import Layout

MAX_BYTES: Final = 120_000
"""Size of all homes, in bytes; less than half of what a record of the store may have."""
STRUCTURE_BYTES: Final = 32
"""Size of a home's punctuation and field names in the record, in bytes."""


class QueueHome(msgspec.Struct, frozen=True, kw_only=True):
    """The service whose partitions accept a queue's jobs, and all names of the queue since."""

    service: str
    names: tuple[str, ...]


class QueueHomes(msgspec.Struct, frozen=True, kw_only=True):
    """The home of each queue, by its host and path.

    A queue's home stays the same when a later version of the configuration gives it another
    service. If the partition of a job followed the queue's current service, a repeated submission
    would reach an owner that doesn't know the job, and would start it a second time.
    """

    revision: int = 0
    """Number of changes; 0 if no homes are stored, as by releases without them."""
    homes: Mapping[str, QueueHome] = {}

    def find_service(self, queue: Queue) -> str | None:
        """Return the service whose partitions accept a queue's jobs; None if not known yet."""
        if not self.revision:
            return queue.service
        home = self.homes.get(queue.address())
        return home.service if home is not None else None

    def has_all(self, queues: Iterable[Queue]) -> bool:
        """Return whether the homes of these queues are known."""
        return all(queue.address() in self.homes for queue in queues)

    def keep(self, addresses: Collection[str]) -> QueueHomes:
        """Return the homes of some queues alone; those of others have to be read again."""
        kept = {address: home for address, home in self.homes.items() if address in addresses}
        return QueueHomes(revision=self.revision, homes=kept)

    def encode(self) -> bytes:
        """Return the homes in the encoding in which they are stored."""
        return msgspec.json.encode(self)


def decode_queue_homes(value: bytes) -> Result[QueueHomes, str]:
    """Decode stored homes; returns the error's text if they are malformed."""
    try:
        return Ok(msgspec.json.decode(value, type=QueueHomes))
    except (ValueError, RecursionError) as err:
        return Err(str(err))


def extend_queue_homes(
    known: QueueHomes, queues: Iterable[Queue], layout: Layout, *, unused: Collection[str] = ()
) -> QueueHomes:
    """Return the homes with those of new queues, and without the unused ones.

    They are one record, which the store refuses for good if it is too large. So queues beyond
    `MAX_BYTES` get no home, and their jobs are refused.
    """
    homes = {address: home for address, home in known.homes.items() if address not in unused}
    size = sum(_measure(address, home) for address, home in homes.items())
    for queue in queues:
        address = queue.address()
        home = homes.get(address)
        if home is None and layout.partitions_of(queue.service):
            home = QueueHome(service=queue.service, names=())
        if home is None or queue.name in home.names:
            continue
        home = QueueHome(service=home.service, names=(*home.names, queue.name))
        added = _measure(address, home)
        if size + added <= MAX_BYTES:
            homes[address] = home
            size += added
    if homes == known.homes and known.revision:
        return known
    return QueueHomes(revision=known.revision + 1, homes=homes)


def _measure(address: str, home: QueueHome) -> int:
    """Return at least how many bytes a home takes in the record; JSON escapes may double it."""
    names = sum(len(name.encode()) + 3 for name in home.names)
    return len(address.encode()) + len(home.service.encode()) + names + STRUCTURE_BYTES
