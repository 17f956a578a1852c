"""Keeps this process in the group of owners, and tells what it gains and loses."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from enum import StrEnum

import trio
from result import Err

from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.platform.store import StoreClient

from .const import GROUP, RENEW_INTERVAL_MS, RETRY_INTERVAL_MS, TTL_MS, WORK_TOPIC
from .tenure import Change, Tenure

_LOGGER = logging.getLogger(__name__)


class StayOut(StrEnum):
    """Why a process doesn't take part in owning partitions."""

    ISOLATED = "isolated"
    """No other process can be reached."""
    RESERVE = "reserve"
    """It has little processor, and larger ones own everything."""


def name_member(address: str, *, room: int, life: str) -> str:
    """Return a member's name: where it takes questions, its processor, and which life it is."""
    return f"{address}/{room}/{life}"


def parse_member(name: str) -> tuple[str, int]:
    """Return a member's address, and its processor in thousandths of a core; 0 if not told."""
    address, _, rest = name.partition("/")
    room, _, _ = rest.partition("/")
    return address, int(room) if room.isdecimal() else 0


class GroupMember:
    """One process's membership; its name tells others where to reach it."""

    def __init__(
        self,
        *,
        store: StoreClient,
        address: str,
        incarnation: str,
        room: int = 0,
        on_change: Callable[[Change], Awaitable[None]],
    ) -> None:
        self.store = store
        self.address = address
        self.incarnation = incarnation
        self.room = room
        self.on_change = on_change
        self.tenure = Tenure(topic=WORK_TOPIC)
        self.leaves = 0
        """How often this process gave its membership up; part of its name, so that the
        platform sees a new member and raises the generation."""
        self.connected = True
        self.answered_ms = monotonic_ms()
        """When the store answered a renewal last."""
        self.closing = False
        self.out_for: set[StayOut] = set()
        self.fence_seen = trio.Event()
        self.resumed = trio.Event()
        """Set when a reason to stay out has gone."""

    @property
    def name(self) -> str:
        """Return the member's name; it changes with each time that the membership is given up."""
        life = f"{self.incarnation}-{self.leaves}"
        return name_member(self.address, room=self.room, life=life)

    @property
    def is_paused(self) -> bool:
        """Say whether this process stays out of the group."""
        return bool(self.out_for)

    def start(self, nursery: trio.Nursery) -> None:
        """Begin to renew the membership."""
        nursery.start_soon(self._async_run)

    async def close(self) -> None:
        """Give all partitions up and leave the group, so that others take over at once."""
        self.closing = True
        await self.on_change(self.tenure.drop())
        await self._async_leave()

    def may_order(self) -> bool:
        """Say whether this process may still give orders for what it holds."""
        return not self.closing and self.tenure.is_valid(monotonic_ms())

    async def async_pause(self, reason: StayOut) -> None:
        """Give all partitions up, and stay out of the group until `resume`."""
        self.out_for.add(reason)
        await self.on_change(self.tenure.drop())
        await self._async_leave()
        self.leaves += 1

    def resume(self, reason: StayOut) -> None:
        """Join the group again, unless there is another reason not to."""
        self.out_for.discard(reason)
        self.resumed.set()

    def rejoin(self) -> None:
        """Join under a new name: somebody else has proved to own what this process held."""
        self.fence_seen.set()

    async def _async_run(self) -> None:
        while not self.closing:
            if self.is_paused:
                self.resumed = trio.Event()
                await self.resumed.wait()
                continue
            pause_ms = await self._async_renew()
            with trio.move_on_after(pause_ms / 1000):
                await self.fence_seen.wait()
            if self.fence_seen.is_set() and not self.closing:
                self.fence_seen = trio.Event()
                await self.on_change(self.tenure.drop())
                await self._async_leave()
                self.leaves += 1

    async def _async_renew(self) -> int:
        """Renew once; returns the pause until the next time in milliseconds."""
        name = self.name
        sent_ms = monotonic_ms()
        joined = await self.store.async_join(
            group=GROUP,
            member=name,
            topics=[WORK_TOPIC],
            ttl_ms=TTL_MS,
            generation=self.tenure.generation,
        )
        if self.closing or self.is_paused or name != self.name:
            # Given up meanwhile: this answer may have come after the leave was carried out.
            return 0
        if isinstance(joined, Err):
            self._tell_connected(False, joined.err_value.detail)
            return RETRY_INTERVAL_MS
        self.answered_ms = monotonic_ms()
        self._tell_connected(True, "")
        change = self.tenure.take(joined.ok_value, sent_ms=sent_ms, now_ms=monotonic_ms())
        if not change.lost and not change.gained:
            return RENEW_INTERVAL_MS
        _LOGGER.info(
            "ownership changed",
            extra={
                "event": "ownership",
                "generation": self.tenure.generation,
                "lost": sorted(change.lost),
                "gained": sorted(change.gained),
            },
        )
        await self.on_change(change)
        # A partition that was lost goes to its next owner only once this process has said, by
        # joining with the new generation, that it knows.
        return 0 if change.lost else RENEW_INTERVAL_MS

    async def _async_leave(self) -> None:
        left = await self.store.async_leave(group=GROUP, member=self.name)
        if isinstance(left, Err):
            _LOGGER.warning(
                "could not leave the group: its partitions wait until the membership runs out",
                extra={"event": "leave_failed", "detail": left.err_value.detail},
            )

    def _tell_connected(self, connected: bool, detail: str) -> None:
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
