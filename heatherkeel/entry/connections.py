"""Connections to targets: pooled ones of limited age, and single-use ones."""

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
    # The reducer decides on retries; a retry by the library could run a request twice.
    return httpcore.AsyncConnectionPool(
        max_connections=None,
        max_keepalive_connections=max_idle,
        keepalive_expiry=MAX_IDLE_S,
        retries=0,
    )


@dataclass(kw_only=True)
class _TargetPool:
    """Connections to one target; `users` counts the requests in progress on them."""

    address: str
    opened_ms: int
    pool: httpcore.AsyncConnectionPool = field(
        default_factory=lambda: _make_pool(max_idle=MAX_IDLE_CONNECTIONS)
    )
    users: int = 0
    retired: bool = False

    def serves(self, address: str, now_ms: int) -> bool:
        """Return whether its connections may still be used for a target at this address."""
        return self.address == address and now_ms - self.opened_ms < MAX_CONNECTION_AGE_MS


class TargetConnections:
    """One connection pool per target, so that the pools can be closed separately.

    A middlebox may drop a connection without notice, so that a request on it waits until its
    deadline. Therefore the age and idle time of connections are limited, and a request that must
    not be sent twice gets a new connection.
    """

    def __init__(self) -> None:
        self.pools: dict[str, _TargetPool] = {}
        self.retired: list[_TargetPool] = []
        self.fresh = _make_pool(max_idle=0)

    @asynccontextmanager
    async def async_use(
        self, target: str, address: str, *, fresh: bool
    ) -> AsyncIterator[httpcore.AsyncConnectionPool]:
        """Provide the pool for a request, and keep it open until the request ends."""
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
        """Stop using the connections to a target; those in use are closed when they become idle."""
        entry = self.pools.pop(effect.target, None)
        if entry is not None:
            entry.retired = True
            self.retired.append(entry)

    async def async_close_retired(self) -> None:
        """Close the retired pools that are no longer in use; called by a timer."""
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
