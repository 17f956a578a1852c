"""Runs the fleet's partition while this process owns it."""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio
from result import Err

from heatherkeel.directory.directory import Directory
from heatherkeel.directory.follower import async_read_newest_with_retry
from heatherkeel.directory.stored_layout import find_home_pages, find_layout, make_homes_key
from heatherkeel.dispatch.journal import Journal
from heatherkeel.durations.relay import DurationRelay, group_queues
from heatherkeel.helpers.clock import monotonic_ms, wall_ms
from heatherkeel.ownership.const import LAYOUT_KEY, WORK_TOPIC
from heatherkeel.ownership.holders import HolderCache
from heatherkeel.ownership.partitions import Layout, extend_layout, fleet_partition
from heatherkeel.platform.const import STATUS_TOPIC
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.machines import MachineClient
from heatherkeel.platform.operator import encode_wave_status
from heatherkeel.platform.settings import InstanceSettings
from heatherkeel.platform.store import StoreClient
from heatherkeel.questions.links import QuestionLinks
from heatherkeel.questions.messages import GrantsAnswer, GrantsQuestion, PoolsAnswer, PoolsQuestion
from heatherkeel.workspaces.lending import Lender
from heatherkeel.workspaces.messages import GrantOffer
from heatherkeel.workspaces.recent_use import RecentUse

from .const import (
    LAYOUT_TIMEOUT_MS,
    LIST_INTERVAL_MS,
    MEASURE_WAIT_S,
    PLAN_INTERVAL_MS,
    STATUS_PREFIX,
)
from .metrics import PoolingMetrics
from .models import (
    DirectoryRead,
    FleetEffect,
    FleetEvent,
    FleetOwnerState,
    MachinesListed,
    OrderMachine,
    PlanDue,
    PoolsMeasured,
    SaveWave,
    WaveProgress,
)
from .ordering import MachineOrders
from .queue_homes import QueueHomeKeeper
from .reducer import reduce_fleet
from .wave_records import encode_wave, restore_wave

_LOGGER = logging.getLogger(__name__)

STATUS_RETRY_S = 0.5
"""Delay before writing a wave's status is retried, in seconds."""


