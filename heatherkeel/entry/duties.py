"""What every entry process does by the clock: hold its lease, admit listed instances."""

from __future__ import annotations

import logging

from result import Err, Ok

from heatherkeel.core.models import Rejected
from heatherkeel.membership.models import EntryJoin, EntryRenew
from heatherkeel.platform.models import InstanceList, ListedInstance, ListedState
from heatherkeel.pools.models import InstanceAdmit

from .node import Node

_LOGGER = logging.getLogger(__name__)

WORKER_ROLE = "worker"
WRITE_TIMEOUT_S = 5.0


class Duties:
    """Timed work of one entry process."""

    def __init__(self, *, node: Node, peer_address: str) -> None:
        self.node = node
        self.peer_address = peer_address
        self.joined = False

    def start(self) -> None:
        """Subscribe to the timer service."""
        settings = self.node.settings
        self.node.timers.subscribe(
            name="lease",
            interval_ms=settings.routing.renew_interval_ms,
            callback=self.async_hold_lease,
        )
        self.node.timers.subscribe(
            name="instances",
            interval_ms=settings.platform.instances_interval_ms,
            callback=self.async_read_instances,
        )

    async def async_hold_lease(self) -> None:
        """Join, or renew the routing lease."""
        await self.node.follower.caught_up.wait()
        body = self._renewal() if self.joined else self._join()
        outcome = await self.node.writer.async_write(body, timeout_s=WRITE_TIMEOUT_S)
        match outcome:
            case Ok(settled):
                self.joined = not isinstance(settled.outcome, Rejected)
            case Err(failure):
                _LOGGER.warning("lease: %s", failure, extra={"event": "lease_not_renewed"})

    def _join(self) -> EntryJoin:
        settings = self.node.settings
        return EntryJoin(
            instance=settings.instance.id,
            incarnation=self.node.incarnation,
            zone=settings.instance.zone,
            peer_address=self.peer_address,
            lease_ms=settings.routing.lease_ms,
        )

    def _renewal(self) -> EntryRenew:
        return EntryRenew(
            instance=self.node.settings.instance.id,
            incarnation=self.node.incarnation,
            offset_in_force=self.node.state.fleet.next_offset - 1,
        )

    async def async_read_instances(self) -> None:
        """Read the platform's list: note who is leaving, admit who is new."""
        match await self.node.client.async_list_instances():
            case Ok(listed):
                self._note_leaving(listed)
                await self._async_admit(listed)
            case Err(error):
                _LOGGER.warning("list: %s", error.detail, extra={"event": "list_failed"})

    def _note_leaving(self, listed: InstanceList) -> None:
        routing = self.node.state.local.routing
        routing.leaving = {
            instance.id for instance in listed.instances if instance.state is not ListedState.LIVE
        }

    async def _async_admit(self, listed: InstanceList) -> None:
        await self.node.follower.caught_up.wait()
        known = self.node.state.fleet.pools.instances
        for instance in listed.instances:
            if instance.role == WORKER_ROLE and instance.id not in known:
                await self.node.writer.async_write(_admit(instance), timeout_s=WRITE_TIMEOUT_S)


def _admit(instance: ListedInstance) -> InstanceAdmit:
    return InstanceAdmit(
        instance=instance.id,
        boot_id=instance.boot_id,
        zone=instance.zone,
        rack=instance.rack,
        address=instance.address,
        cpus=instance.cpus,
        memory_mib=instance.memory_mib,
        accelerators=instance.accelerators,
        pool=instance.pool,
    )
