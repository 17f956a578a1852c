"""Creates the components of an instance process and runs them until it is stopped."""

from __future__ import annotations

import logging
import os
import uuid
from typing import Final

import trio

from heatherkeel.admission.metrics import AdmissionMetrics
from heatherkeel.directory.directory import Directory
from heatherkeel.directory.layout_reader import LayoutReader
from heatherkeel.directory.metrics import ConfigMetrics
from heatherkeel.directory.peer_sync import PeerSync
from heatherkeel.directory.peers import PeerList
from heatherkeel.dispatch.metrics import DispatchMetrics
from heatherkeel.dispatch.owner import PartitionOwner
from heatherkeel.gateway.app import JobApiApp
from heatherkeel.gateway.exchange import GatewayContext
from heatherkeel.gateway.lookup import Lookup
from heatherkeel.gateway.metrics import GatewayMetrics
from heatherkeel.helpers.signals import StopSignal
from heatherkeel.http_server.metrics import ServerMetrics
from heatherkeel.http_server.server import HttpServer
from heatherkeel.membership.metrics import PeerMetrics
from heatherkeel.ownership.holders import HolderCache
from heatherkeel.ownership.isolation import IsolationWatch
from heatherkeel.ownership.member import GroupMember
from heatherkeel.ownership.partition_ownership import OwnershipChange
from heatherkeel.ownership.partitions import fleet_partition
from heatherkeel.ownership.reserve import ReserveWatch
from heatherkeel.platform.settings import InstanceSettings
from heatherkeel.platform.store import StoreClient
from heatherkeel.pooling.fleet_owner import FleetOwner
from heatherkeel.pooling.metrics import PoolingMetrics
from heatherkeel.questions.answering import answer_question, async_admit_job, async_store_job
from heatherkeel.questions.links import QuestionLinks
from heatherkeel.questions.messages import (
    AdmissionQuestion,
    Answer,
    GrantsAnswer,
    GrantsQuestion,
    LayoutAnswer,
    LayoutQuestion,
    NotOwner,
    OperatorPartQuestion,
    OperatorQuestion,
    Question,
    QueueQuestion,
    RelayQuestion,
    SlowQuestion,
)
from heatherkeel.relay.answering import StoreRelay
from heatherkeel.relay.metrics import RelayMetrics
from heatherkeel.relay.route import PeerRoute
from heatherkeel.workspaces.messages import AccountsReport, GrantOffer

from .processor import ProcessorWatch
from .reloading import SettingsWatch
from .set_aside import SetAsideItems
from .status import StatusApp
from .support import report_unsupported

_LOGGER = logging.getLogger(__name__)

BALANCER_DELAY_S: Final = 2.5
"""How long callers are still served after the stop signal, in seconds. The platform's load balancer
stops sending new connections after two failed readiness probes, one second apart."""
CALLERS: Final = "callers"
READINESS: Final = "readiness"
"""Names of the HTTP servers in logs and metrics."""
FINISH_TIMEOUT_S: Final = 1.5
"""Time that requests in progress then have to finish, in seconds."""


