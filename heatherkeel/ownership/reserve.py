"""Keeps processes with little processor out of the group while larger ones own everything."""

from __future__ import annotations

import logging

import trio

from heatherkeel.helpers.clock import monotonic_ms

from .const import (
    ENOUGH_ROOM,
    FEWEST_OWNERS,
    RESERVE_CHECK_MS,
    RESERVE_RECHECK_MS,
    STAND_BACK_AFTER_MS,
    STEP_IN_AFTER_MS,
)
from .holders import Holders
from .member import GroupMember, StayOut

_LOGGER = logging.getLogger(__name__)


class ReserveWatch:
    """Lets a small process join only when partitions would be without an owner otherwise.

    The platform deals partitions out evenly among whoever joins. Where most machines have half a
    core, most partitions would go to them, and their jobs would wait for their owner's calls
    while the larger machines idle.
    """

    def __init__(
        self, *, member: GroupMember, holders: Holders, room: int, partitions: int
    ) -> None:
        self.member = member
        self.holders = holders
        self.room = room
        self.partitions = partitions
        self.changing_since_ms: int | None = None
        """Since when each look has asked for the other state."""
        if room < ENOUGH_ROOM:
            member.out_for.add(StayOut.RESERVE)

    async def async_run(self) -> None:
        """Check until cancelled; a process with enough room has nothing to check."""
        while self.room < ENOUGH_ROOM:
            waits_for_change = self.changing_since_ms is not None
            pause_ms = RESERVE_RECHECK_MS if waits_for_change else RESERVE_CHECK_MS
            await trio.sleep(pause_ms / 1000)
            if await self.holders.async_refresh(max_age_ms=0):
                await self._async_decide()

    async def _async_decide(self) -> None:
        is_out = StayOut.RESERVE in self.member.out_for
        lacks_owners = self._lacks_owners(larger_only=not is_out)
        wants_change = lacks_owners if is_out else not lacks_owners
        if not wants_change:
            self.changing_since_ms = None
            return
        now_ms = monotonic_ms()
        if self.changing_since_ms is None:
            self.changing_since_ms = now_ms
        waited_ms = now_ms - self.changing_since_ms
        if waited_ms < (STEP_IN_AFTER_MS if is_out else STAND_BACK_AFTER_MS):
            return
        self.changing_since_ms = None
        _LOGGER.info(
            "a small process %s",
            "joins the owners" if is_out else "leaves the owners to larger ones",
            extra={
                "event": "reserve",
                "room": self.room,
                "owners": len(self.holders.rooms),
                "owned": len(self.holders.addresses),
            },
        )
        if is_out:
            self.member.resume(StayOut.RESERVE)
        else:
            await self.member.async_pause(StayOut.RESERVE)

    def _lacks_owners(self, *, larger_only: bool) -> bool:
        """Say whether partitions lack an owner, or have so few that their loss would hurt."""
        least = ENOUGH_ROOM if larger_only else 0
        owners = [room for room in self.holders.rooms.values() if room >= least]
        return len(owners) < FEWEST_OWNERS or len(self.holders.addresses) < self.partitions
