"""Detects that this process reaches the store but no other process."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import trio

from heatherkeel.helpers.clock import monotonic_ms

from .const import ISOLATED_AFTER_MS, MAX_PEERS_PER_CHECK, PEER_CHECK_INTERVAL_MS
from .holders import HolderCache
from .member import ExclusionReason, GroupMember

_LOGGER = logging.getLogger(__name__)


class IsolationWatch:
    """Keeps an isolated process out of the group of owners.

    Such a process renews its membership, since it reaches the store, but it can't serve its
    partitions: entry instances and the fleet's owner can't reach it, and its pools get no machines.
    As the fleet's owner it sees no pool's load and moves no machine. A process that is alone in the
    group isn't isolated.
    """

    def __init__(
        self,
        *,
        member: GroupMember,
        holders: HolderCache,
        async_reach: Callable[[str], Awaitable[bool]],
    ) -> None:
        self.member = member
        self.holders = holders
        self.async_reach = async_reach
        self.last_contact_ms = monotonic_ms()

    def record_contact(self) -> None:
        """Record that another process has sent a question."""
        self.last_contact_ms = monotonic_ms()

    async def async_run(self) -> None:
        """Check until cancelled."""
        while True:
            await trio.sleep(PEER_CHECK_INTERVAL_MS / 1000)
            if (
                self.member.can_issue_orders()
                or ExclusionReason.ISOLATED in self.member.excluded_for
            ):
                await self._async_check()

    async def _async_check(self) -> None:
        if monotonic_ms() - self.last_contact_ms < PEER_CHECK_INTERVAL_MS:
            return self._record_reachable()
        await self.holders.async_refresh()
        peers = self._list_peers()
        if not peers:
            return self._record_reachable()
        # Start with another peer each time, so that a few dead ones can't hide the others.
        start = monotonic_ms() // PEER_CHECK_INTERVAL_MS % len(peers)
        for address in [*peers[start:], *peers[:start]][:MAX_PEERS_PER_CHECK]:
            if await self.async_reach(address):
                return self._record_reachable()
        if not self._is_overdue() or ExclusionReason.ISOLATED in self.member.excluded_for:
            return None
        # The cached list may name only peers that have died since. Read it again, so that the
        # last process doesn't give up partitions that nobody else can take over.
        is_read = await self.holders.async_refresh(max_age_ms=0)
        if is_read and not self._list_peers():
            return self._record_reachable()
        if self._is_overdue():
            _LOGGER.warning(
                "no other process can be reached; giving up all partitions",
                extra={"event": "isolated", "asked": len(peers[:MAX_PEERS_PER_CHECK])},
            )
            await self.member.async_pause(ExclusionReason.ISOLATED)
        return None

    def _is_overdue(self) -> bool:
        return monotonic_ms() - self.last_contact_ms >= ISOLATED_AFTER_MS

    def _list_peers(self) -> list[str]:
        return self.holders.list_others(self.member.address)

    def _record_reachable(self) -> None:
        self.last_contact_ms = monotonic_ms()
        if ExclusionReason.ISOLATED in self.member.excluded_for:
            _LOGGER.info("other processes can be reached again", extra={"event": "reachable"})
            self.member.resume(ExclusionReason.ISOLATED)
