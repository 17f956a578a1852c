"""Finds out that no other process can be reached, though the store can."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import trio

from heatherkeel.helpers.clock import monotonic_ms

from .const import ISOLATED_AFTER_MS, PEER_CHECK_INTERVAL_MS, PEERS_ASKED
from .holders import Holders
from .member import GroupMember, StayOut

_LOGGER = logging.getLogger(__name__)


class IsolationWatch:
    """Keeps a process out of the group of owners while no other can reach it.

    Such a process keeps its membership, since it reaches the store. As the fleet's owner it sees
    no pool's load and moves no machine; as an owner of jobs it is asked in vain by all fronts, and
    its pools get no machines. One that is alone in the group stays.
    """

    def __init__(
        self,
        *,
        member: GroupMember,
        holders: Holders,
        async_reach: Callable[[str], Awaitable[bool]],
    ) -> None:
        self.member = member
        self.holders = holders
        self.async_reach = async_reach
        self.heard_ms = monotonic_ms()

    def take_heard(self) -> None:
        """Hear that another process has asked something."""
        self.heard_ms = monotonic_ms()

    async def async_run(self) -> None:
        """Check until cancelled."""
        while True:
            await trio.sleep(PEER_CHECK_INTERVAL_MS / 1000)
            if self.member.may_order() or StayOut.ISOLATED in self.member.out_for:
                await self._async_check()

    async def _async_check(self) -> None:
        if monotonic_ms() - self.heard_ms < PEER_CHECK_INTERVAL_MS:
            return self._take_reached()
        await self.holders.async_refresh()
        peers = self._list_peers()
        if not peers:
            return self._take_reached()
        # Others each time, so that one dead peer doesn't count for all.
        start = monotonic_ms() // PEER_CHECK_INTERVAL_MS % len(peers)
        for address in [*peers[start:], *peers[:start]][:PEERS_ASKED]:
            if await self.async_reach(address):
                return self._take_reached()
        if not self._is_long() or StayOut.ISOLATED in self.member.out_for:
            return None
        # The list that was read last may name peers that have died since, and only these: a
        # process that is left alone would give up what nobody else can take.
        is_read = await self.holders.async_refresh(max_age_ms=0)
        if is_read and not self._list_peers():
            return self._take_reached()
        if self._is_long():
            _LOGGER.warning(
                "no other process can be reached; giving up all partitions",
                extra={"event": "isolated", "asked": len(peers[:PEERS_ASKED])},
            )
            await self.member.async_pause(StayOut.ISOLATED)
        return None

    def _is_long(self) -> bool:
        return monotonic_ms() - self.heard_ms >= ISOLATED_AFTER_MS

    def _list_peers(self) -> list[str]:
        return self.holders.list_others(self.member.address)

    def _take_reached(self) -> None:
        self.heard_ms = monotonic_ms()
        if StayOut.ISOLATED in self.member.out_for:
            _LOGGER.info("other processes can be reached again", extra={"event": "reachable"})
            self.member.resume(StayOut.ISOLATED)