class InstanceProcess:
    """Holds the servers, the owned partitions and the peer links of one process."""

    def __init__(self, *, settings: InstanceSettings) -> None:
        self.settings = settings
        limits = settings.divide_limits().unwrap()
        self.metrics = GatewayMetrics()
        server_metrics = ServerMetrics(registry=self.metrics.registry)
        self.dispatch_metrics = DispatchMetrics(registry=self.metrics.registry)
        self.pooling_metrics = PoolingMetrics(registry=self.metrics.registry)
        self.admission_metrics = AdmissionMetrics(registry=self.metrics.registry)
        relay_metrics = RelayMetrics(registry=self.metrics.registry)
        route = PeerRoute(
            list_peers=self._list_relays,
            async_ask=self._async_ask_store,
            metrics=relay_metrics,
        )
        self.store = StoreClient(address=settings.store.address, route=route)
        self.relay = StoreRelay(store=self.store, metrics=relay_metrics)
        self.directory = Directory(
            store=self.store,
            apply_ms=settings.bounds.config_apply_ms,
            needs_keys=settings.needs_keys(),
        )
        self.directory.state.divides_machines = settings.divides_machines()
        config_metrics = ConfigMetrics(
            registry=self.metrics.registry, directory=self.directory.state
        )
        self.directory.reads.on_answer = config_metrics.observe_answer
        self.store.on_given_up = config_metrics.observe_given_up
        self.holders = HolderCache(store=self.store)
        self.owners: dict[int, PartitionOwner] = {}
        self.set_aside = SetAsideItems()
        self.unused_partitions: dict[int, int] = {}
        """Tokens of gained partitions that no service uses yet, by partition."""
        self.fleet_owner: FleetOwner | None = None
        self.links = QuestionLinks(
            bind=f"{settings.ip}:{settings.internal_ports[0]}",
            answer=self._answer,
            async_answer_slow=self._async_answer_slow,
            on_question=lambda: self.isolation.record_contact(),
            max_connections=limits.peer_connections,
            metrics=PeerMetrics(registry=self.metrics.registry),
        )
        self.peers = PeerList(
            holders=self.holders,
            find_own=lambda: self.links.address,
            seeds=settings.list_seed_links(),
            zone=settings.zone,
        )
        self.peer_sync = PeerSync(
            directory=self.directory,
            peers=self.peers,
            find_own=lambda: self.links.address,
            reaches_store=route.is_served,
            async_ask=self._async_ask_operator,
            on_question=config_metrics.count_question,
            link_mbps=settings.limits.link_mbps,
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
            on_change=self._async_handle_change,
        )
        self.reserve = ReserveWatch(
            member=self.member,
            holders=self.holders,
            capacity=settings.limits.cpu_capacity(),
            partitions=partitions,
        )
        self.isolation = IsolationWatch(
            member=self.member, holders=self.holders, async_reach=self._async_is_reachable
        )
        self.lookup = Lookup(store=self.store, holders=self.holders, links=self.links)
        self.processor = ProcessorWatch(registry=self.metrics.registry)
        self.status = StatusApp(
            directory=self.directory.state,
            metrics=self.metrics,
            store_answered_ms=self._store_answered_ms,
        )
        self.callers = HttpServer(
            app=JobApiApp(
                context=GatewayContext(
                    store=self.store,
                    directory=self.directory.state,
                    lookup=self.lookup,
                    metrics=self.metrics,
                    config_metrics=config_metrics,
                    async_wait_recent=self.peer_sync.async_wait_recent,
                    accepts_callers=self.status.is_ready,
                    admits_by_backlog=lambda: self.settings.admits_by_backlog(),
                    reaches_store=self.status.reaches_store,
                    record_bytes=settings.store.record_bytes,
                )
            ),
            bind=settings.listen.callers,
            name=CALLERS,
            limits=limits.callers,
            metrics=server_metrics,
        )
        self.probes = HttpServer(
            app=self.status,
            bind=settings.listen.readiness,
            name=READINESS,
            limits=limits.readiness,
            metrics=server_metrics,
        )
        self.nursery: trio.Nursery | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the ports and start following the store and owning partitions."""
        self.nursery = nursery
        report_unsupported(self.settings)
        self.links.start(nursery)
        self.member.address = self.links.address
        await self.probes.start(nursery)
        await self.callers.start(nursery)
        self.directory.subscribe(self._own_used_partitions)
        self.directory.start(nursery)
        nursery.start_soon(self.peer_sync.async_run)
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
                "readiness": self.probes.address,
                "links": self.links.address,
                "incarnation": self.member.incarnation,
            },
        )
        nursery.start_soon(self.processor.async_run)

    async def close(self) -> None:
        """Hand over the partitions, wait for the load balancer, and finish requests in progress."""
        _LOGGER.info("stopping", extra={"event": "stop", "partitions": sorted(self.owners)})
        self.status.is_stopping = True
        await self.member.close()
        await trio.sleep(BALANCER_DELAY_S)
        await self.callers.close(finish_timeout_s=FINISH_TIMEOUT_S)
        await self.probes.close(finish_timeout_s=0.1)
        self.links.close()
        await self.store.close()

    def _store_answered_ms(self) -> int:
        """Return the monotonic time of the store's last answer to a periodic read, in ms."""
        operator_read_ms = self.directory.operator.read_ms
        return max(self.member.answered_ms, self.holders.answered_ms, operator_read_ms)

    def _answer(self, question: Question) -> Answer:
        if isinstance(question, OperatorQuestion):
            return self.peer_sync.answer(question)
        if isinstance(question, OperatorPartQuestion):
            return self.peer_sync.answer_part(question)
        if isinstance(question, GrantsQuestion):
            lender = self.fleet_owner
            return NotOwner() if lender is None else lender.answer_grants(question)
        return answer_question(self.owners, self.directory.state, question)

    async def _async_answer_slow(self, question: SlowQuestion) -> Answer:
        if isinstance(question, RelayQuestion):
            return await self.relay.async_answer(question)
        if isinstance(question, AdmissionQuestion):
            return await async_admit_job(self.owners, question)
        return await async_store_job(self.owners, question)

    def _list_relays(self) -> list[str]:
        """Return the processes to which calls may be forwarded: owners, or all if none is known.

        A process that has started while the store refuses it knows no owners.
        """
        return self.holders.list_others(self.links.address) or self.peers.list_addresses()

    async def _async_ask_layout(self) -> LayoutAnswer | None:
        """Ask the other processes one by one for the layout and the homes of queues."""
        await self.holders.async_refresh()
        for address in self.peers.list_addresses():
            answer = await self.links.async_ask(address, LayoutQuestion(partition=-1))
            if isinstance(answer, LayoutAnswer) and answer.layout.shares:
                return answer
        return None

    async def _async_ask_store(
        self, address: str, asked: RelayQuestion, timeout_s: float
    ) -> Answer | None:
        answer = await self.links.async_ask(address, asked, timeout_s=timeout_s)
        if answer is None:
            self.peers.record_silence(address)
        return answer

    async def _async_ask_operator(
        self, address: str, asked: OperatorQuestion | OperatorPartQuestion, timeout_s: float
    ) -> Answer | None:
        return await self.links.async_ask(address, asked, timeout_s=timeout_s)

    async def _async_is_reachable(self, address: str) -> bool:
        """Return whether the process at an address answers; the answer itself is ignored."""
        question = QueueQuestion(partition=-1, queue="")
        return await self.links.async_ask(address, question) is not None

    async def _async_handle_change(self, change: OwnershipChange) -> None:
        """Close the lost partitions first, then start to own the gained ones."""
        fleet = fleet_partition(self.settings.store.partitions)
        for partition in change.lost:
            self.unused_partitions.pop(partition, None)
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
                self._own_fleet(token)
            else:
                self.unused_partitions[partition] = token
        self._own_used_partitions()

    def _own_used_partitions(self) -> None:
        """Start to own the gained partitions that the layout uses; called again when it changes.

        An unused partition holds no jobs, so its owner would read the entries of all workers in
        vain.
        """
        for partition in self.directory.state.layout.all_partitions():
            token = self.unused_partitions.pop(partition, None)
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
            async_ask_lender=self._async_ask_lender,
            async_is_forgotten=self._async_is_forgotten,
            admission_metrics=self.admission_metrics,
            on_set_aside=self.set_aside.add,
            is_set_aside=self.set_aside.is_left_out,
        )
        self.owners[partition] = owner
        self.nursery.start_soon(owner.async_run)

    async def _async_is_forgotten(self, partition: int, job_id: str) -> bool:
        """Return whether a partition surely doesn't know a job any more."""
        return await self.lookup.async_find_job(partition, job_id) is None

    async def _async_ask_lender(
        self, borrower: int, report: AccountsReport | None
    ) -> GrantOffer | None:
        """Ask the fleet's owner for grants to a partition; None if it doesn't answer."""
        fleet = fleet_partition(self.settings.store.partitions)
        address = await self.holders.async_find(fleet)
        if not address:
            return None
        question = GrantsQuestion(partition=fleet, borrower=borrower, report=report)
        answer = await self.links.async_ask(address, question)
        if isinstance(answer, GrantsAnswer):
            return answer.offer
        await self.holders.async_find(fleet, failed_address=address)
        return None

    def _own_fleet(self, token: int) -> None:
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
            metrics=self.pooling_metrics,
        )
        self.nursery.start_soon(self.fleet_owner.async_run)


async def async_run_instance(settings: InstanceSettings, file: str) -> None:
    """Run one process until it receives a stop signal; `file` holds its settings."""
    stop = StopSignal()
    async with trio.open_nursery() as nursery:
        await stop.start(nursery)
        process = InstanceProcess(settings=settings)
        watch = SettingsWatch(file=file, process=process)
        await watch.start(nursery)
        await process.start(nursery)
        await stop.received.wait()
        await process.close()
        nursery.cancel_scope.cancel()
    _LOGGER.info("stopped", extra={"event": "stopped"})
