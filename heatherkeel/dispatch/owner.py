"""Runs one partition for as long as this process owns it."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Iterable
from functools import partial

import trio
from prometheus_client import CollectorRegistry

from heatherkeel.admission.metrics import AdmissionMetrics
from heatherkeel.admission.service import AdmissionService, OwnerView
from heatherkeel.directory.directory import Directory
from heatherkeel.directory.follower import async_read_newest_with_retry
from heatherkeel.durations.switch import is_switched_on
from heatherkeel.helpers import switch
from heatherkeel.helpers.clock import monotonic_ms, wall_ms
from heatherkeel.ownership.const import WORK_TOPIC
from heatherkeel.ownership.partition_ownership import PartitionOwnership
from heatherkeel.platform.operator import WorkerEntry, Workspace
from heatherkeel.platform.settings import InstanceSettings
from heatherkeel.platform.store import StoreClient
from heatherkeel.workspaces.messages import AccountsReport, GrantOffer

from . import slowness, subjects  # noqa: F401
from .const import (
    ENTRY_MARGIN_MS,
    GRANTS_RETRY_S,
    LEASE_MS,
    MAX_READ_AGE_MS,
    NO_WORKSPACES_PAUSE_S,
    TICK_MS,
)
from .dropping import RequestDropper
from .events import (
    AcknowledgeEnds,
    AskAdvice,
    CountCutListing,
    CountGivenUp,
    CountLimited,
    CountLoss,
    CountRelocated,
    CountSlowWorker,
    CountWaiting,
    CountWithheld,
    DropRecord,
    Effect,
    Effects,
    EndStored,
    Event,
    FindShares,
    ForgetJob,
    ForwardRecord,
    GrantsOffered,
    JobUnstorable,
    LimitsChanged,
    ObserveDuration,
    ObserveEndStored,
    OpenSessions,
    PaceTask,
    QueuesChanged,
    ReportEndStored,
    SaveJob,
    SharesFound,
    StartTask,
    StopTask,
    Tick,
    WorkersLeaving,
    WorkersListed,
)
from .failed_jobs import describe_error, find_origin
from .forwarder import AsyncIsForgotten, RecordForwarder, async_is_never_forgotten
from .inquiries import OwnerQueries
from .items import Item, ItemFailedError
from .job_feed import JobFeed
from .job_records import JobRecords
from .jobs import forget_request, stop_leftover_runs
from .journal import Journal
from .limits import measure_waiting
from .metrics import DispatchMetrics
from .models import Job
from .records import (
    PROGRESS_PREFIX,
    encode_failed,
    parse_caller_key,
)
from .recovery import StoredJobs, read_records, restore_jobs
from .reducer import reduce_event
from .shares import find_shares
from .state import PartitionState
from .submissions import SubmissionBatches
from .worker_sessions import WorkerSessions

_LOGGER = logging.getLogger(__name__)

AsyncAskLender = Callable[[int, AccountsReport | None], Awaitable[GrantOffer | None]]
"""Asks the lender of limits for an offer to a partition, with the accounts reported to it."""


async def async_ask_nobody(borrower: int, report: AccountsReport | None) -> GrantOffer | None:
    """Return no offer, where nobody lends limits."""
    return None


def ignore_item(item: Item) -> None:
    """Do nothing where nobody keeps account of items that were set aside."""


def is_never_set_aside(worker_id: str) -> bool:
    """Return that a worker isn't left out, where nobody keeps account of them."""
    return False


