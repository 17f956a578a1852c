"""Where the owner of each partition takes questions."""

from __future__ import annotations

import logging

import trio
from result import Err

from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.platform.store import StoreClient

from .const import GROUP, HOLDERS_MAX_AGE_MS, HOLDERS_MIN_AGE_MS, HOLDERS_REFRESH_MS, WORK_TOPIC
from .member import parse_member

_LOGGER = logging.getLogger(__name__)


class Holders:
    """The list of holders as last read; read again when it is old or was found wrong."""

    def __init__(self, *, store: StoreClient) -> None:
        self.store = store
        self.addresses: dict[int, str] = {}
        self.rooms: dict[str, int] = {}
        """The processor of each owner's process by its address, in thousandths of a core."""
        self.answered_ms = -HOLDERS_MAX_AGE_MS
        """When the store answered last."""
        self.read_ms = -HOLDERS_MAX_AGE_MS
        self.lock = trio.Lock()

    async def async_find(self, partition: int, *, but_not: str = "") -> str:
        """Return the address of a partition's owner; empty if none is known.

        `but_not` is an address that has just failed: if the list still names it, the list is
        read again.
        """
        address = self.addresses.get(partition, "")
        age_ms = monotonic_ms() - self.read_ms
        is_wrong = not address or address == but_not
        if age_ms > HOLDERS_MAX_AGE_MS or (is_wrong and age_ms > HOLDERS_MIN_AGE_MS):
            await self._async_read()
        return self.addresses.get(partition, "")

    def list_others(self, own: str) -> list[str]:
        """Return the addresses of the owners that were read last, but for our own."""
        return sorted(set(self.addresses.values()) - {own})

    async def async_refresh(self, *, max_age_ms: int = HOLDERS_REFRESH_MS) -> bool:
        """Read the list unless it is so recent; says whether it is that now."""
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
                _LOGGER.warning(
                    "the list of owners can't be read; the old one is used",
                    extra={"event": "holders_unread", "detail": listed.err_value.detail},
                )
                return
            self.answered_ms = self.read_ms
            members = {
                holder.partition: parse_member(holder.member)
                for holder in listed.ok_value
                if holder.topic == WORK_TOPIC and holder.member
            }
            self.addresses = {number: address for number, (address, _) in members.items()}
            self.rooms = dict(members.values())
