"""Routes that carry calls to the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from result import Result

from .caller import HttpCaller, Reply
from .errors import CallError
from .transfer import Transfer

_TARGETS = "/heatherkeel/log-"


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreCall:
    """One call to the store as it is sent; `timeout_s` in seconds."""

    method: str
    target: str
    body: bytes | None = None
    timeout_s: float
    wait_s: float = 0.0
    """How long a read waits for a record, in seconds; such a read can be cancelled and repeated."""
    transfer: Transfer | None = None
    """Records what arrives of the answer to a direct call."""

    @property
    def waits(self) -> bool:
        """Return whether the call is a read that waits for records."""
        return self.wait_s > 0

    def is_for_store(self) -> bool:
        """Return whether the target is one of the store's record or group calls."""
        return self.target.startswith(_TARGETS)


class StoreRoute(Protocol):
    """Makes calls to the store; errors are those of `HttpCaller.async_call`."""

    async def async_call(self, caller: HttpCaller, call: StoreCall) -> Result[Reply, CallError]:
        """Make one call."""


class DirectRoute:
    """Calls the store directly, on the connections of the given caller."""

    async def async_call(self, caller: HttpCaller, call: StoreCall) -> Result[Reply, CallError]:
        """Make one call."""
        return await caller.async_call(
            call.method,
            call.target,
            body=call.body,
            timeout_s=call.timeout_s,
            transfer=call.transfer,
        )
