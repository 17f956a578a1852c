"""Assigns each queue, once, to the service whose partitions accept its jobs."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

import msgspec
from result import Err, Ok, Result

from heatherkeel.platform.operator import Queue

from .partitions import Layout


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
    """Return the homes with those of new queues, and without the unused ones."""
    homes = {address: home for address, home in known.homes.items() if address not in unused}
    for queue in queues:
        home = homes.get(queue.address())
        if home is None and layout.partitions_of(queue.service):
            home = QueueHome(service=queue.service, names=())
        if home is not None and queue.name not in home.names:
            home = QueueHome(service=home.service, names=(*home.names, queue.name))
        if home is not None:
            homes[queue.address()] = home
    if homes == known.homes and known.revision:
        return known
    return QueueHomes(revision=known.revision + 1, homes=homes)
