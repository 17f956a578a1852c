"""Puts the parts of a process together, and runs them until it is told to stop."""

from __future__ import annotations

import logging
import os
import signal
import uuid
from typing import Final

import trio

from heatherkeel.directory.directory import Directory
from heatherkeel.directory.layout_reader import LayoutReader
from heatherkeel.dispatch.metrics import DispatchMetrics
from heatherkeel.dispatch.owner import PartitionOwner
from heatherkeel.gateway.app import JobApiApp
from heatherkeel.gateway.exchange import GatewayContext
from heatherkeel.gateway.lookup import Lookup
from heatherkeel.gateway.metrics import GatewayMetrics
from heatherkeel.helpers.server import HttpServer
from heatherkeel.helpers.signals import StopSignal
from heatherkeel.ownership.holders import HolderCache
from heatherkeel.ownership.isolation import IsolationWatch
from heatherkeel.ownership.member import GroupMember
from heatherkeel.ownership.partition_ownership import OwnershipChange
from heatherkeel.ownership.partitions import Layout, fleet_partition
from heatherkeel.ownership.reserve import ReserveWatch
from heatherkeel.platform.settings import InstanceSettings
from heatherkeel.platform.store import StoreClient
from heatherkeel.pooling.keeper import FleetOwner
from heatherkeel.questions.answering import answer_question
from heatherkeel.questions.links import QuestionLinks
from heatherkeel.questions.messages import (
    Answer,
    LayoutAnswer,
    LayoutQuestion,
    QueueQuestion,
    RelayQuestion,
)
from heatherkeel.relay.answering import StoreRelay
from heatherkeel.relay.metrics import RelayMetrics
from heatherkeel.relay.route import PeerRoute

from .status import StatusApp

_LOGGER = logging.getLogger(__name__)

LINGER_S: Final = 2.5
"""How long callers are still served after the stop signal, in seconds: the platform's balancer
needs two missed looks, a second apart, to send new connections elsewhere."""
FINISH_S: Final = 1.5
"""What requests in progress then get, in seconds."""


