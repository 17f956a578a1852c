"""Reads the layout that the fleet's owner has stored."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import trio
from result import Err, Ok

from heatherkeel.ownership.const import LAYOUT_KEY, LAYOUT_RETRY_S, WORK_TOPIC
from heatherkeel.ownership.partitions import Layout, decode_layout, fleet_partition
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient

from .directory import Directory

_LOGGER = logging.getLogger(__name__)


class LayoutReader:
    """Reads the layout while it lacks a configured service, and only then."""

    def __init__(
        self,
        *,
        store: StoreClient,
        partitions: int,
        directory: Directory,
        async_ask_peers: Callable[[], Awaitable[Layout | None]],
    ) -> None:
        self.store = store
        self.partition = fleet_partition(partitions)
        self.directory = directory
        self.async_ask_peers = async_ask_peers
        self.changed = trio.Event()

    async def async_run(self) -> None:
        """Check after each change of the directory, and read if necessary, until cancelled."""
        self.directory.subscribe(self._handle_change)
        while True:
            self.changed = trio.Event()
            while self._lacks_service():
                await self._async_read()
                await trio.sleep(LAYOUT_RETRY_S)
            await self.changed.wait()

    def _handle_change(self) -> None:
        self.changed.set()

    def _lacks_service(self) -> bool:
        known = self.directory.state
        return not known.serving() <= known.layout.shares.keys()

    async def _async_read(self) -> None:
        read = await self.store.async_read_all_newest(WORK_TOPIC, self.partition)
        if isinstance(read, Err):
            # If only this partition of the store is unavailable, a starting process would refuse
            # jobs of all other partitions.
            _LOGGER.info(
                "cannot read the layout; asking other processes",
                extra={"event": "layout_unread", "detail": read.err_value.detail},
            )
            layout = await self.async_ask_peers()
            if layout is not None:
                self.directory.apply_layout(layout)
            return
        stored = find_layout(read.ok_value.records)
        if stored is not None:
            self.directory.apply_layout(stored)


def find_layout(records: list[KeyedRecord]) -> Layout | None:
    """Return the layout that is stored in the fleet's partition, empty if there is none.

    Returns None if the stored layout can't be decoded, as after a downgrade. It must not be
    replaced then, since existing jobs are routed by it.
    """
    stored = [record for record in records if record.key == LAYOUT_KEY and record.value]
    if not stored:
        return Layout()
    # Pages are no snapshot: a key may occur twice, and only its last record counts.
    match decode_layout(max(stored, key=lambda record: record.offset).value):
        case Ok(layout):
            return layout
        case Err(detail):
            _LOGGER.error(
                "cannot decode the layout", extra={"event": "layout_bad", "detail": detail}
            )
            return None
