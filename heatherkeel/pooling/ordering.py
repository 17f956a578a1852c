"""Stores orders for machines and sends them to the platform."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Final

import msgspec
import trio
from result import Err, Result

from heatherkeel.directory.follower import async_read_newest_with_retry
from heatherkeel.dispatch.journal import Journal
from heatherkeel.helpers.clock import monotonic_ms, wall_ms
from heatherkeel.platform.errors import CallError
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.machines import MachineClient
from heatherkeel.platform.store import StoreClient

from .const import CLOCK_SKEW_MARGIN_MS, MAX_ORDER_DELAY_MS, ORDER_RETENTION_MS
from .models import Intent, OrderAnswered, Purpose

_LOGGER = logging.getLogger(__name__)

ORDERS_TOPIC: Final = "keyed.orders"
"""Topic of the orders that are stored while the fleet's own partition is down."""
ORDERS_KEY: Final = "orders"
"""Key of the record with the time of each machine's last order."""


class MachineOrders:
    """Stores each order before sending it under the fleet owner's token."""

    def __init__(
        self,
        *,
        token: int,
        partitions: int,
        store: StoreClient,
        journal: Journal,
        client: MachineClient,
        can_order: Callable[[], bool],
        on_answered: Callable[[OrderAnswered], None],
    ) -> None:
        self.token = token
        self.partitions = partitions
        self.store = store
        self.journal = journal
        self.client = client
        self.can_order = can_order
        self.on_answered = on_answered
        self.fallback_partition = 0
        """Partition of the orders topic in which the last order was stored."""
        self.ordered_ms: dict[str, int] = {}
        """When each machine was last ordered away, in milliseconds since the epoch."""
        self.nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Set the nursery in which orders are sent."""
        self.nursery = nursery

    async def async_restore(self, own: Iterable[KeyedRecord], *, lease_ms: int) -> dict[str, int]:
        """Restore the orders of earlier owners; return until when each machine is blocked.

        `own` holds the records of the fleet's partition; times are on the monotonic clock.

        Two holders may not order the same machine within its lease. Each order is stored before
        it is sent, and this owner's epoch fences those that aren't stored yet.
        """
        blocked_until_ms: dict[str, int] = {}
        now_ms = monotonic_ms()
        for record in [*own, *await self._async_read_fallback()]:
            if record.key != ORDERS_KEY or not record.value:
                continue
            for machine, at_ms in msgspec.json.decode(record.value, type=dict[str, int]).items():
                self.ordered_ms[machine] = max(at_ms, self.ordered_ms.get(machine, 0))
                age_ms = max(0, wall_ms() - self.ordered_ms[machine])
                left_ms = max(0, lease_ms + CLOCK_SKEW_MARGIN_MS - age_ms)
                blocked_until_ms[machine] = now_ms + left_ms
        return blocked_until_ms

    async def _async_read_fallback(self) -> list[KeyedRecord]:
        """Read all partitions of the orders topic, waiting for those that are down."""
        records: list[KeyedRecord] = []

        async def async_read(partition: int) -> None:
            read = await async_read_newest_with_retry(self.store, ORDERS_TOPIC, partition)
            records.extend(read.records)

        async with trio.open_nursery() as nursery:
            for partition in range(self.partitions):
                nursery.start_soon(async_read, partition)
        return records

    def send(self, intent: Intent) -> None:
        """Store the order of an intent, and then send it."""
        now_wall_ms = wall_ms()
        self.ordered_ms = {
            machine: at_ms
            for machine, at_ms in self.ordered_ms.items()
            if now_wall_ms - at_ms < ORDER_RETENTION_MS
        } | {intent.machine: now_wall_ms}
        decided_ms = monotonic_ms()
        assert self.nursery is not None
        nursery = self.nursery
        if not self.journal.connected:
            nursery.start_soon(self._async_send_via_fallback, intent, decided_ms)
            return
        self.journal.put(ORDERS_KEY, self._encode)
        self.journal.when_stored(lambda: nursery.start_soon(self._async_send, intent, decided_ms))

    async def _async_send_via_fallback(self, intent: Intent, decided_ms: int) -> None:
        """Store an order in any available partition, and send it, while the fleet's is down.

        Otherwise no pool would get machines during a partial outage of the store. The next owner
        can't start before the fleet's partition is back, and it reads these records too.
        """
        record = KeyedRecord(key=ORDERS_KEY, value=self._encode())
        first = self.fallback_partition
        for further in range(self.partitions):
            partition = (first + further) % self.partitions
            stored = await self.store.async_append(ORDERS_TOPIC, partition, [record])
            if not isinstance(stored, Err):
                self.fallback_partition = partition
                return await self._async_send(intent, decided_ms)
            if monotonic_ms() - decided_ms > MAX_ORDER_DELAY_MS:
                break
        _LOGGER.warning(
            "order can't be stored, so it isn't sent",
            extra={"event": "order_unstored", "machine": intent.machine},
        )
        intent.ordered_ms = None
        return None

    def _encode(self) -> bytes:
        return msgspec.json.encode(self.ordered_ms)

    async def _async_send(self, intent: Intent, decided_ms: int) -> None:
        if not self.can_order() or monotonic_ms() - decided_ms > MAX_ORDER_DELAY_MS:
            intent.ordered_ms = None
            return
        ordered: Result[None, CallError]
        if intent.purpose is Purpose.MOVE:
            ordered = await self.client.async_move(
                intent.machine, pool=intent.pool, token=self.token
            )
        else:
            ordered = await self.client.async_maintain(
                intent.machine, wave=intent.wave, token=self.token
            )
        error = ordered.err_value if isinstance(ordered, Err) else None
        self.on_answered(OrderAnswered(now_ms=monotonic_ms(), machine=intent.machine, error=error))
