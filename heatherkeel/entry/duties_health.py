"""Probes targets and reports those that fail or have recovered."""

from __future__ import annotations

from functools import partial

import trio

from heatherkeel.core.models import RecordBody
from heatherkeel.core.node import NodeState
from heatherkeel.fleetlog.models import ListedInstance, ListedState
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.pools.models import Health, Instance, InstanceObserved, InstanceStatus
from heatherkeel.requests.const import EJECT_AFTER_FAILURES
from heatherkeel.waves.models import Returned

from .const import PROBE_RETRY_MS, WRITE_TIMEOUT_S
from .duties_listing import InstanceListing
from .node import Node
from .probes import async_probe
from .takeover import TakeoverSchedule


class HealthObserver:
    """Probes suspect instances and records the results; the fold combines several observers."""

    def __init__(self, *, node: Node, listing: InstanceListing) -> None:
        self.node = node
        self.listing = listing
        self.schedule = TakeoverSchedule(takeover_ms=0, retry_ms=PROBE_RETRY_MS)

    async def async_observe(self) -> None:
        """Probe all suspect instances concurrently."""
        await self.node.follower.caught_up.wait()
        suspects = {
            f"{name}:{self.node.state.fleet.pools.instances[name].status}": name
            for name in find_suspects(self.node.state)
        }
        # The fold needs reports of several observers, so each process acts as rank 0.
        due = self.schedule.choose(suspects, rank=0, now_ms=monotonic_ms())
        async with trio.open_nursery() as nursery:
            for key in due:
                nursery.start_soon(partial(self._async_probe, suspects[key]))

    async def _async_probe(self, name: str) -> None:
        address = self.node.state.fleet.pools.instances[name].address
        is_healthy = await async_probe(address)
        instance = self.node.state.fleet.pools.instances.get(name)
        if instance is None:
            return
        report = find_report(
            name,
            instance,
            self.listing.by_id.get(name),
            is_healthy=is_healthy,
            observer=self.node.settings.instance.id,
        )
        if report is not None:
            await self.node.writer.async_write(report, timeout_s=WRITE_TIMEOUT_S)


def find_suspects(node: NodeState) -> list[str]:
    """Return the failed instances that have no drain, and those whose requests fail here."""
    failed = [
        name
        for name, instance in node.fleet.pools.instances.items()
        if instance.status is InstanceStatus.FAILED and name not in node.fleet.waves.drains
    ]
    failing = [
        name
        for name, target in node.local.routing.targets.items()
        if target.failures >= EJECT_AFTER_FAILURES and target.serving
    ]
    return sorted({*failed, *failing} & node.fleet.pools.instances.keys())


def find_report(
    name: str,
    instance: Instance,
    line: ListedInstance | None,
    *,
    is_healthy: bool,
    observer: str,
) -> RecordBody | None:
    """Return the record that follows from a probe's result, or None."""
    if instance.status is InstanceStatus.SERVING and not is_healthy:
        return InstanceObserved(instance=name, health=Health.FAILED, observer=observer)
    if instance.status is not InstanceStatus.FAILED or not is_healthy or line is None:
        return None
    if line.state is not ListedState.LIVE:
        return None
    if line.boot_id != instance.boot_id:
        return Returned(instance=name, expected_version=instance.version, boot_id=line.boot_id)
    return InstanceObserved(instance=name, health=Health.HEALTHY, observer=observer)
