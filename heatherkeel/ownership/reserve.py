"""Keeps small processes out of the group while larger ones own all partitions."""

from __future__ import annotations

import logging

import trio

from heatherkeel.helpers.clock import monotonic_ms

from .const import (
    JOIN_AFTER_MS,
    LEAVE_AFTER_MS,
    MIN_OWNER_CAPACITY,
    MIN_OWNERS,
    RESERVE_CHECK_MS,
    RESERVE_RECHECK_MS,
)
from .holders import HolderCache
from .member import ExclusionReason, GroupMember

_LOGGER = logging.getLogger(__name__)


class ReserveWatch:
    """Lets a small process join only while there are too few larger owners.

    The platform assigns partitions evenly to all members. If small processes always joined, their
    partitions would be slow while larger machines idle.
    """

    def __init__(
        self, *, member: GroupMember, holders: HolderCache, capacity: int, partitions: int
    ) -> None:
        self.member = member
        self.holders = holders
        self.capacity = capacity
        self.partitions = partitions
        self.pending_since_ms: int | None = None
        """Since when all checks have called for a change; None if the last one didn't."""
        if capacity < MIN_OWNER_CAPACITY:
            member.excluded_for.add(ExclusionReason.RESERVE)

    async def async_run(self) -> None:
        """Check until cancelled; return at once if this process is large enough."""
        while self.capacity < MIN_OWNER_CAPACITY:
            is_pending = self.pending_since_ms is not None
            pause_ms = RESERVE_RECHECK_MS if is_pending else RESERVE_CHECK_MS
            await trio.sleep(pause_ms / 1000)
            if await self.holders.async_refresh(max_age_ms=0):
                await self._async_decide()

    async def _async_decide(self) -> None:
        is_excluded = ExclusionReason.RESERVE in self.member.excluded_for
        needs_owners = self._needs_owners(larger_only=not is_excluded)
        wants_change = needs_owners if is_excluded else not needs_owners
        if not wants_change:
            self.pending_since_ms = None
            return
        now_ms = monotonic_ms()
        if self.pending_since_ms is None:
            self.pending_since_ms = now_ms
        waited_ms = now_ms - self.pending_since_ms
        if waited_ms < (JOIN_AFTER_MS if is_excluded else LEAVE_AFTER_MS):
            return
        self.pending_since_ms = None
        _LOGGER.info(
            "small process %s",
            "joins the group of owners" if is_excluded else "leaves the group of owners",
            extra={
                "event": "reserve",
                "room": self.capacity,
                "owners": len(self.holders.capacities),
                "owned": len(self.holders.addresses),
            },
        )
        if is_excluded:
            self.member.resume(ExclusionReason.RESERVE)
        else:
            await self.member.async_pause(ExclusionReason.RESERVE)

    def _needs_owners(self, *, larger_only: bool) -> bool:
        """Return whether partitions have no owner, or too few processes own all of them."""
        threshold = MIN_OWNER_CAPACITY if larger_only else 0
        owners = [
            capacity for capacity in self.holders.capacities.values() if capacity >= threshold
        ]
        return len(owners) < MIN_OWNERS or len(self.holders.addresses) < self.partitions