class FleetOwner:
    """Owner of the fleet: moves and maintains machines."""

    def __init__(
        self,
        *,
        token: int,
        settings: InstanceSettings,
        store: StoreClient,
        directory: Directory,
        holders: HolderCache,
        links: QuestionLinks,
        can_order: Callable[[], bool],
        on_fenced: Callable[[], None],
        metrics: PoolingMetrics,
    ) -> None:
        self.metrics = metrics
        self.settings = settings
        self.store = store
        self.directory = directory
        self.holders = holders
        self.links = links
        self.can_order = can_order
        self.partition = fleet_partition(settings.store.partitions)
        self.state = FleetOwnerState(token=token)
        self.lender = Lender(token=token)
        self.recent_use = RecentUse()
        self.durations = DurationRelay(token=token)
        self.journal = Journal(
            store=store, partition=self.partition, token=token, on_fenced=on_fenced
        )
        self.layout: Layout | None = None
        """The layout as it is, or will be, stored; None if it wasn't or can't be read."""
        self.queue_homes = QueueHomeKeeper(pages=None)
        self.began_ms = monotonic_ms()
        self.client = MachineClient(address=settings.machines.address, holder=settings.instance)
        self.orders = MachineOrders(
            token=token,
            partitions=settings.store.partitions,
            store=store,
            journal=self.journal,
            client=self.client,
            can_order=can_order,
            on_answered=self._handle,
        )
        self.scope = trio.CancelScope()
        self.nursery: trio.Nursery | None = None
        self.asking: set[int] = set()
        """Partitions whose owners were asked for their load and haven't answered."""
        self.answered = trio.Event()

    async def async_run(self) -> None:
        """Run until `close` is called."""
        with self.scope:
            await self._async_restore()
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                self.orders.start(nursery)
                nursery.start_soon(self.journal.async_run)
                nursery.start_soon(self._async_list)
                await self._async_plan()
        with trio.CancelScope(shield=True):
            await self.client.close()

    def close(self) -> None:
        """Give up the fleet; no order is sent after this."""
        self.scope.cancel()

    async def _async_restore(self) -> None:
        await self.directory.operator.caught_up.wait()
        if not await self.journal.async_open():
            await trio.sleep_forever()
        own = (await async_read_newest_with_retry(self.store, WORK_TOPIC, self.partition)).records
        self.layout = find_layout(own)
        pages = find_home_pages(own)
        self.queue_homes = QueueHomeKeeper(pages=pages)
        self.directory.apply_queue_homes(pages.merge() if pages is not None else None)
        if self.layout is not None:
            self.directory.apply_layout(self.layout)
        lease_ms = self.settings.bounds.machine_lease_ms
        blocked = await self.orders.async_restore(own, lease_ms=lease_ms)
        self.state.blocked_until_ms.update(blocked)
        self._read_directory()
        for record in own:
            if record.key.startswith(STATUS_PREFIX) and record.value:
                self._restore_wave(record)
        _LOGGER.info(
            "fleet taken over",
            extra={
                "event": "fleet_owned",
                "token": self.state.token,
                "waves": len(self.state.waves),
            },
        )

    def _restore_wave(self, record: KeyedRecord) -> None:
        progress = self.state.waves.get(int(record.key.removeprefix(STATUS_PREFIX)))
        if progress is not None:
            restore_wave(progress, record.value, now_ms=monotonic_ms(), wall_ms=wall_ms())

    def _read_directory(self) -> None:
        known = self.directory.state
        self._handle(
            DirectoryRead(
                now_ms=monotonic_ms(),
                services=known.services,
                waves=dict(known.waves),
                layout=known.layout,
                divides_machines=known.divides_machines,
            )
        )

    async def _async_list(self) -> None:
        while True:
            sent_ms = monotonic_ms()
            listed = await self.client.async_list()
            if isinstance(listed, Err):
                _LOGGER.warning(
                    "machines can't be listed, using the last list",
                    extra={"event": "machines_unread", "detail": listed.err_value.detail},
                )
            else:
                self._handle(
                    MachinesListed(now_ms=monotonic_ms(), machines=listed.ok_value, sent_ms=sent_ms)
                )
            await trio.sleep(LIST_INTERVAL_MS / 1000)

    async def _async_plan(self) -> None:
        while True:
            self._extend_layout()
            self._extend_queue_homes()
            self._read_directory()
            await self._async_measure()
            self._handle(PlanDue(now_ms=monotonic_ms(), can_order=self.can_order()))
            self.metrics.update(self.state.handovers)
            await trio.sleep(PLAN_INTERVAL_MS / 1000)

    def _extend_layout(self) -> None:
        """Extend the layout to new services; it is published once it is stored."""
        services = sorted(self.directory.state.serving())
        pools = self._list_pools()
        if self.layout is None or not services or not pools:
            return
        layout = extend_layout(
            self.layout,
            services=services,
            pools=pools,
            partitions=self.settings.store.partitions,
        )
        if layout is self.layout:
            return
        self.layout = layout
        self.journal.put(LAYOUT_KEY, layout.encode)
        self.journal.when_stored(lambda: self.directory.apply_layout(layout))

    def _extend_queue_homes(self) -> None:
        """Assign new queues to their services' partitions; published once it is stored.

        A layout and the first homes are stored together: a process that reads the one has both.
        """
        config = self.directory.state.config
        if config is None or self.layout is None or not self.layout.shares:
            return
        pages = self.queue_homes.update(config.queues, self.layout, now_ms=monotonic_ms())
        if not pages:
            return
        for number, page in pages.items():
            self.journal.put(make_homes_key(number), page.encode)
        homes = self.queue_homes.homes
        self.journal.when_stored(lambda: self.directory.apply_queue_homes(homes))

    def _list_pools(self) -> dict[str, list[str]]:
        """Return the machines of each pool in the order of racks; none if they are unknown.

        Worker entries leave out the standby machines and are only used if the list stays
        unavailable, since jobs aren't accepted before services are laid out.
        """
        listed = [(m.pool, m.zone, m.rack(), m.name) for m in self.state.machines.values()]
        if not listed and monotonic_ms() - self.began_ms >= LAYOUT_TIMEOUT_MS:
            entries = self.directory.state.workers.values()
            listed = [(e.service, e.zone, "", e.machine) for e in entries if e.machine]
        pools: dict[str, list[str]] = {}
        for pool, _, _, machine in sorted(listed):
            pools.setdefault(pool, []).append(machine)
        return pools

    async def _async_measure(self) -> None:
        """Request the load of all shares from their owners, and report the workers to empty."""
        due = self.state.due_workers()
        leaving = self.state.leaving_workers()
        partitions = self.state.layout.all_partitions()
        yielding = self.state.yielding_workers()
        offers = self._make_offers(partitions)
        queues = group_queues(self.directory.state.queues, self.state.layout)
        for partition in set(partitions) - self.asking:
            question = PoolsQuestion(
                partition=partition,
                leaving=leaving.get(partition, []),
                due=due,
                offer=offers.get(partition),
                durations=self.durations.make_offer(
                    partition, queues.get(partition, []), monotonic_ms()
                ),
                yielding=sorted(yielding.intersection(leaving.get(partition, []))),
                divides=self.state.divides_machines,
                removed=self.queue_homes.list_asked(partition, now_ms=monotonic_ms()),
            )
            self._ask_in_background(question)
        with trio.move_on_after(MEASURE_WAIT_S):
            while self.asking:
                await self.answered.wait()

    def _ask_in_background(self, question: PoolsQuestion) -> None:
        assert self.nursery is not None
        self.asking.add(question.partition)
        self.nursery.start_soon(self._async_ask, question)

    async def _async_ask(self, question: PoolsQuestion) -> None:
        """Ask one owner; silent ones delay the answers of others, and plans, no further."""
        await self._async_measure_partition(question)
        self.asking.discard(question.partition)
        self.answered.set()
        self.answered = trio.Event()

    def answer_grants(self, question: GrantsQuestion) -> GrantsAnswer:
        """Answer a new owner of a partition that asks for grants."""
        if question.report is not None:
            self.lender.record(question.borrower, question.report)
        offers = self._make_offers(self.state.layout.all_partitions())
        return GrantsAnswer(offer=offers.get(question.borrower))

    def _make_offers(self, partitions: list[int]) -> dict[int, GrantOffer]:
        """Return what workspaces may have running in each partition; empty without limits."""
        known = self.directory.state
        if not known.workspaces:
            return {}
        return self.lender.make_offers(
            partitions,
            known.limits,
            are_limits_recent=known.is_config_recent() and self.can_order(),
            over_part=self._find_over_part(),
        )

    def _find_over_part(self) -> list[str]:
        """Return the workspaces above their part of the capacity, where parts go by weight."""
        if not self.settings.shares_by_weight():
            return []
        borrowers = self.lender.borrowers.items()
        return self.recent_use.update(
            {partition: borrower.reports.values() for partition, borrower in borrowers},
            weights={name: known.weight for name, known in self.directory.state.workspaces.items()},
            now_ms=monotonic_ms(),
        )

    async def _async_measure_partition(self, question: PoolsQuestion) -> None:
        partition = question.partition
        address = await self.holders.async_find(partition)
        if not address:
            return
        answer = await self.links.async_ask(address, question)
        if isinstance(answer, PoolsAnswer):
            self._handle(
                PoolsMeasured(now_ms=monotonic_ms(), partition=partition, loads=answer.pools)
            )
            self.queue_homes.record(partition, asked=question.removed, held=answer.held)
            if answer.accounts is not None:
                self.lender.record(partition, answer.accounts)
                self.recent_use.record_answer(partition, now_ms=monotonic_ms())
            if answer.durations is not None:
                self.durations.record(partition, answer.durations, monotonic_ms())
        else:
            await self.holders.async_find(partition, failed_address=address)

    def _handle(self, event: FleetEvent) -> None:
        for effect in reduce_fleet(self.state, event):
            self._perform(effect)

    def _perform(self, effect: FleetEffect) -> None:
        match effect:
            case OrderMachine():
                self.orders.send(effect.intent)
            case SaveWave():
                self._save_wave(effect.progress)

    def _save_wave(self, progress: WaveProgress) -> None:
        """Store a wave's progress, and then report its status to the operator."""
        key = f"{STATUS_PREFIX}{progress.wave.number}"
        self.journal.put(
            key, lambda: encode_wave(progress, now_ms=monotonic_ms(), wall_ms=wall_ms())
        )
        self.journal.when_stored(lambda: self._report_wave(key, progress))

    def _report_wave(self, key: str, progress: WaveProgress) -> None:
        assert self.nursery is not None
        if progress.is_complete or not progress.begun:
            self.nursery.start_soon(self._async_report_wave, key, progress.is_complete)

    async def _async_report_wave(self, key: str, is_complete: bool) -> None:
        record = KeyedRecord(key=key, value=encode_wave_status(is_complete=is_complete))
        while True:
            written = await self.store.async_append(STATUS_TOPIC, 0, [record])
            if not isinstance(written, Err):
                return
            await trio.sleep(STATUS_RETRY_S)
