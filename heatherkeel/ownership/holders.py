"""Looks up the address of each partition's owner."""

from __future__ import annotations

import logging

import trio
from result import Err

from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.platform.store import StoreClient

from .const import GROUP, HOLDERS_MAX_AGE_MS, HOLDERS_MIN_AGE_MS, HOLDERS_REFRESH_MS, WORK_TOPIC
from .member import parse_member_name

_LOGGER = logging.getLogger(__name__)


class HolderCache:
    """Caches the list of partition holders; reads it again when it is old or found wrong."""

    def __init__(self, *, store: StoreClient) -> None:
        self.store = store
        self.addresses: dict[int, str] = {}
        """The address of each partition's owner."""
        self.capacities: dict[str, int] = {}
        """The processor of each owner by its address, in thousandths of a core."""
        self.answered_ms = -HOLDERS_MAX_AGE_MS
        """When the store last answered a read."""
        self.read_ms = -HOLDERS_MAX_AGE_MS
        """When the list was last read, successfully or not."""
        self.lock = trio.Lock()
        self.connected = True
        """The last read succeeded, or there was none."""

    async def async_find(self, partition: int, *, failed_address: str = "") -> str:
        """Return the address of a partition's owner; empty if none is known.

        `failed_address` is an address that has just failed: if the list still names it, the list is
        read again.
        """
        address = self.addresses.get(partition, "")
        age_ms = monotonic_ms() - self.read_ms
        is_wrong = not address or address == failed_address
        if age_ms > HOLDERS_MAX_AGE_MS or (is_wrong and age_ms > HOLDERS_MIN_AGE_MS):
            await self._async_read()
        return self.addresses.get(partition, "")

    def list_others(self, own: str) -> list[str]:
        """Return the cached addresses of all owners except `own`."""
        return sorted(set(self.addresses.values()) - {own})

    async def async_refresh(self, *, max_age_ms: int = HOLDERS_REFRESH_MS) -> bool:
        """Read the list if it is older than `max_age_ms`; return whether it is recent now."""
        since_ms = monotonic_ms() - max_age_ms
        if self.read_ms < since_ms:
            await self._async_read()
        return self.answered_ms >= since_ms

    async def _async_read(self) -> None:
        asked_ms = monotonic_ms()
        async with self.lock:
            if self.read_ms >= asked_ms:
                return
            listed = await self.store.async_list_holders(group=GROUP)
            self.read_ms = monotonic_ms()
            if isinstance(listed, Err):
                self._record_failure(listed.err_value.detail)
                return
            self._record_success()
            self.answered_ms = self.read_ms
            members = {
                holder.partition: parse_member_name(holder.member)
                for holder in listed.ok_value
                if holder.topic == WORK_TOPIC and holder.member
            }
            self.addresses = {number: address for number, (address, _) in members.items()}
            self.capacities = dict(members.values())

    def _record_failure(self, detail: str) -> None:
        """Log that the list can't be read, once per outage."""
        if self.connected:
            self.connected = False
            _LOGGER.warning(
                "cannot read the list of partition owners; using the previous list",
                extra={"event": "holders_unread", "detail": detail},
            )

    def _record_success(self) -> None:
        if not self.connected:
            self.connected = True
            _LOGGER.info(
                "the list of partition owners can be read again",
                extra={"event": "holders_regained"},
            )
