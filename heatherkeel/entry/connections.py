"""Connections to targets: pooled ones of bounded age and idle time, and fresh ones for one use."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import httpcore
import trio

from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.requests.effects import CloseConnections

from .const import MAX_CONNECTION_AGE_MS, MAX_IDLE_CONNECTIONS, MAX_IDLE_S


def _make_pool(*, max_idle: int) -> httpcore.AsyncConnectionPool:
    # The reducer decides on retries; one inside of the library could run a request twice.
    return httpcore.AsyncConnectionPool(
        max_connections=None,
        max_keepalive_connections=max_idle,
        keepalive_expiry=MAX_IDLE_S,
        retries=0,
    )


@dataclass(kw_only=True)
class _TargetPool:
    """Connections to one target; `users` counts the requests that use one now."""

    address: str
    opened_ms: int
    pool: httpcore.AsyncConnectionPool = field(
        default_factory=lambda: _make_pool(max_idle=MAX_IDLE_CONNECTIONS)
    )
    users: int = 0
    retired: bool = False

    def serves(self, address: str, now_ms: int) -> bool:
        """Tell whether its connections may still be used for a target at this address."""
        return self.address == address and now_ms - self.opened_ms < MAX_CONNECTION_AGE_MS


class TargetConnections:
    """A pool for each target, so that its connections can be closed without the others'.

    Failure: something between the two ends forgets a connection, and it goes silent for good.
    Symptom: now and then a request waits until its deadline, though the target is well. Enough
    because no connection outlives its age, an idle one not even its idle time, and a request that
    must not be sent twice gets a connection of its own.
    """

    def __init__(self) -> None:
        self.pools: dict[str, _TargetPool] = {}
        self.retired: list[_TargetPool] = []
        self.fresh = _make_pool(max_idle=0)

    @asynccontextmanager
    async def async_use(
        self, target: str, address: str, *, fresh: bool
    ) -> AsyncIterator[httpcore.AsyncConnectionPool]:
        """Give the pool to send through, and keep it open for so long."""
        if fresh:
            yield self.fresh
            return
        entry = self._pool_of(target, address)
        entry.users += 1
        try:
            yield entry.pool
        finally:
            entry.users -= 1
            if entry.retired:
                await self._async_close_unused()

    def _pool_of(self, target: str, address: str) -> _TargetPool:
        entry = self.pools.get(target)
        now_ms = monotonic_ms()
        if entry is not None and entry.serves(address, now_ms):
            return entry
        self.retire(CloseConnections(target=target))
        self.pools[target] = _TargetPool(address=address, opened_ms=now_ms)
        return self.pools[target]

    def retire(self, effect: CloseConnections) -> None:
        """Use the connections to a target no more; those in use end first."""
        entry = self.pools.pop(effect.target, None)
        if entry is not None:
            entry.retired = True
            self.retired.append(entry)

    async def async_close_retired(self) -> None:
        """Close what was retired and is no longer in use; called by a timer."""
        await self._async_close_unused()

    async def _async_close_unused(self) -> None:
        unused = [entry for entry in self.retired if not entry.users]
        self.retired = [entry for entry in self.retired if entry.users]
        with trio.CancelScope(shield=True):
            for entry in unused:
                await entry.pool.aclose()

    async def close(self) -> None:
        """Close all connections."""
        for entry in [*self.pools.values(), *self.retired]:
            await entry.pool.aclose()
        await self.fresh.aclose()
