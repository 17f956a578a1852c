"""The way that a call to the store takes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from result import Result

from .caller import HttpCaller, Reply
from .errors import CallError

_TARGETS = "/heatherkeel/log-"


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreCall:
    """One call to the store, as it stands on the wire; `timeout_s` in seconds."""

    method: str
    target: str
    body: bytes | None = None
    timeout_s: float
    wait_s: float = 0.0
    """How long a reading waits for a record; it may be given up and made again at any time."""

    @property
    def waits(self) -> bool:
        """Say whether the call is a reading that waits."""
        return self.wait_s > 0

    def is_for_store(self) -> bool:
        """Say whether the target is one of the store's calls on records and groups."""
        return self.target.startswith(_TARGETS)


class StoreRoute(Protocol):
    """Makes calls to the store; errors are those of `HttpCaller.async_call`."""

    async def async_call(self, caller: HttpCaller, call: StoreCall) -> Result[Reply, CallError]:
        """Make one call."""


class DirectRoute:
    """From this process to the store, on the caller's own connections."""

    async def async_call(self, caller: HttpCaller, call: StoreCall) -> Result[Reply, CallError]:
        """Make one call."""
        return await caller.async_call(
            call.method, call.target, body=call.body, timeout_s=call.timeout_s
        )
