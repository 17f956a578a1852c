"""Keeps this process in the group of owners and reports gained and lost partitions."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from enum import StrEnum

import trio
from result import Err

from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.platform.store import StoreClient

from .const import GROUP, RENEW_INTERVAL_MS, RETRY_INTERVAL_MS, TTL_MS, WORK_TOPIC
from .partition_ownership import OwnershipChange, PartitionOwnership

_LOGGER = logging.getLogger(__name__)


class ExclusionReason(StrEnum):
    """Why a process doesn't take part in partition ownership."""

    ISOLATED = "isolated"
    """No other process can be reached."""
    RESERVE = "reserve"
    """It is small, and larger processes own all partitions."""


def format_member_name(address: str, *, capacity: int, incarnation: str) -> str:
    """Return a member's name: its address for questions, its processor and its incarnation."""
    return f"{address}/{capacity}/{incarnation}"


def parse_member_name(name: str) -> tuple[str, int]:
    """Return a member's address and its processor in thousandths of a core; 0 if missing."""
    address, _, rest = name.partition("/")
    capacity, _, _ = rest.partition("/")
    return address, int(capacity) if capacity.isdecimal() else 0


class GroupMember:
    """One process's group membership; the member's name contains the process's address."""

    def __init__(
        self,
        *,
        store: StoreClient,
        address: str,
        incarnation: str,
        capacity: int = 0,
        on_change: Callable[[OwnershipChange], Awaitable[None]],
    ) -> None:
        self.store = store
        self.address = address
        self.incarnation = incarnation
        self.capacity = capacity
        """The processor of this process, in thousandths of a core."""
        self.on_change = on_change
        self.ownership = PartitionOwnership(topic=WORK_TOPIC)
        self.leave_count = 0
        """How often this process has left; part of its name, so that the platform sees a new
        member and raises the generation."""
        self.connected = True
        self.answered_ms = monotonic_ms()
        """When the store last answered a renewal."""
        self.closing = False
        self.excluded_for: set[ExclusionReason] = set()
        self.fenced = trio.Event()
        """Set when another process has proved to own a partition held here."""
        self.resumed = trio.Event()
        """Set when a reason for exclusion has ended."""

    @property
    def name(self) -> str:
        """Return the member's name; it changes each time the process leaves the group."""
        incarnation = f"{self.incarnation}-{self.leave_count}"
        return format_member_name(self.address, capacity=self.capacity, incarnation=incarnation)

    @property
    def is_paused(self) -> bool:
        """Return whether this process stays out of the group."""
        return bool(self.excluded_for)

    def start(self, nursery: trio.Nursery) -> None:
        """Start renewing the membership."""
        nursery.start_soon(self._async_run)

    async def close(self) -> None:
        """Give up all partitions and leave the group, so that others take over at once."""
        self.closing = True
        await self.on_change(self.ownership.release_all())
        await self._async_leave()

    def can_issue_orders(self) -> bool:
        """Return whether this process may still issue orders for its partitions."""
        return not self.closing and self.ownership.is_valid(monotonic_ms())

    async def async_pause(self, reason: ExclusionReason) -> None:
        """Give up all partitions, and stay out of the group until `resume`."""
        self.excluded_for.add(reason)
        await self.on_change(self.ownership.release_all())
        await self._async_leave()
        self.leave_count += 1

    def resume(self, reason: ExclusionReason) -> None:
        """Join the group again, unless another reason for exclusion remains."""
        self.excluded_for.discard(reason)
        self.resumed.set()

    def rejoin(self) -> None:
        """Join under a new name, since another process has proved to own a partition held here."""
        self.fenced.set()

    async def _async_run(self) -> None:
        while not self.closing:
            if self.is_paused:
                self.resumed = trio.Event()
                await self.resumed.wait()
                continue
            pause_ms = await self._async_renew()
            with trio.move_on_after(pause_ms / 1000):
                await self.fenced.wait()
            if self.fenced.is_set() and not self.closing:
                self.fenced = trio.Event()
                await self.on_change(self.ownership.release_all())
                await self._async_leave()
                self.leave_count += 1

    async def _async_renew(self) -> int:
        """Renew once; return the pause until the next renewal in milliseconds."""
        name = self.name
        sent_ms = monotonic_ms()
        joined = await self.store.async_join(
            group=GROUP,
            member=name,
            topics=[WORK_TOPIC],
            ttl_ms=TTL_MS,
            generation=self.ownership.generation,
        )
        if self.closing or self.is_paused or name != self.name:
            # The process has left meanwhile, so the answer may be outdated.
            return 0
        if isinstance(joined, Err):
            self._update_connected(False, joined.err_value.detail)
            return RETRY_INTERVAL_MS
        self.answered_ms = monotonic_ms()
        self._update_connected(True, "")
        change = self.ownership.apply_renewal(
            joined.ok_value, sent_ms=sent_ms, now_ms=monotonic_ms()
        )
        if not change.lost and not change.gained:
            return RENEW_INTERVAL_MS
        _LOGGER.info(
            "partition ownership changed",
            extra={
                "event": "ownership",
                "generation": self.ownership.generation,
                "lost": sorted(change.lost),
                "gained": sorted(change.gained),
            },
        )
        await self.on_change(change)
        # The platform assigns a lost partition to its next owner only after this process has
        # acknowledged the loss by joining with the new generation.
        return 0 if change.lost else RENEW_INTERVAL_MS

    async def _async_leave(self) -> None:
        left = await self.store.async_leave(group=GROUP, member=self.name)
        if isinstance(left, Err):
            _LOGGER.warning(
                "could not leave the group; partitions have no owner until the membership expires",
                extra={"event": "leave_failed", "detail": left.err_value.detail},
            )

    def _update_connected(self, connected: bool, detail: str) -> None:
        if connected == self.connected:
            return
        self.connected = connected
        event = "store_regained" if connected else "store_lost"
        _LOGGER.log(
            logging.INFO if connected else logging.WARNING,
            "renewals of the membership %s",
            "succeed again" if connected else "fail",
            extra={"event": event, "detail": detail},
        )
