"""Carries out the platform stand-in's operations: the instance goes away, and mostly comes back."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

import httpcore
import msgspec
import trio

from heatherkeel.fleetlog.models import (
    ListedInstance,
    ListedState,
    OperationAction,
    OperationRequest,
    OperationState,
    OperationStatus,
)

from .models import PlatformFaults, Reboot

CALL_TIMEOUT_S: Final = 1.0
POLL_S: Final = 0.02


@dataclass(kw_only=True)
class Operations:
    """Operations by id; each is carried out once, in the background."""

    find_instance: Callable[[str], ListedInstance]
    list_instance: Callable[[ListedInstance], None]
    by_id: dict[str, OperationStatus] = field(default_factory=dict)
    boots: Counter[str] = field(default_factory=Counter)
    nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Say where operations run."""
        self.nursery = nursery

    def accept(
        self, operation_id: str, *, instance: str, request: OperationRequest, faults: PlatformFaults
    ) -> OperationStatus:
        """Take an operation in, or return the one that has this id."""
        known = self.by_id.get(operation_id)
        if known is not None:
            return known
        operation = OperationStatus(
            id=operation_id, instance=instance, action=request.action, boot_id=request.boot_id
        )
        self.by_id[operation_id] = operation
        if self.nursery is not None:
            self.nursery.start_soon(self._async_carry_out, operation, faults)
        return operation

    def count(self) -> dict[str, int]:
        """Return how often each instance was rebooted or stopped."""
        return dict(self.boots)

    async def _async_carry_out(self, operation: OperationStatus, faults: PlatformFaults) -> None:
        await trio.sleep(faults.operation_delay_ms / 1000)
        listed = self.find_instance(operation.instance)
        if operation.boot_id not in ("", listed.boot_id):
            operation.state = OperationState.OVERTAKEN
            return
        self.boots[listed.id] += 1
        reboot = Reboot(
            boot_id=f"boot-{self.boots[listed.id] + 1}",
            away_ms=faults.reboot_ms,
            back=operation.action is OperationAction.REBOOT
            and listed.id not in faults.never_return,
            failing=listed.id in faults.return_failing,
        )
        self.list_instance(msgspec.structs.replace(listed, state=ListedState.DOWN))
        await async_tell_target(listed.address, "/standin/reboot", reboot)
        if reboot.back:
            await _async_wait_for_boot(listed.address, reboot.boot_id)
            live = msgspec.structs.replace(listed, state=ListedState.LIVE, boot_id=reboot.boot_id)
            self.list_instance(live)
            operation.new_boot_id = reboot.boot_id
        operation.state = OperationState.DONE


async def async_tell_target(address: str, path: str, value: Any) -> bytes:
    """Call a target's control path; an unreachable target answers nothing."""
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), CALL_TIMEOUT_S)
    method = "GET" if value is None else "PUT"
    content = None if value is None else msgspec.json.encode(value)
    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        try:
            response = await pool.request(
                method,
                f"http://{address}{path}",
                content=content,
                extensions={"timeout": timeout},
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return b""
    return response.content


async def _async_wait_for_boot(address: str, boot_id: str) -> None:
    while True:
        answer = await async_tell_target(address, "/standin/counts", None)
        if answer and msgspec.json.decode(answer)["boot_id"] == boot_id:
            return
        await trio.sleep(POLL_S)
