"""Reads the platform's list of instances and records its changes in the log."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import trio
from result import Err, Ok

from heatherkeel.core.models import RecordBody
from heatherkeel.core.state import FleetState
from heatherkeel.fleetlog.models import ListedInstance, ListedState
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.membership.models import EntryGone
from heatherkeel.membership.reducer import all_incarnations
from heatherkeel.pools.models import (
    Health,
    InstanceAdmit,
    InstanceGone,
    InstanceObserved,
    InstanceStatus,
    Source,
)
from heatherkeel.requests.events import LeavingSource, TargetGone, TargetLeaving, TargetLive

from .const import RETRY_MS, TAKEOVER_MS, WORKER_ROLE, WRITE_TIMEOUT_S
from .node import Node
from .takeover import TakeoverSchedule, rank_of

_LOGGER = logging.getLogger(__name__)


class InstanceListing:
    """The platform's list as last read; it lags, so only facts that stay true are reported."""

    def __init__(self, *, node: Node) -> None:
        self.node = node
        self.by_id: dict[str, ListedInstance] = {}
        self.schedule = TakeoverSchedule(takeover_ms=TAKEOVER_MS, retry_ms=RETRY_MS)

    async def async_read(self) -> None:
        """Read the list, update the router, and report what the log doesn't have yet."""
        match await self.node.client.async_list_instances():
            case Ok(listed):
                self._apply({instance.id: instance for instance in listed.instances})
                await self._async_report()
            case Err(error):
                _LOGGER.warning("list: %s", error.detail, extra={"event": "list_failed"})

    def _apply(self, lines: dict[str, ListedInstance]) -> None:
        """Notify the router of targets that are leaving, live again or no longer listed."""
        now_ms = monotonic_ms()
        routing = self.node.state.local.routing
        for name in self.by_id.keys() - lines.keys():
            self.node.handle_event(TargetGone(now_ms=now_ms, target=name))
        for name, line in lines.items():
            target = routing.targets.get(name)
            is_withheld = target is not None and (target.leaving or target.gone)
            if line.state is not ListedState.LIVE and name not in routing.leaving:
                source = LeavingSource.PLATFORM_LIST
                self.node.handle_event(TargetLeaving(now_ms=now_ms, target=name, source=source))
            elif line.state is ListedState.LIVE and (is_withheld or name in routing.leaving):
                self.node.handle_event(TargetLive(now_ms=now_ms, target=name))
        self.by_id = lines

    async def _async_report(self) -> None:
        await self.node.follower.caught_up.wait()
        fleet = self.node.state.fleet
        own_id = self.node.settings.instance.id
        reports = dict(find_reports(fleet, self.by_id, observer=own_id))
        rank = rank_of(fleet, own_id, now_ms=self.node.clock.now_ms())
        due = self.schedule.choose(reports, rank=rank, now_ms=monotonic_ms())
        async with trio.open_nursery() as nursery:
            for key in due:
                nursery.start_soon(self._async_write, reports[key])

    async def _async_write(self, body: RecordBody) -> None:
        await self.node.writer.async_write(body, timeout_s=WRITE_TIMEOUT_S)


def find_reports(
    fleet: FleetState, listed: dict[str, ListedInstance], *, observer: str
) -> Iterator[tuple[str, RecordBody]]:
    """Yield the records that follow from the list, each with a key that identifies it."""
    for line in listed.values():
        if line.role == WORKER_ROLE:
            yield from _report_worker(fleet, line, observer)
        elif line.state is ListedState.TERMINATED:
            yield from _report_entry_gone(fleet, line)


def _report_worker(
    fleet: FleetState, line: ListedInstance, observer: str
) -> Iterator[tuple[str, RecordBody]]:
    instance = fleet.pools.instances.get(line.id)
    if instance is None:
        if line.state is ListedState.LIVE:
            yield f"admit:{line.id}", _admit(line)
        return
    if line.state is ListedState.TERMINATED:
        yield f"gone:{line.id}", InstanceGone(instance=line.id, boot_id=instance.boot_id)
    # The list lags and may show an earlier boot as down, which doesn't concern the current one.
    is_current = line.boot_id == instance.boot_id and instance.status is InstanceStatus.SERVING
    if line.state is ListedState.DOWN and is_current:
        body = InstanceObserved(
            instance=line.id, health=Health.FAILED, observer=observer, source=Source.PLATFORM
        )
        yield f"down:{line.id}:{line.boot_id}", body


def _report_entry_gone(fleet: FleetState, line: ListedInstance) -> Iterator[tuple[str, RecordBody]]:
    """Report every incarnation of a terminated entry instance as gone.

    The platform doesn't reuse the id of a terminated instance, so a lagging list only delays
    this report. `down` or absence don't suffice: the process may be partitioned and still serve.
    """
    for entry in all_incarnations(fleet.membership):
        if entry.instance == line.id:
            body = EntryGone(instance=line.id, incarnation=entry.incarnation)
            yield f"entry_gone:{entry.incarnation}", body


def _admit(line: ListedInstance) -> InstanceAdmit:
    return InstanceAdmit(
        instance=line.id,
        boot_id=line.boot_id,
        zone=line.zone,
        rack=line.rack,
        address=line.address,
        cpus=line.cpus,
        memory_mib=line.memory_mib,
        accelerators=line.accelerators,
        pool=line.pool,
    )
