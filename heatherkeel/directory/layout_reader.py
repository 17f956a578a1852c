"""Reads the layout and the homes of queues that the fleet's owner has stored."""

from __future__ import annotations

import logging
import math
from collections.abc import Awaitable, Callable

import trio
from result import Err, Ok

from heatherkeel.ownership.const import (
    HOMES_RETRY_S,
    LAYOUT_KEY,
    LAYOUT_RETRY_S,
    QUEUE_HOMES_KEY,
    QUICK_READS,
    WORK_TOPIC,
)
from heatherkeel.ownership.partitions import Layout, decode_layout, fleet_partition
from heatherkeel.ownership.queue_homes import QueueHomes, decode_queue_homes
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient
from heatherkeel.questions.messages import LayoutAnswer

from .directory import Directory

_LOGGER = logging.getLogger(__name__)


class LayoutReader:
    """Reads layout and homes while they lack a configured service or queue, and only then."""

    def __init__(
        self,
        *,
        store: StoreClient,
        partitions: int,
        directory: Directory,
        async_ask_peers: Callable[[], Awaitable[LayoutAnswer | None]],
    ) -> None:
        self.store = store
        self.partition = fleet_partition(partitions)
        self.directory = directory
        self.async_ask_peers = async_ask_peers
        self.changed = trio.Event()
        self.read_s = 0.0
        """When it was last read, or this reader began, on trio's clock."""
        self.is_failing = False
        """The last read failed, which was logged at the first one."""

    async def async_run(self) -> None:
        """Check after each change of the directory, and read if necessary, until cancelled."""
        self.directory.subscribe(self._handle_change)
        self.read_s = trio.current_time()
        while True:
            self.changed = trio.Event()
            reads = 0
            while self._lacks_service() or self._lacks_home():
                await self._async_read()
                reads += 1
                # The fleet's owner stores a new queue's home at once, or can't for some time.
                is_soon = self._lacks_service() or reads <= QUICK_READS
                await trio.sleep(LAYOUT_RETRY_S if is_soon else HOMES_RETRY_S)
            if not self._has_homes() and trio.current_time() - self.read_s >= HOMES_RETRY_S:
                await self._async_read()
            until_s = math.inf if self._has_homes() else self.read_s + HOMES_RETRY_S
            with trio.move_on_at(until_s):
                await self.changed.wait()

    def _handle_change(self) -> None:
        self.changed.set()

    def _lacks_service(self) -> bool:
        known = self.directory.state
        return not known.serving() <= known.layout.shares.keys()

    def _lacks_home(self) -> bool:
        known = self.directory.state
        homes = known.queue_homes
        return (
            self._has_homes()
            and homes is not None
            and not homes.has_all(known.list_placed_queues())
        )

    def _has_homes(self) -> bool:
        """Return whether homes are stored; unreadable ones are, and stay so."""
        homes = self.directory.state.queue_homes
        return homes is None or homes.revision > 0

    async def _async_read(self) -> None:
        self.read_s = trio.current_time()
        read = await self.store.async_read_all_newest(WORK_TOPIC, self.partition)
        if isinstance(read, Err):
            # If only this partition of the store is unavailable, a starting process would refuse
            # jobs of all other partitions.
            if not self.is_failing:
                _LOGGER.info(
                    "cannot read the layout; asking other processes",
                    extra={"event": "layout_unread", "detail": read.err_value.detail},
                )
            self.is_failing = True
            answer = await self.async_ask_peers()
            if answer is not None:
                self.directory.apply_queue_homes(answer.queue_homes)
                self.directory.apply_layout(answer.layout)
            return
        self.is_failing = False
        # The homes first: with a layout alone, a moved queue's jobs would go to its new service.
        self.directory.apply_queue_homes(find_queue_homes(read.ok_value.records))
        stored = find_layout(read.ok_value.records)
        if stored is not None:
            self.directory.apply_layout(stored)


def find_layout(records: list[KeyedRecord]) -> Layout | None:
    """Return the layout that is stored in the fleet's partition, empty if there is none.

    Returns None if the stored layout can't be decoded, as after a downgrade. It must not be
    replaced then, since existing jobs are routed by it.
    """
    value = _find_value(records, LAYOUT_KEY)
    if not value:
        return Layout()
    match decode_layout(value):
        case Ok(layout):
            return layout
        case Err(detail):
            _LOGGER.error(
                "cannot decode the layout", extra={"event": "layout_bad", "detail": detail}
            )
            return None


def find_queue_homes(records: list[KeyedRecord]) -> QueueHomes | None:
    """Return the stored homes of queues, empty if there are none; None if they are unreadable.

    Like an unreadable layout, unreadable homes must not be replaced.
    """
    value = _find_value(records, QUEUE_HOMES_KEY)
    if not value:
        return QueueHomes()
    match decode_queue_homes(value):
        case Ok(homes):
            return homes
        case Err(detail):
            _LOGGER.error(
                "cannot decode the homes of queues",
                extra={"event": "queue_homes_bad", "detail": detail},
            )
            return None


def _find_value(records: list[KeyedRecord], key: str) -> bytes:
    """Return the newest value of a key; pages are no snapshot, so that it may occur twice."""
    stored = [record for record in records if record.key == key and record.value]
    return max(stored, key=lambda record: record.offset).value if stored else b""
