"""Coordinates drains: any entry process may, at any time, also two of them at once.

Nothing is kept here that the next coordinator would need. What has to be done stands in the
fold; each record names the version that its author saw, and each operation the drain that it
belongs to. So a coordinator that dies is replaced, and one that slept repeats nothing.
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

from .const import PLAN_INTERVAL_MS, RETRY_MS, RETURN_POLL_MS, TAKEOVER_MS, WRITE_TIMEOUT_S
from .duties_listing import InstanceListing
from .node import Node
from .probes import async_probe
from .turns import Turns, rank_of

_LOGGER = logging.getLogger(__name__)

Proposal = DrainStart | Step


class Coordinator:
    """Proposes drains and their next steps, and has the platform restart what is stopped."""

    def __init__(self, *, node: Node, listing: InstanceListing) -> None:
        self.node = node
        self.listing = listing
        self.step_turns = Turns(takeover_ms=TAKEOVER_MS, retry_ms=RETRY_MS)
        self.restart_turns = Turns(takeover_ms=TAKEOVER_MS, retry_ms=RETURN_POLL_MS)
        self.planned: list[DrainStart] = []
        self.planned_at_ms = 0

    async def async_coordinate(self) -> None:
        """Do what is this process's turn, side by side, and wait for all of it."""
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
        due_steps = self.step_turns.choose(steps, rank=rank, now_ms=now_ms)
        due_restarts = self.restart_turns.choose(stopped, rank=rank, now_ms=now_ms)
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
        """Plan anew now and then; who isn't first in line only watches whether the first one acts.

        A plan looks at every instance of the fleet, so all entry processes planning all the
        time would cost each of them more than the control that it is for.
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
        """Ask the platform for a reboot, or how far it is, and report the return.

        The drain's id is the operation's id. A coordinator can lose the answer, die after the
        call, or sleep before it: the instance would be rebooted again while it serves, and its
        requests be cut. Under one id the reboot takes effect once, whoever asks how often. The
        operation names the boot as well, so that one carried out late ends no later boot.
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
    """Say whether the list shows the boot that came after the operation.

    The list lags: for a while it goes on showing the boot that is ended as live. Only the boot
    that the operation led to counts. If the instance had restarted by itself since the log last
    heard of it, the operation ended nothing and never will; any other boot is then a later one.
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
    """Return the instances whose stop the log has admitted, each with its drain."""
    return [
        (instance_id, drain.id)
        for instance_id, drain in sorted(fleet.waves.drains.items())
        if fleet.pools.instances[instance_id].status is InstanceStatus.STOPPED
    ]


def _key(step: Proposal) -> str:
    return f"{type(step).__name__}:{step.instance}:{step.expected_version}"