class InstanceProcess:
    """The servers, the partitions and the links of one process."""

    def __init__(self, *, settings: InstanceSettings) -> None:
        self.settings = settings
        self.metrics = GatewayMetrics()
        self.dispatch_metrics = DispatchMetrics(registry=self.metrics.registry)
        relay_metrics = RelayMetrics(registry=self.metrics.registry)
        route = PeerRoute(
            list_peers=lambda: self.holders.list_others(self.links.address),
            async_ask=self._async_ask_store,
            metrics=relay_metrics,
        )
        self.store = StoreClient(address=settings.store.address, route=route)
        self.relay = StoreRelay(store=self.store, metrics=relay_metrics)
        self.directory = Directory(store=self.store)
        self.holders = HolderCache(store=self.store)
        self.owners: dict[int, PartitionOwner] = {}
        self.unused: dict[int, int] = {}
        """Partitions that were gained and that no service has, with their tokens."""
        self.fleet_owner: FleetOwner | None = None
        self.links = QuestionLinks(
            bind=f"{settings.ip}:{settings.internal_ports[0]}",
            answer=lambda question: answer_question(
                self.owners, self.directory.state.layout, question
            ),
            async_answer_relay=self.relay.async_answer,
            on_question=lambda: self.isolation.record_contact(),
        )
        partitions = settings.store.partitions
        self.layouts = LayoutReader(
            store=self.store,
            partitions=partitions,
            directory=self.directory,
            async_ask_peers=self._async_ask_layout,
        )
        self.member = GroupMember(
            store=self.store,
            address=self.links.address,
            incarnation=uuid.uuid4().hex[:12],
            capacity=settings.limits.cpu_capacity(),
            on_change=self._async_change,
        )
        self.reserve = ReserveWatch(
            member=self.member,
            holders=self.holders,
            capacity=settings.limits.cpu_capacity(),
            partitions=partitions,
        )
        self.isolation = IsolationWatch(
            member=self.member, holders=self.holders, async_reach=self._async_reach
        )
        self.lookup = Lookup(store=self.store, holders=self.holders, links=self.links)
        self.status = StatusApp(
            directory=self.directory.state,
            metrics=self.metrics,
            store_heard_ms=self._store_heard_ms,
        )
        self.callers = HttpServer(
            app=JobApiApp(
                context=GatewayContext(
                    store=self.store,
                    directory=self.directory.state,
                    lookup=self.lookup,
                    metrics=self.metrics,
                    accepts_callers=self.status.is_ready,
                )
            ),
            bind=settings.listen.callers,
        )
        self.probes = HttpServer(app=self.status, bind=settings.listen.readiness)
        self.nursery: trio.Nursery | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the ports, and begin to follow the store and to own partitions."""
        self.nursery = nursery
        self.links.start(nursery)
        self.member.address = self.links.address
        await self.probes.start(nursery)
        await self.callers.start(nursery)
        self.directory.subscribe(self._own_used)
        self.directory.start(nursery)
        nursery.start_soon(self.layouts.async_run)
        nursery.start_soon(self.reserve.async_run)
        self.member.start(nursery)
        nursery.start_soon(self.isolation.async_run)
        _LOGGER.info(
            "started",
            extra={
                "event": "start",
                "pid": os.getpid(),
                "callers": self.callers.address,
                "links": self.links.address,
                "incarnation": self.member.incarnation,
            },
        )

    async def close(self) -> None:
        """Hand partitions over, let the balancer notice, and finish what is in progress."""
        _LOGGER.info("stopping", extra={"event": "stop", "partitions": sorted(self.owners)})
        self.status.is_stopping = True
        await self.member.close()
        await trio.sleep(LINGER_S)
        await self.callers.close(finish_timeout_s=FINISH_S)
        await self.probes.close(finish_timeout_s=0.1)
        self.links.close()
        await self.store.close()

    def _store_heard_ms(self) -> int:
        """Return when the store last answered anything that is asked all the time."""
        followed = self.directory.operator.read_ms
        return max(self.member.answered_ms, self.holders.answered_ms, followed)

    async def _async_ask_layout(self) -> Layout | None:
        """Ask owners, one after the other, how services are laid out."""
        await self.holders.async_refresh()
        for address in sorted(set(self.holders.addresses.values())):
            answer = await self.links.async_ask(address, LayoutQuestion(partition=-1))
            if isinstance(answer, LayoutAnswer) and answer.layout.shares:
                return answer.layout
        return None

    async def _async_ask_store(
        self, address: str, asked: RelayQuestion, timeout_s: float
    ) -> Answer | None:
        return await self.links.async_ask(address, asked, timeout_s=timeout_s)

    async def _async_reach(self, address: str) -> bool:
        """Say whether the process at an address answers; what it answers doesn't matter."""
        question = QueueQuestion(partition=-1, queue="")
        return await self.links.async_ask(address, question) is not None

    async def _async_change(self, change: OwnershipChange) -> None:
        """Close what was lost before anything else, and begin with what was gained."""
        fleet = fleet_partition(self.settings.store.partitions)
        for partition in change.lost:
            self.unused.pop(partition, None)
            owner = self.owners.pop(partition, None)
            if owner is not None:
                owner.close()
            if partition == fleet and self.fleet_owner is not None:
                self.fleet_owner.close()
                self.fleet_owner = None
        if self.nursery is None:
            return
        for partition, token in change.gained.items():
            if partition == fleet:
                self._keep_fleet(token)
            else:
                self.unused[partition] = token
        self._own_used()

    def _own_used(self) -> None:
        """Begin with the partitions that services have, also when one is laid out later.

        Where a store has more partitions than services have shares, most processes would follow
        the entries of all workers, the largest part of what there is to read, for a partition in
        which nothing can be.
        """
        for partition in self.directory.state.layout.all_partitions():
            token = self.unused.pop(partition, None)
            if token is not None:
                self._own(partition, token)

    def _own(self, partition: int, token: int) -> None:
        assert self.nursery is not None
        self.directory.follow_workers()
        owner = PartitionOwner(
            partition=partition,
            token=token,
            settings=self.settings,
            store=self.store,
            directory=self.directory,
            ownership=self.member.ownership,
            metrics=self.dispatch_metrics,
            on_fenced=self.member.rejoin,
        )
        self.owners[partition] = owner
        self.nursery.start_soon(owner.async_run)

    def _keep_fleet(self, token: int) -> None:
        assert self.nursery is not None
        self.directory.follow_workers()
        self.fleet_owner = FleetOwner(
            token=token,
            settings=self.settings,
            store=self.store,
            directory=self.directory,
            holders=self.holders,
            links=self.links,
            can_order=self.member.can_issue_orders,
            on_fenced=self.member.rejoin,
        )
        self.nursery.start_soon(self.fleet_owner.async_run)


async def async_run_instance(settings: InstanceSettings) -> None:
    """Run one process until it is told to stop."""
    stop = StopSignal()
    async with trio.open_nursery() as nursery:
        await stop.start(nursery)
        nursery.start_soon(_async_hear_reloads)
        process = InstanceProcess(settings=settings)
        await process.start(nursery)
        await stop.received.wait()
        await process.close()
        nursery.cancel_scope.cancel()
    _LOGGER.info("stopped", extra={"event": "stopped"})


async def _async_hear_reloads() -> None:
    """Take SIGHUP, which ends a process that doesn't listen to it.

    What the settings name are addresses and bounds that hold for the life of a process; what may
    change while it runs comes from the store.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            _LOGGER.info("settings file changed", extra={"event": "reload"})
