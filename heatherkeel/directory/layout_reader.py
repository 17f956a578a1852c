"""Reads the layout and the homes of queues that the fleet's owner has stored."""

from __future__ import annotations

import logging
import math
from collections.abc import Awaitable, Callable
from typing import Final

import trio
from result import Err, Ok, Result

from heatherkeel.ownership.const import HOMES_RETRY_S, LAYOUT_RETRY_S, QUICK_READS, WORK_TOPIC
from heatherkeel.ownership.partitions import fleet_partition
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient
from heatherkeel.questions.messages import LayoutAnswer

from .directory import Directory
from .stored_layout import find_layout, find_queue_homes, keep_layout_records

_LOGGER = logging.getLogger(__name__)

MAX_CHANGES_KB: Final = 256
"""Size of further records of the fleet's partition, in kB, above which the newest are read anew."""


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
        self.records: dict[str, KeyedRecord] = {}
        """The newest records of the layout and the homes, as far as they were read."""
        self.next_offset: int | None = None
        """Offset up to which they were read; None if all have to be read."""
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
        read = await self._async_read_changes()
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
        records = list(self.records.values())
        # The homes first: with a layout alone, a moved queue's jobs would go to its new service.
        self.directory.apply_queue_homes(find_queue_homes(records))
        stored = find_layout(records)
        if stored is not None:
            self.directory.apply_layout(stored)

    async def _async_read_changes(self) -> Result[None, CallError]:
        """Read what was stored since the last read, or everything if that is more or forgotten."""
        start = self.next_offset
        if start is not None:
            read = await self.store.async_read(
                WORK_TOPIC, self.partition, start=start, wait_ms=0, max_kb=MAX_CHANGES_KB
            )
            if isinstance(read, Err) and read.err_value.failure is not Failure.FORGOTTEN:
                return read
            if isinstance(read, Ok) and read.ok_value.is_whole():
                self._keep(read.ok_value.records, end=read.ok_value.end)
                return Ok(None)
        newest = await self.store.async_read_all_newest(WORK_TOPIC, self.partition)
        if isinstance(newest, Err):
            return newest
        self.records = {}
        self._keep(newest.ok_value.records, end=newest.ok_value.end)
        return Ok(None)

    def _keep(self, records: list[KeyedRecord], *, end: int) -> None:
        self.records = keep_layout_records(self.records, records)
        self.next_offset = end
