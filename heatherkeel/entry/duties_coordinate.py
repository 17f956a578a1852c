"""Coordinates drains; several entry processes may do so at once.

The steps follow from the folded state. Each record names the version that its author saw, and
each operation its drain, so another process can take over and repeats have no effect.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from functools import partial

import trio
from result import Err, Ok

from heatherkeel.core.models import Rejected
from heatherkeel.core.state import FleetState
from heatherkeel.fleetlog.models import (
    ListedInstance,
    ListedState,
    OperationAction,
    OperationRequest,
    OperationState,
    OperationStatus,
)
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.pools.models import InstanceStatus
from heatherkeel.waves.coordinator import Step, next_steps
from heatherkeel.waves.models import DrainStart, Returned
from heatherkeel.waves.policy import plan

from .const import PLAN_INTERVAL_MS, REBOOT_POLL_MS, RETRY_MS, TAKEOVER_MS, WRITE_TIMEOUT_S
from .duties_listing import InstanceListing
from .node import Node
from .probes import async_probe
from .takeover import TakeoverSchedule, rank_of

_LOGGER = logging.getLogger(__name__)

Proposal = DrainStart | Step


class Coordinator:
    """Proposes drains and their next steps, and requests reboots of stopped instances."""

    def __init__(self, *, node: Node, listing: InstanceListing) -> None:
        self.node = node
        self.listing = listing
        self.step_schedule = TakeoverSchedule(takeover_ms=TAKEOVER_MS, retry_ms=RETRY_MS)
        self.restart_schedule = TakeoverSchedule(takeover_ms=TAKEOVER_MS, retry_ms=REBOOT_POLL_MS)
        self.planned: list[DrainStart] = []
        self.planned_at_ms = 0

    async def async_coordinate(self) -> None:
        """Run all steps that are due for this process concurrently, and wait for them."""
        await self.node.follower.caught_up.wait()
        if not self.node.follower.reachable:
            return
        async with trio.open_nursery() as nursery:
            for work in self._find_work():
                nursery.start_soon(work)

    def _find_work(self) -> list[Callable[[], Awaitable[None]]]:
        fleet = self.node.state.fleet
        rank = rank_of(fleet, self.node.settings.instance.id, now_ms=self.node.clock.now_ms())
        now_ms = monotonic_ms()
        steps = {_key(step): step for step in self._find_steps(fleet, rank)}
        stopped = {drain_id: name for name, drain_id in _stopped(fleet)}
        due_steps = self.step_schedule.choose(steps, rank=rank, now_ms=now_ms)
        due_restarts = self.restart_schedule.choose(stopped, rank=rank, now_ms=now_ms)
        return [
            *(partial(self._async_propose, steps[key]) for key in due_steps),
            *(partial(self._async_restart, stopped[key], key) for key in due_restarts),
        ]

    def _find_steps(self, fleet: FleetState, rank: int) -> list[Proposal]:
        own_id = self.node.settings.instance.id
        now_ms = self.node.clock.now_ms()
        self._plan(fleet, now_ms, rank)
        known = fleet.pools.instances
        drains = [
            drain
            for drain in self.planned
            if drain.instance in known and known[drain.instance].version == drain.expected_version
        ]
        return [*next_steps(fleet, now_ms, coordinator=own_id), *drains]

    def _plan(self, fleet: FleetState, now_ms: int, rank: int) -> None:
        """Update the plan of drains periodically; processes of a lower rank do so less often.

        A plan reads every instance of the fleet, which is expensive in every entry process.
        """
        interval_ms = PLAN_INTERVAL_MS if rank == 0 else TAKEOVER_MS
        if monotonic_ms() - self.planned_at_ms < interval_ms:
            return
        self.planned_at_ms = monotonic_ms()
        self.planned = plan(fleet, now_ms, coordinator=self.node.settings.instance.id)

    async def _async_propose(self, proposal: Proposal) -> None:
        outcome = await self.node.writer.async_write(proposal, timeout_s=WRITE_TIMEOUT_S)
        match outcome:
            case Ok(settled):
                event = "step_accepted"
                if isinstance(settled.outcome, Rejected):
                    event = f"step_refused_{settled.outcome.reason}"
            case Err(failure):
                event = f"step_{failure}"
        fields = {"event": event, "step": type(proposal).__name__, "target": proposal.instance}
        _LOGGER.info("%s %s", fields["step"], proposal.instance, extra=fields)

    async def _async_restart(self, instance_id: str, drain_id: str) -> None:
        """Request a reboot or poll its progress, and report the instance's return.

        The drain's id is the operation's id, so the platform runs the reboot once even if a
        coordinator repeats the call. The operation also names the boot, so that a delayed one
        can't end a later boot.
        """
        drain = self.node.state.fleet.waves.drains.get(instance_id)
        if drain is None or drain.id != drain_id:
            return
        request = OperationRequest(action=OperationAction.REBOOT, boot_id=drain.stopped_boot_id)
        asked = await self.node.client.async_operate(
            instance_id, operation_id=drain_id, request=request
        )
        if isinstance(asked, Err):
            _LOGGER.warning("reboot: %s", asked.err_value.detail, extra={"event": "reboot_failed"})
            return
        line = self.listing.by_id.get(instance_id)
        if line is None or not has_returned(asked.ok_value, line):
            return
        if await async_probe(line.address):
            await self._async_report_return(instance_id, drain_id, line.boot_id)

    async def _async_report_return(self, instance_id: str, drain_id: str, boot_id: str) -> None:
        fleet = self.node.state.fleet
        drain = fleet.waves.drains.get(instance_id)
        if drain is None or drain.id != drain_id:
            return
        returned = Returned(
            instance=instance_id,
            expected_version=fleet.pools.instances[instance_id].version,
            boot_id=boot_id,
        )
        await self.node.writer.async_write(returned, timeout_s=WRITE_TIMEOUT_S)


def has_returned(operation: OperationStatus, line: ListedInstance) -> bool:
    """Return whether the list shows the boot that followed the operation.

    The list lags and may still show the ended boot as live, so only the operation's new boot
    counts. If the instance restarted by itself before the operation (`OVERTAKEN`), the operation
    has no effect and any other boot is a later one.
    """
    if line.state is not ListedState.LIVE:
        return False
    match operation.state:
        case OperationState.DONE:
            return line.boot_id == operation.new_boot_id
        case OperationState.OVERTAKEN:
            return line.boot_id != operation.boot_id
        case OperationState.RUNNING:
            return False


def _stopped(fleet: FleetState) -> list[tuple[str, str]]:
    """Return the instances that the log records as stopped, each with its drain's id."""
    return [
        (instance_id, drain.id)
        for instance_id, drain in sorted(fleet.waves.drains.items())
        if fleet.pools.instances[instance_id].status is InstanceStatus.STOPPED
    ]


def _key(step: Proposal) -> str:
    return f"{type(step).__name__}:{step.instance}:{step.expected_version}"
