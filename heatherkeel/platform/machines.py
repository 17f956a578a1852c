"""Calls to the service that moves machines between pools and takes them down for maintenance."""

from __future__ import annotations

import logging
from typing import Any, Final
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from .caller import HttpCaller, Reply
from .errors import CallError, Failure
from .operator import Capacity

_LOGGER = logging.getLogger(__name__)

CALL_TIMEOUT_S: Final = 1.5
"""Timeout of a call, in seconds."""


class Machine(msgspec.Struct, frozen=True, kw_only=True):
    """A machine, its pool and the incarnation of the worker on it."""

    name: str = msgspec.field(name="machine")
    pool: str
    state: str
    zone: str = ""
    labels: list[str] = msgspec.field(default_factory=list)
    capacity: Capacity = msgspec.field(default_factory=Capacity)
    worker_id: str | None = msgspec.field(name="id", default=None)

    def is_up(self) -> bool:
        """Return whether it is neither moving, in maintenance nor down."""
        return self.state == "up"

    def is_taken(self) -> bool:
        """Return whether it is being moved or maintained, as an instance has ordered."""
        return self.state in ("moving", "upkeep")

    def rack(self) -> str:
        """Return its rack, which is the second label."""
        return self.labels[1] if len(self.labels) > 1 else ""


class _Page(msgspec.Struct, kw_only=True):
    machines: list[msgspec.Raw] = []
    """Decoded one by one: one that can't be read must not hide the others."""
    next_page: str | None = msgspec.field(name="nextPageToken", default=None)


class _Refusal(msgspec.Struct, kw_only=True):
    reason: str = ""


def decode_machines(rows: list[msgspec.Raw]) -> list[Machine]:
    """Decode machines; one that can't be read is left out and logged."""
    machines = []
    for row in rows:
        try:
            machines.append(msgspec.json.decode(row, type=Machine))
        except (ValueError, RecursionError) as err:
            _LOGGER.error(
                "cannot decode a machine; it is left out",
                extra={"event": "machine_unreadable", "detail": str(err)},
            )
    return machines


class MachineClient:
    """Client of the machine service; sends orders as a lease holder."""

    def __init__(self, *, address: str, holder: str) -> None:
        self.holder = holder
        self.caller = HttpCaller(address=address, connections=6)

    async def close(self) -> None:
        """Close all connections."""
        await self.caller.close()

    async def async_list(self) -> Result[list[Machine], CallError]:
        """Read the list of all machines, page by page."""
        machines: list[Machine] = []
        page_token: str | None = ""
        while page_token is not None:
            query = f"?{urlencode({'pageToken': page_token})}" if page_token else ""
            called = await self.caller.async_call(
                "GET", f"/heatherkeel/machines{query}", timeout_s=CALL_TIMEOUT_S
            )
            checked = called.and_then(_check)
            if isinstance(checked, Err):
                return checked
            try:
                page = msgspec.json.decode(checked.ok_value.body, type=_Page)
            except (ValueError, RecursionError) as err:
                return Err(CallError(failure=Failure.INVALID, detail=str(err)))
            machines += decode_machines(page.machines)
            page_token = page.next_page or None
        return Ok(machines)

    async def async_move(self, machine: str, *, pool: str, token: int) -> Result[None, CallError]:
        """Move a machine to another pool; this ends all tasks on it immediately."""
        return await self._async_order("machine-move", {"machine": machine, "pool": pool}, token)

    async def async_maintain(
        self, machine: str, *, wave: int, token: int
    ) -> Result[None, CallError]:
        """Take a machine down for maintenance; this ends all tasks on it immediately."""
        return await self._async_order("machine-upkeep", {"machine": machine, "wave": wave}, token)

    async def _async_order(
        self, name: str, body: dict[str, Any], token: int
    ) -> Result[None, CallError]:
        headers = [
            ("heatherkeel-lease-holder", self.holder),
            ("heatherkeel-fencing-token", str(token)),
        ]
        called = await self.caller.async_call(
            "POST",
            f"/heatherkeel/{name}",
            body=msgspec.json.encode(body),
            headers=headers,
            timeout_s=CALL_TIMEOUT_S,
        )
        checked = called.and_then(_check)
        return Err(checked.err_value) if isinstance(checked, Err) else Ok(None)


def _check(reply: Reply) -> Result[Reply, CallError]:
    if reply.status == 200:
        return Ok(reply)
    if reply.status in (429, 503):
        return Err(CallError(failure=Failure.REFUSED, status=reply.status))
    if reply.status == 409:
        try:
            reason = msgspec.json.decode(reply.body, type=_Refusal).reason
        except ValueError as err:
            reason = f"not readable: {err}"
        failure = Failure.FENCED if reason == "fence" else Failure.RESERVED
        return Err(CallError(failure=failure, status=409, detail=reason))
    failure = Failure.INVALID if reply.status < 500 else Failure.UNKNOWN
    return Err(CallError(failure=failure, status=reply.status, detail=f"status {reply.status}"))