class PartitionOwner:
    """Passes events to the reducer, and carries out its effects."""

    def __init__(
        self,
        *,
        partition: int,
        token: int,
        settings: InstanceSettings,
        store: StoreClient,
        directory: Directory,
        ownership: PartitionOwnership,
        metrics: DispatchMetrics,
        on_fenced: Callable[[], None],
        async_ask_lender: AsyncAskLender = async_ask_nobody,
        async_is_forgotten: AsyncIsForgotten = async_is_never_forgotten,
        admission_metrics: AdmissionMetrics | None = None,
        on_set_aside: Callable[[Item], None] = ignore_item,
        is_set_aside: Callable[[str], bool] = is_never_set_aside,
    ) -> None:
        self.partition = partition
        self.settings = settings
        self.store = store
        self.directory = directory
        self.ownership = ownership
        self.metrics = metrics
        self.on_fenced = on_fenced
        self.async_ask_lender = async_ask_lender
        self.on_set_aside = on_set_aside
        self.is_set_aside = is_set_aside
        """Returns whether a worker is left out, since it couldn't be handled a short time ago."""
        self.is_failed = False
        """The state may be half-changed, and the partition is about to be given up."""
        self.state = PartitionState(token=token, lease_ms=0, status_ms=0)
        self.state.durations.is_enabled = is_switched_on()
        self.state.finds_slow_workers = switch.is_switched_on(slowness.SWITCH_VARIABLE)
        self.entry_age_ms = 0
        """How old a worker's entry may be for starts on it, in milliseconds."""
        self.apply_settings(settings)
        self.journal = Journal(
            store=store,
            partition=partition,
            token=token,
            on_fenced=on_fenced,
            on_item_failed=self.set_aside,
            on_refused=self._end_unstorable,
            request_bytes=settings.store.request_bytes,
        )
        self.sessions = WorkerSessions(owner=self)
        self.scope = trio.CancelScope()
        self.nursery: trio.Nursery | None = None
        self.is_restored = False
        self.queries = OwnerQueries(owner=self)
        self.request_dropper = RequestDropper(store=store, partition=partition)
        self.job_records = JobRecords(
            state=self.state, journal=self.journal, request_dropper=self.request_dropper
        )
        self.submissions = SubmissionBatches(store=store, partition=partition)
        self.forwarder = RecordForwarder(
            owner=self, store=store, async_is_forgotten=async_is_forgotten
        )
        self.workspaces: dict[str, Workspace] = {}
        """The workspaces by which the limits were last updated."""
        self.admission = AdmissionService(
            state=self.state,
            store=store,
            partition=partition,
            view=OwnerView(
                is_current=self.is_current,
                next_offset=lambda: self.feed.next_offset(),
                count_partitions=self._count_partitions,
            ),
            metrics=admission_metrics or AdmissionMetrics(registry=CollectorRegistry()),
            delete=self.request_dropper.drop,
            job_bytes=settings.divide_limits().unwrap().job_bytes // settings.store.partitions,
        )
        self.feed = JobFeed(
            store=store,
            partition=partition,
            directory=directory,
            handle_event=self.handle_event,
            is_dropped=self.admission.is_dropped,
        )

    def apply_settings(self, settings: InstanceSettings) -> None:
        """Apply the settings, which may have changed."""
        bounds = settings.bounds
        self.settings = settings
        self.state.lease_ms = min(LEASE_MS, bounds.longest_lease_ms)
        self.state.longest_lease_ms = bounds.longest_lease_ms
        self.state.status_ms = round(bounds.status_s * 1000)
        self.state.record_bytes = settings.store.record_bytes
        self.entry_age_ms = bounds.stable_window_ms + settings.heartbeat_ms - ENTRY_MARGIN_MS

    async def async_run(self) -> None:
        """Own the partition until `close`."""
        with self.scope:
            await self._async_restore()
            if self.is_failed:
                await self.journal.async_run()
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                self.sessions.start(nursery)
                self.forwarder.start(nursery)
                self.directory.subscribe(self._update_from_directory)
                nursery.start_soon(self.journal.async_run)
                nursery.start_soon(self.feed.async_run)
                nursery.start_soon(self.request_dropper.async_run)
                nursery.start_soon(self.submissions.async_run)
                nursery.start_soon(self.admission.async_run)
                nursery.start_soon(self._async_request_grants)
                nursery.start_soon(self._async_tick)
                nursery.start_soon(self.queries.async_watch_machines)
                self._update_from_directory()
        # Before the first wait: an event meanwhile would start a task in the closed nursery.
        self.nursery = None
        self.metrics.set_stranded(self.partition, 0)
        self.sessions.stop_opening()
        self.forwarder.close()
        if self._update_from_directory in self.directory.subscribers:
            self.directory.unsubscribe(self._update_from_directory)
        with trio.CancelScope(shield=True):
            await self.queries.close()

    def close(self) -> None:
        """Release the partition: no order is sent after this."""
        self.scope.cancel()
        self.sessions.close()

    def can_order(self) -> bool:
        """Return whether no other instance can own the partition yet.

        Leases are renewed only while this holds: the next owner relies on that. They outlast the
        membership by some seconds, so that short outages of the store end no task.
        """
        return self.ownership.is_valid(monotonic_ms())

    def is_current(self) -> bool:
        """Return whether the state includes all jobs that are stored, except for very recent ones.

        An owner without access to the store doesn't learn of jobs that others accept meanwhile,
        and must not report to callers that these don't exist.
        """
        as_of_ms = self.feed.as_of_ms()
        return (
            self.is_restored
            and self.can_order()
            and as_of_ms is not None
            and monotonic_ms() - as_of_ms < MAX_READ_AGE_MS
        )

    def times(self) -> tuple[int, int]:
        """Return the monotonic clock and the wall clock, in milliseconds."""
        return monotonic_ms(), wall_ms()

    def handle_event(self, event: Event) -> None:
        """Pass an event to the reducer, and carry out the effects.

        After an error nothing of it is carried out, since the state may be half-changed.
        """
        if self.is_failed:
            return
        try:
            for effect in reduce_event(self.state, event):
                self._execute(effect)
        except ItemFailedError as err:
            self.set_aside(err, cause=event)

    def set_aside(self, error: ItemFailedError, *, cause: Event | StoredJobs | None = None) -> None:
        """Set a job or a worker aside that can't be handled, and give the partition up.

        The state may be half-changed, so nothing more is done by it. The next owner, which may be
        this process under a new token, restores it from what is stored: the job as failed, or
        without the worker for some time.
        """
        if self.is_failed:
            return
        self.is_failed, self.is_restored = True, False
        item = error.item
        self.metrics.count_set_aside(item.kind)
        _LOGGER.error(
            "%s can't be handled and is set aside",
            item.kind.value,
            extra={
                "event": "item_set_aside",
                "kind": item.kind.value,
                "id": item.id,
                "partition": self.partition,
                "detail": describe_error(error),
            },
        )
        self.sessions.close()
        self.journal.clear()
        origin = find_origin(self.state, item, cause)
        if origin is not None:
            self.journal.put(f"{PROGRESS_PREFIX}{item.id}", partial(encode_failed, origin))
        self.journal.when_stored(partial(self.on_set_aside, item))
        self.journal.when_stored(self.on_fenced)

    def set_leaving_workers(
        self,
        worker_ids: frozenset[str],
        *,
        due: frozenset[str],
        yielding: frozenset[str] = frozenset(),
    ) -> None:
        """Set the workers to empty now, those of them that give way, and those due later."""
        now_ms, wall_ms = self.times()
        self.handle_event(
            WorkersLeaving(
                now_ms=now_ms,
                wall_ms=wall_ms,
                worker_ids=worker_ids,
                due=due,
                yielding=yielding,
            )
        )

    async def _async_restore(self) -> None:
        """Fence earlier owners, and restore the state from their records."""
        started_ms = monotonic_ms()
        await self.directory.operator.caught_up.wait()
        await self.directory.workers.caught_up.wait()
        if not await self.journal.async_open():
            await trio.sleep_forever()
        work = await async_read_newest_with_retry(self.store, WORK_TOPIC, self.partition)
        jobs = await self.feed.async_read()
        now_ms, wall_ms = self.times()
        self.state.now_ms, self.state.wall_ms = now_ms, wall_ms
        self._update_from_directory()
        stored = read_records(work.records + jobs)
        stored.apply_arrivals()
        self.job_records.restore(stored)
        self.feed.record_versions(stored)
        try:
            restore_jobs(self.state, stored)
        except ItemFailedError as err:
            self.set_aside(err, cause=stored)
        if not self.is_failed:
            self._submit_stored(stored)
        if self.is_failed:
            return
        self.is_restored = True
        self.admission.open()
        _LOGGER.info(
            "partition is owned by this instance",
            extra={
                "event": "partition_owned",
                "partition": self.partition,
                "token": self.state.token,
                "jobs": len(self.state.jobs),
                "ended_jobs": len(self.state.finished),
                "took_ms": monotonic_ms() - started_ms,
            },
        )

    def _submit_stored(self, stored: StoredJobs) -> None:
        self.feed.submit(stored)
        effects = Effects()
        stop_leftover_runs(self.state, effects)
        for job in self.state.finished.values():
            if job.id in stored.requests and not job.has_runs():
                forget_request(job, effects)
        for effect in effects.items:
            self._execute(effect)
        self.feed.pass_arrivals(stored)
        self.feed.cancel(stored)

    def _count_partitions(self, queue: str) -> int:
        known = self.state.queues.get(queue)
        return len(self.directory.state.layout.partitions_of(known.service)) if known else 1

    def _update_from_directory(self) -> None:
        """Update the queues and this partition's workers from the directory."""
        known = self.directory.state
        now_ms, wall_ms = self.times()
        if known.queues is not self.state.queues:
            self.handle_event(QueuesChanged(now_ms=now_ms, wall_ms=wall_ms, queues=known.queues))
        self._update_limits(now_ms, wall_ms)
        entries = {
            worker_id: entry
            for worker_id, entry in known.workers.items()
            if self.owns(worker_id, entry)
        }
        self.handle_event(WorkersListed(now_ms=now_ms, wall_ms=wall_ms, entries=entries))
        self.sessions.update()

    def _update_limits(self, now_ms: int, wall_ms: int) -> None:
        workspaces = self.directory.state.workspaces
        if workspaces is self.workspaces:
            return
        self.workspaces = workspaces
        limits = self.directory.state.limits
        weights = {name: known.weight for name, known in workspaces.items()}
        self.handle_event(
            LimitsChanged(now_ms=now_ms, wall_ms=wall_ms, limits=limits, weights=weights)
        )

    def exchange_accounts(self, offer: GrantOffer) -> AccountsReport:
        """Apply the lender's grants, and report what workspaces use and wait for here."""
        now_ms, wall_ms = self.times()
        self.handle_event(GrantsOffered(now_ms=now_ms, wall_ms=wall_ms, offer=offer))
        return self.report_accounts(offer.since if offer.owner == self.state.token else 0)

    async def _async_request_grants(self) -> None:
        """Ask the lender for grants until it knows this owner.

        It asks each owner at intervals, but learns of a new one only when the earlier one doesn't
        answer. Until then no job of a workspace with a limit would start.
        """
        accounts = self.state.accounts
        while not accounts.is_known_to_lender:
            if not self.workspaces:
                await trio.sleep(NO_WORKSPACES_PAUSE_S)
                continue
            report = self.report_accounts(0) if accounts.lender else None
            offer = await self.async_ask_lender(self.partition, report)
            if offer is not None:
                self.exchange_accounts(offer)
            if offer is None or report is not None:
                await trio.sleep(GRANTS_RETRY_S)

    def report_accounts(self, since: int) -> AccountsReport:
        """Return the accounts that have changed since a revision."""
        self.state.accounts.update_reports(measure_waiting(self.state))
        return self.state.accounts.make_report(since)

    def owns(self, worker_id: str, entry: WorkerEntry) -> bool:
        """Return whether a worker belongs to this partition."""
        service = self.directory.state.services.get(entry.service)
        if (service is not None and service.is_standby) or self.is_set_aside(worker_id):
            return False
        machine = entry.machine or worker_id
        return (
            self.directory.state.layout.partition_of_machine(entry.service, machine)
            == self.partition
        )

    async def _async_tick(self) -> None:
        while True:
            await trio.sleep(TICK_MS / 1000)
            now_ms, wall_ms = self.times()
            can_start = self.can_order() and self.journal.connected
            outdated = self._find_outdated(now_ms)
            tick = Tick(
                now_ms=now_ms,
                wall_ms=wall_ms,
                can_start=can_start,
                are_limits_recent=self.directory.state.is_config_recent(),
                outdated=outdated,
            )
            self.handle_event(tick)
            self.metrics.set_stranded(self.partition, self.state.stranded)
            self.sessions.update()

    def _find_outdated(self, now_ms: int) -> frozenset[str]:
        """Return the workers whose entries are too old to rely on their capacity."""
        since_ms = now_ms - self.entry_age_ms
        received_ms = self.directory.state.received_ms
        return frozenset(
            worker_id
            for worker_id in self.state.workers
            if received_ms.get(worker_id, now_ms) < since_ms
        )

    def _execute(self, effect: Effect) -> None:
        match effect:
            case SaveJob():
                self.job_records.save(effect.job_id)
            case ReportEndStored():
                self.journal.when_stored(partial(self._report_end_stored, effect.job))
            case ForgetJob():
                self.job_records.delete(effect)
            case DropRecord():
                self.request_dropper.drop_record(effect.key)
            case ForwardRecord():
                self.metrics.forwarded.inc()
                self.journal.when_stored(lambda: self.forwarder.forward(effect))
            case StartTask() | StopTask(once_stored=True):
                self.journal.when_stored(
                    lambda: self.sessions.send_order(effect.run.worker_id, effect)
                )
            case StopTask() | PaceTask():
                self.sessions.send_order(effect.run.worker_id, effect)
            case OpenSessions():
                self.sessions.update()
            case FindShares():
                self._find_shares(effect.job_ids)
            case CountRelocated():
                self.metrics.relocated.inc()
            case AskAdvice():
                if self.nursery is not None:
                    self.nursery.start_soon(self.queries.async_ask_advice, effect)
            case CountLoss():
                self.metrics.count_loss(effect.reason, effect.cause)
            case CountWaiting():
                self.metrics.count_waiting(effect.reason)
            case CountLimited():
                self.metrics.count_limited(effect.workspace)
            case ObserveEndStored():
                self.metrics.end_stored.observe(effect.after_ms / 1000)
            case ObserveDuration():
                self.metrics.observe_duration(effect.errors)
            case CountGivenUp():
                self.metrics.given_up.inc()
            case CountWithheld():
                self.metrics.withheld.inc()
            case CountCutListing():
                self.metrics.cut_listings.inc()
            case CountSlowWorker():
                self.metrics.slow_workers.inc()
            case AcknowledgeEnds():
                self.journal.when_stored(lambda: self.sessions.acknowledge(effect))

    def _find_shares(self, job_ids: Iterable[str]) -> None:
        """Look for partitions with workers for jobs that nothing in this one can run."""
        jobs = [job for job_id in job_ids if (job := self.state.jobs.get(job_id)) is not None]
        found = find_shares(jobs, self.directory.state, excluded=self.partition)
        if found:
            now_ms, wall_ms = self.times()
            self.handle_event(SharesFound(now_ms=now_ms, wall_ms=wall_ms, partitions=found))

    def _report_end_stored(self, job: Job) -> None:
        now_ms, wall_ms = self.times()
        self.handle_event(EndStored(now_ms=now_ms, wall_ms=wall_ms, job=job))

    def _end_unstorable(self, key: str) -> None:
        """End a job whose progress the store will never take."""
        now_ms, wall_ms = self.times()
        job_id, _ = parse_caller_key(key)
        self.handle_event(JobUnstorable(now_ms=now_ms, wall_ms=wall_ms, job_id=job_id))
