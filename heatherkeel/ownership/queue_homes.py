"""Assigns each queue, once, to the service whose partitions accept its jobs."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

import msgspec
from result import Err, Ok, Result

from heatherkeel.platform.operator import Queue

from .partitions import Layout

PAGE_BYTES: Final = 16_000
"""Size from which a page of homes takes no further queue, in bytes. A new queue costs each process
one page, and a record of the store may have 262,144 bytes."""
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


@dataclass(kw_only=True, slots=True)
class HomePages:
    """All homes, divided into the records in which they are stored.

    One record for all would limit the number of queues, and each new queue would be read by every
    process together with all others.
    """

    pages: dict[int, QueueHomes] = field(default_factory=dict)
    """By their numbers; releases without pages have all homes on the first, which may be larger."""

    def merge(self) -> QueueHomes:
        """Return the homes of all pages.

        The first page comes first: if an earlier release has given a queue on a later page another
        home there, that of the later page counts.
        """
        homes: dict[str, QueueHome] = {}
        for _, page in sorted(self.pages.items()):
            homes |= page.homes
        revision = max((page.revision for page in self.pages.values()), default=0)
        return QueueHomes(revision=revision, homes=homes)

    def extend(
        self, queues: Iterable[Queue], layout: Layout, *, unused: Collection[str] = ()
    ) -> list[int]:
        """Add the homes of new queues, and drop unused ones; return the pages that have changed."""
        places = {address: number for number, page in self.pages.items() for address in page.homes}
        changed: dict[int, dict[str, QueueHome]] = {}

        def edit(number: int) -> dict[str, QueueHome]:
            if number not in changed:
                page = self.pages.get(number)
                changed[number] = dict(page.homes) if page is not None else {}
            return changed[number]

        def find(number: int, address: str) -> QueueHome:
            homes = changed[number] if number in changed else self.pages[number].homes
            return homes[address]

        for address in unused:
            if address in places:
                del edit(places.pop(address))[address]
        room = _PageRoom(pages=self.pages)
        for queue in queues:
            address = queue.address()
            number = places.get(address)
            if number is not None:
                home = find(number, address)
                if queue.name not in home.names:
                    names = (*home.names, queue.name)
                    edit(number)[address] = QueueHome(service=home.service, names=names)
            elif layout.partitions_of(queue.service):
                home = QueueHome(service=queue.service, names=(queue.name,))
                places[address] = number = room.find(_measure(address, home))
                edit(number)[address] = home
        if not changed and not self.pages:
            changed[0] = {}
        revision = max((page.revision for page in self.pages.values()), default=0) + 1
        for number, homes in changed.items():
            self.pages[number] = QueueHomes(revision=revision, homes=homes)
        return sorted(changed)


class _PageRoom:
    """Finds pages with room for new homes."""

    def __init__(self, *, pages: Mapping[int, QueueHomes]) -> None:
        self.sizes = {
            number: sum(_measure(address, home) for address, home in page.homes.items())
            for number, page in pages.items()
        }
        self.number = 0

    def find(self, size: int) -> int:
        """Return the first page with room for a home of this size, and use the room."""
        while self.sizes.get(self.number, 0) and self.sizes[self.number] + size > PAGE_BYTES:
            self.number += 1
        self.sizes[self.number] = self.sizes.get(self.number, 0) + size
        return self.number


def _measure(address: str, home: QueueHome) -> int:
    """Return at least how many bytes a home takes in the record; JSON escapes may double it."""
    names = sum(len(name.encode()) + 3 for name in home.names)
    return len(address.encode()) + len(home.service.encode()) + names + STRUCTURE_BYTES
